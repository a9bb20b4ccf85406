package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/phuslu/log"

	"github.com/sapphirefield/sapphirefield/daemon"
	"github.com/sapphirefield/sapphirefield/platform"
)

// runRelay runs the entry of the operators' platform and returns the exit code.
func runRelay(args []string, stdout, stderr io.Writer) int {
	flags := flag.NewFlagSet("sapphired relay", flag.ContinueOnError)
	flags.SetOutput(stderr)
	path := flags.String("settings", os.Getenv(platform.SettingsVariable), "path of the platform's settings file")
	level := flags.String("log-level", "info", "lowest level of log lines: debug, info, warn or error")
	checkOnly := flags.Bool("check-settings", false, "check the settings and exit")
	if err := flags.Parse(args); err != nil {
		return exitSettings
	}
	s, err := platform.LoadSettings(*path)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return exitSettings
	}
	if *checkOnly {
		fmt.Fprintln(stdout, "settings are valid")
		return 0
	}
	s.Machine.LimitHeap()
	signals, reloads := make(chan os.Signal, 2), make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(reloads, syscall.SIGHUP)
	client := platform.New(s.StoreAddr)
	err = daemon.RunRelay(context.Background(), daemon.RelayOptions{
		Settings: s.Entry, Store: client, Engines: client, HeaderCodec: platform.HeaderCodec{}, ReadyPath: platform.ReadyPath,
		LogWriter: stdout, LogLevel: log.ParseLevel(*level), Machine: s.Machine, Signals: signals, Reloads: reloads,
	})
	if err != nil {
		fmt.Fprintln(stderr, "sapphired relay:", err)
		return exitFailed
	}
	return 0
}

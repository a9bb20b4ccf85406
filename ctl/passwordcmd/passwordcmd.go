// Package passwordcmd implements the subcommand of sapphirectl that hashes the
// operators' password for the settings file.
package passwordcmd

import (
	"bufio"
	"context"
	"crypto/rand"
	"flag"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"

	"github.com/sapphirefield/sapphirefield/settings"
)

// minPasswordLength is the minimum that NIST SP 800-63B requires for passwords
// without a second factor.
const minPasswordLength = 15

// Command returns the subcommand "hash-password". It reads the password from
// standard input, because other users can see command-line arguments.
func Command() *ffcli.Command {
	return command(os.Stdin, os.Stdout)
}

func command(in io.Reader, out io.Writer) *ffcli.Command {
	return &ffcli.Command{
		Name:       "hash-password",
		ShortUsage: "sapphirectl hash-password < FILE",
		ShortHelp:  "Hash the operators' password for operators.password_hash.",
		FlagSet:    flag.NewFlagSet("hash-password", flag.ContinueOnError),
		Exec: func(context.Context, []string) error {
			line, err := bufio.NewReader(in).ReadString('\n')
			if err != nil && !errors.Is(err, io.EOF) {
				return err
			}
			password := strings.TrimRight(line, "\r\n")
			if len([]rune(password)) < minPasswordLength {
				return errors.Errorf("the password must have at least %d characters", minPasswordLength)
			}
			hash, err := settings.HashPassword(password, rand.Reader)
			if err != nil {
				return err
			}
			_, err = fmt.Fprintln(out, hash)
			return err
		},
	}
}

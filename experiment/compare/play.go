package compare

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// stopDelay is how long a command may take to end after it was asked to.
const stopDelay = 5 * time.Second

// play is a command that was played on one commit.
type play struct {
	Commit  string             `json:"commit"`
	Figures map[string]float64 `json:"figures"`
	Seconds float64            `json:"seconds"`
	Output  string             `json:"output"`
	Error   string             `json:"error,omitempty"`
}

// clone makes a clean clone of a commit, runs the build command in it and returns its folder
// and the commit's ID.
func (o Options) clone(ctx context.Context, i int) (dir, commit string, err error) {
	name := o.Commits[i]
	id, err := o.run(ctx, o.Repository, "git", "rev-parse", "--verify", "--quiet", "--end-of-options", name+"^{commit}")
	if err != nil {
		return "", "", errors.Errorf("commit %q is not in the repository %s", name, o.Repository)
	}
	commit = strings.TrimSpace(string(id))
	dir = filepath.Join(o.Dir, fmt.Sprintf("clone-%d", i+1))
	if _, err := o.run(ctx, o.Repository, "git", "clone", "--quiet", "--no-checkout", ".", dir); err != nil {
		return "", "", err
	}
	if _, err := o.run(ctx, dir, "git", "checkout", "--quiet", "--detach", commit); err != nil {
		return "", "", err
	}
	if o.Build == "" {
		return dir, commit, nil
	}
	_, err = o.run(ctx, dir, "sh", "-c", o.Build)
	return dir, commit, errors.Wrapf(err, "build of %s", name)
}

// run runs a command to its end and returns what it has printed. When ctx ends, the command
// and all processes that it has started are ended.
func (o Options) run(ctx context.Context, dir string, arguments ...string) ([]byte, error) {
	command := exec.CommandContext(ctx, arguments[0], arguments[1:]...)
	command.Dir = dir
	command.Env = append(os.Environ(), fmt.Sprintf("GOMAXPROCS=%d", max(1, o.Processors/o.Parallel)))
	command.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	command.Cancel = func() error { return syscall.Kill(-command.Process.Pid, syscall.SIGTERM) }
	command.WaitDelay = stopDelay
	var output bytes.Buffer
	command.Stdout, command.Stderr = &output, &output
	err := command.Run()
	if command.Process != nil && ctx.Err() != nil {
		_ = syscall.Kill(-command.Process.Pid, syscall.SIGKILL) // fails if all have ended
	}
	if ctx.Err() != nil {
		return output.Bytes(), ctx.Err()
	}
	return output.Bytes(), errors.Wrapf(err, "%s: %s", strings.Join(arguments, " "), lastLine(output.Bytes()))
}

func lastLine(output []byte) string {
	lines := bytes.Split(bytes.TrimSpace(output), []byte("\n"))
	return string(lines[len(lines)-1])
}

// playOn plays a pair's day on one commit. A play that fails is kept with its error.
func (c *comparison) playOn(ctx context.Context, p pair, i int) (play, error) {
	started := time.Now()
	output, err := c.run(ctx, c.clones[i], c.arguments(p)...)
	if ctx.Err() != nil {
		return play{}, ctx.Err()
	}
	result := play{Commit: c.result.Commits[i], Seconds: time.Since(started).Seconds()}
	result.Output = filepath.Join("plays", fmt.Sprintf("%s-%d.txt", fileName(p), i+1))
	if err := os.WriteFile(filepath.Join(c.Dir, result.Output), output, 0o600); err != nil {
		return result, errors.WithStack(err)
	}
	if err == nil {
		result.Figures, err = readAll(c.Options.Figures, output)
	}
	if err != nil {
		result.Error = err.Error()
	}
	return result, nil
}

// fileName returns a name for the files of a pair.
func fileName(p pair) string {
	return strings.Map(func(r rune) rune {
		if strings.ContainsRune("/ \\:", r) {
			return '-'
		}
		return r
	}, fmt.Sprintf("%s-%d", p.Day, p.Seed))
}

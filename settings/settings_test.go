package settings

import (
	"bytes"
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/phuslu/log"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

// Guards against a wrong precedence: flag, environment variable, file, default.
func TestSourcePrecedence(t *testing.T) {
	args := []string{"-settings", "testdata/entry.yaml", "-zone", "ulsan-b", "-limits.max-body=3MiB", "-check-settings"}
	s, err := Load(args, []string{"SAPPHIRE_ZONE=gimhae-c", "SAPPHIRE_LOG_LEVEL=debug", "PATH=/bin"})
	assert.NilError(t, err)
	assert.Equal(t, s.Zone, "ulsan-b")
	assert.Equal(t, s.LogLevel, log.DebugLevel)
	assert.Equal(t, s.Limits, Limits{MaxBodyBytes: 3 << 20, ShutdownDelay: 3 * time.Second, DrainTimeout: 10 * time.Minute})
	assert.Equal(t, s.Listen.ClientAddr.String(), "127.0.0.1:8443")
	assert.Assert(t, s.TLS.PlainText && s.CheckOnly)
}

// Guards against reporting only some of the problems of a file, or reporting them
// without line and column.
func TestReportsAllFindings(t *testing.T) {
	_, err := Load([]string{"-settings", "testdata/broken.yaml"}, []string{"SAPPHIRE_ZNOE=x", "SAPPHIRE_LOG_LEVEL=loud"})
	assert.Assert(t, err != nil)
	golden.Assert(t, err.Error()+"\n", "broken.golden")
}

// Guards against a panic or an unclear finding when one source is invalid.
func TestInvalidSources(t *testing.T) {
	for name, c := range map[string]struct {
		file, want string
		args       []string
	}{
		"syntax":        {file: "role: entry\n\tid: x\n", want: ":2:1: "},
		"list":          {file: "- role\n", want: "1:1: expected a mapping"},
		"two documents": {file: "role: entry\n---\nrole: entry\n", want: "only one YAML document"},
		"nested value":  {file: "zone: {a: b}\n", want: "1:7: zone: expected a single value"},
		"empty":         {file: "", want: "role: is required"},
		"unknown flag":  {args: []string{"-zones=x"}, want: "-zones"},
		"argument":      {args: []string{"extra"}, want: `unexpected argument "extra"`},
		"missing file":  {args: []string{"-settings", "testdata/none.yaml"}, want: "no such file"},
	} {
		t.Run(name, func(t *testing.T) {
			args := c.args
			if args == nil {
				args = []string{"-settings", writeFile(t, c.file)}
			}
			_, err := Load(args, nil)
			assert.ErrorContains(t, err, c.want)
		})
	}
	_, err := Load([]string{"-help"}, nil)
	assert.ErrorIs(t, err, flag.ErrHelp)
	assert.Assert(t, strings.Contains(Usage(), "SAPPHIRE_TLS_PLAIN_TEXT"))
}

// Guards against disabling TLS by accident: a missing file name or an address
// other than loopback must be rejected.
func TestPlainTextIsExplicitAndLocal(t *testing.T) {
	base := []string{"-settings", "testdata/entry.yaml"}
	_, err := Load(append(base, "-tls.plain-text=false"), nil)
	assert.ErrorContains(t, err, "tls.peers.ca: is required unless tls.plain_text is set")
	for _, name := range []string{"callers", "peers", "operators"} {
		_, err := Load(append(base, "-listen."+name+"=10.0.0.7:8443"), nil)
		assert.ErrorContains(t, err, "not a loopback address, and tls.plain_text is set")
	}
}

// Guards against an operators' listener that is reachable from other machines
// without a certificate and a password.
func TestOperatorsListenerIsProtected(t *testing.T) {
	pem := writeFile(t, "x")
	args := []string{"-settings", "testdata/entry.yaml", "-tls.plain-text=false",
		"-tls.callers.certificate", pem, "-tls.callers.key", pem, "-tls.peers.certificate", pem,
		"-tls.peers.key", pem, "-tls.peers.ca", pem}
	_, err := Load(args, nil)
	assert.NilError(t, err)
	args = append(args, "-listen.operators", "10.0.0.7:8445")
	_, err = Load(args, nil)
	assert.ErrorContains(t, err, "tls.operators names no certificate")
	assert.ErrorContains(t, err, "operators.password_hash: is required")
}

// Guards against a hash that changes when it is formatted and parsed, or that
// matches another password, and against a zero value that matches any password.
func TestPasswordHash(t *testing.T) {
	h, err := hashPassword("correct horse", bytes.NewReader(make([]byte, saltBytes)), minIterations)
	assert.NilError(t, err)
	parsed, err := ParsePasswordHash(h.String())
	assert.NilError(t, err)
	assert.Assert(t, parsed.Matches("correct horse"))
	assert.Assert(t, !parsed.Matches("correct horsf"))
	assert.Assert(t, !PasswordHash{}.Matches(""))
	for _, bad := range []string{"", "secret", "pbkdf2-sha256$1$AAAAAAAAAAAAAAAAAAAAAA$x", "pbkdf2-sha256$600000$AA$AA"} {
		_, err := ParsePasswordHash(bad)
		assert.Assert(t, err != nil, bad)
	}
}

func writeFile(t *testing.T, text string) string {
	t.Helper()
	name := filepath.Join(t.TempDir(), "settings.yaml")
	assert.NilError(t, os.WriteFile(name, []byte(text), 0o600))
	return name
}

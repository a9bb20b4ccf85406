package settings

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"sort"
	"strings"

	"github.com/peterbourgon/ff/v3"

	"github.com/sapphirefield/sapphirefield/finding"
)

const (
	// envPrefix is the prefix of all environment variables that are read.
	envPrefix    = "SAPPHIRE_"
	settingsFlag = "settings"
	checkFlag    = "check-settings"
)

// Load reads the settings from the file named by -settings or SAPPHIRE_SETTINGS.
// Environment variables, in the form of os.Environ, override the file, and flags
// override both. All problems are returned together as a *finding.Error; for
// -help, Load returns flag.ErrHelp.
func Load(args, environ []string) (*Settings, error) {
	l := newLoader()
	overrides := l.fromEnvironment(environ)
	err := ff.Parse(l.flags, append(overrides, args...),
		ff.WithConfigFileFlag(settingsFlag),
		ff.WithConfigFileParser(l.parseFile))
	if errors.Is(err, flag.ErrHelp) {
		return nil, err
	}
	if err != nil {
		// Without the flags or the file, further findings would be unreliable.
		l.findings.Add("", "%s", err)
		return nil, l.findings.Err()
	}
	for _, argument := range l.flags.Args() {
		l.findings.Add("", "unexpected argument %q", argument)
	}
	l.convert()
	l.check()
	if err := l.findings.Err(); err != nil {
		return nil, err
	}
	return &l.settings, nil
}

// Usage returns a list of all flags with their environment variables and defaults.
func Usage() string {
	l := newLoader()
	var b strings.Builder
	l.flags.SetOutput(&b)
	l.flags.PrintDefaults()
	return b.String()
}

// position is the position of a value in the settings file; it is zero for a value from another source.
type position struct {
	file         string
	line, column int
}

// rawValue is a member's text before conversion. Values are converted after all
// sources have been read, so that one invalid value does not hide others.
type rawValue struct {
	member   member
	text     string
	given    bool
	position position
}

// String implements flag.Value.
func (v *rawValue) String() string {
	if v == nil {
		return ""
	}
	return v.text
}

// Set implements flag.Value.
func (v *rawValue) Set(text string) error {
	v.text = text
	v.given = true
	return nil
}

// IsBoolFlag reports whether the flag may be given without a value, as for flag.Bool.
func (v *rawValue) IsBoolFlag() bool {
	return v.member.defaultText == "false"
}

type loader struct {
	flags    *flag.FlagSet
	values   map[string]*rawValue
	file     *string
	findings finding.List
	settings Settings
	// invalid holds the members whose value was rejected. Checks of several
	// members skip them, because they would only repeat the first finding.
	invalid map[string]bool
}

func newLoader() *loader {
	l := &loader{
		flags:   flag.NewFlagSet("sapphired", flag.ContinueOnError),
		values:  map[string]*rawValue{},
		invalid: map[string]bool{},
	}
	l.flags.SetOutput(io.Discard)
	l.flags.Usage = func() {}
	l.file = l.flags.String(settingsFlag, "", "settings file in YAML ("+envName(settingsFlag)+")")
	l.flags.BoolVar(&l.settings.CheckOnly, checkFlag, false, "check the settings and end")
	for _, m := range members {
		v := &rawValue{member: m, text: m.defaultText}
		l.values[m.name] = v
		l.flags.Var(v, flagName(m.name), m.usage+" ("+envName(m.name)+")")
	}
	return l
}

// flagName returns the flag for a member of the file: tls.plain-text for tls.plain_text.
func flagName(member string) string {
	return strings.ReplaceAll(member, "_", "-")
}

// envName returns the environment variable for a member of the file:
// SAPPHIRE_TLS_PLAIN_TEXT for tls.plain_text.
func envName(member string) string {
	return envPrefix + strings.ToUpper(strings.NewReplacer(".", "_", "-", "_").Replace(member))
}

// fromEnvironment converts environment variables to flags, which are parsed
// before the command line's own. The flag library reads only the process's
// environment, but callers such as tests must be able to pass in another one.
func (l *loader) fromEnvironment(environ []string) []string {
	flagByVariable := map[string]string{envName(settingsFlag): settingsFlag}
	for _, m := range members {
		flagByVariable[envName(m.name)] = flagName(m.name)
	}
	var overrides []string
	for _, variable := range environ {
		name, value, _ := strings.Cut(variable, "=")
		if !strings.HasPrefix(name, envPrefix) {
			continue
		}
		target, known := flagByVariable[name]
		if !known {
			l.findings.Add(name, "unknown environment variable")
			continue
		}
		overrides = append(overrides, "-"+target+"="+value)
	}
	sort.Strings(overrides)
	return overrides
}

// convert parses every member's text and stores the value in the settings.
func (l *loader) convert() {
	for _, m := range members {
		v := l.values[m.name]
		if v.text == "" && !v.given {
			continue
		}
		if v.text == "" {
			l.reject(m.name, "has no value")
			continue
		}
		if err := m.set(&l.settings, v.text); err != nil {
			l.reject(m.name, "%s", err)
		}
	}
}

// reject adds a finding at the position, or for the flag and environment
// variable, where the member's value was given.
func (l *loader) reject(name, format string, args ...any) {
	l.invalid[name] = true
	v := l.values[name]
	f := finding.Finding{Path: name, Message: fmt.Sprintf(format, args...)}
	if v.position.line > 0 {
		f.File, f.Line, f.Column = v.position.file, v.position.line, v.position.column
	} else {
		f.File = *l.file
	}
	if v.given && v.position.line == 0 {
		f.File = ""
		f.Path = "-" + flagName(name) + " or " + envName(name)
	}
	l.findings = append(l.findings, f)
}

// checkReadable returns an error if the named file cannot be opened.
func checkReadable(name string) error {
	f, err := os.Open(name)
	if err != nil {
		return err
	}
	return f.Close()
}

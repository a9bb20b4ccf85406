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
	// envPrefix starts the names of all environment variables that are read.
	envPrefix    = "SAPPHIRE_"
	settingsFlag = "settings"
	checkFlag    = "check-settings"
)

// Load reads the settings from the file that -settings or SAPPHIRE_SETTINGS
// names, overridden by environment variables in the form of os.Environ and by
// flags. Problems of the settings are returned together as a *finding.Error;
// -help gives flag.ErrHelp.
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
		// Without the flags or the file, every other finding would be a guess.
		l.found.Add("", "%s", err)
		return nil, l.found.Err()
	}
	for _, extra := range l.flags.Args() {
		l.found.Add("", "unexpected argument %q", extra)
	}
	l.convert()
	l.check()
	if err := l.found.Err(); err != nil {
		return nil, err
	}
	return &l.settings, nil
}

// Usage lists all flags, their environment variables and defaults.
func Usage() string {
	l := newLoader()
	var b strings.Builder
	l.flags.SetOutput(&b)
	l.flags.PrintDefaults()
	return b.String()
}

// place is where the file gives a value; it is zero for a value from elsewhere.
type place struct {
	file         string
	line, column int
}

// rawValue is a member's text before conversion. Conversion waits until all
// sources are read, so that one bad value does not hide others.
type rawValue struct {
	member member
	text   string
	given  bool
	from   place
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

// IsBoolFlag lets a switch be written without a value, as flag.Bool does.
func (v *rawValue) IsBoolFlag() bool {
	return v.member.initial == "false"
}

type loader struct {
	flags    *flag.FlagSet
	values   map[string]*rawValue
	file     *string
	found    finding.List
	settings Settings
	// bad holds the members whose value was refused; checks between members
	// pass over them, because they would only repeat the first finding.
	bad map[string]bool
}

func newLoader() *loader {
	l := &loader{
		flags:  flag.NewFlagSet("sapphired", flag.ContinueOnError),
		values: map[string]*rawValue{},
		bad:    map[string]bool{},
	}
	l.flags.SetOutput(io.Discard)
	l.flags.Usage = func() {}
	l.file = l.flags.String(settingsFlag, "", "settings file in YAML ("+envName(settingsFlag)+")")
	l.flags.BoolVar(&l.settings.CheckOnly, checkFlag, false, "check the settings and end")
	for _, m := range members {
		v := &rawValue{member: m, text: m.initial}
		l.values[m.name] = v
		l.flags.Var(v, flagName(m.name), m.usage+" ("+envName(m.name)+")")
	}
	return l
}

// flagName maps a member of the file to a flag: tls.plain_text is -tls.plain-text.
func flagName(member string) string {
	return strings.ReplaceAll(member, "_", "-")
}

// envName maps a member of the file to an environment variable: tls.plain_text
// is SAPPHIRE_TLS_PLAIN_TEXT.
func envName(member string) string {
	return envPrefix + strings.ToUpper(strings.NewReplacer(".", "_", "-", "_").Replace(member))
}

// fromEnvironment turns environment variables into flags that stand before the
// real ones. The library reads the process's own environment only, and a test
// or another caller must be able to pass one in.
func (l *loader) fromEnvironment(environ []string) []string {
	names := map[string]string{envName(settingsFlag): settingsFlag}
	for _, m := range members {
		names[envName(m.name)] = flagName(m.name)
	}
	var overrides []string
	for _, variable := range environ {
		name, value, _ := strings.Cut(variable, "=")
		if !strings.HasPrefix(name, envPrefix) {
			continue
		}
		target, known := names[name]
		if !known {
			l.found.Add(name, "unknown environment variable")
			continue
		}
		overrides = append(overrides, "-"+target+"="+value)
	}
	sort.Strings(overrides)
	return overrides
}

// convert turns every member's text into its type.
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

// reject adds a finding at the place where the member's value was given.
func (l *loader) reject(name, format string, args ...any) {
	l.bad[name] = true
	v := l.values[name]
	f := finding.Finding{Path: name, Message: fmt.Sprintf(format, args...)}
	if v.from.line > 0 {
		f.File, f.Line, f.Column = v.from.file, v.from.line, v.from.column
	} else {
		f.File = *l.file
	}
	if v.given && v.from.line == 0 {
		f.File = ""
		f.Path = "-" + flagName(name) + " or " + envName(name)
	}
	l.found = append(l.found, f)
}

// readable tells whether the named file can be opened.
func readable(name string) error {
	f, err := os.Open(name)
	if err != nil {
		return err
	}
	return f.Close()
}

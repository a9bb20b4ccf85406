package console

import (
	"fmt"
	"math"
	"reflect"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/sapphirefield/sapphirefield/config"
	"github.com/sapphirefield/sapphirefield/finding"
)

// section is one list of entries in the document.
type section struct {
	// Name is the name of the list in the document.
	Name string
	// Title and Hint are shown to operators.
	Title, Hint string
	// newEntry returns a pointer to an entry with default values.
	newEntry func() any
}

func pointerTo[T any](value T) any { return &value }

var sections = []section{
	{"regions", "Regions", "Groups of availability zones.", func() any { return pointerTo(config.Region{}) }},
	{"accelerators", "Accelerators", "Kinds of hardware.", func() any { return pointerTo(config.NewAccelerator()) }},
	{"links", "Links", "Directed network paths between availability zones.", func() any { return pointerTo(config.Link{}) }},
	{"models", "Models", "Models and their versions.", func() any { return pointerTo(config.Model{}) }},
	{"services", "Services", "Plain services whose calls are passed through whole.", func() any { return pointerTo(config.NewService()) }},
	{"servers", "Servers", "Backend servers: engines and plain servers.", func() any { return pointerTo(config.Server{}) }},
	{"teams", "Teams", "Tenants with their keys, shares and limits.", func() any { return pointerTo(config.NewTeam()) }},
	{"objectives", "Objectives", "Service-level objectives.", func() any { return pointerTo(config.Objective{}) }},
	{"routes", "Routes", "Requests that entries pass through unchanged, by host and path.", func() any { return pointerTo(config.NewRoute()) }},
}

func sectionByName(name string) (section, bool) {
	for _, s := range sections {
		if s.Name == name {
			return s, true
		}
	}
	return section{}, false
}

// entries returns the list of the section as an addressable value.
func (s section) entries(doc *config.Document) reflect.Value {
	v := reflect.ValueOf(doc).Elem()
	for i := range v.NumField() {
		if memberName(v.Type().Field(i)) == s.Name {
			return v.Field(i)
		}
	}
	panic("console: the document has no section " + s.Name)
}

// indexOf returns the index of the entry with the given name, or -1.
func (s section) indexOf(doc *config.Document, name string) int {
	list := s.entries(doc)
	for i := range list.Len() {
		if config.EntryName(list.Index(i).Addr().Interface()) == name {
			return i
		}
	}
	return -1
}

// memberName returns the name of a member of an entry in the document.
func memberName(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("yaml"), ",")
	return name
}

// field is one input of a form, for one member of an entry.
type field struct {
	Name, Label, Hint string
	// Input is the kind of control: "text", "lines" or "select".
	Input    string
	Value    string
	Choices  []string
	ReadOnly bool
	Findings []string
}

// choices are the values of the members with a select control, by type.
var choices = map[reflect.Type][]string{
	reflect.TypeFor[config.LogOutagePolicy](): {string(config.RefuseDuringOutage), string(config.RunDuringOutage)},
	reflect.TypeFor[config.Fencing]():         {"", string(config.FencingChecks), string(config.FencingIgnores)},
	reflect.TypeFor[config.Measure](): {
		string(config.MeasureTimeToFirstToken), string(config.MeasureInterTokenLatency),
		string(config.MeasureAvailability), string(config.MeasureLatency),
	},
	reflect.TypeFor[config.CallKind](): {
		string(config.CallIdempotent), string(config.CallAtMostOnce), string(config.CallStream),
	},
	reflect.TypeFor[bool](): {"false", "true"},
}

// hints are the explanations shown below the inputs, by member name.
var hints = map[string]string{
	"latency":                 "one way, such as 250us",
	"timeout":                 "such as 30s",
	"key_window":              "such as 24h",
	"threshold":               "such as 670ms; empty for availability",
	"key_hashes":              "SHA-256 hashes, one on each line",
	"idempotent":              "one call on each line, such as GET /stock",
	"versions":                "oldest first, one on each line",
	"target":                  "fraction of good events, below 1",
	"priority":                "higher is served first",
	"weight":                  "share among teams of the same priority",
	"requests_per_second":     "0 means no limit",
	"concurrency":             "0 means no limit",
	"fencing":                 "for engines only",
	"accelerator":             "for engines only",
	"layer_tokens_per_second": "decode rate of one layer",
	"targets":                 "one model or service on each line with its weight, such as stock 90",
	"rank":                    "0 is served first",
	"max_attempts":            "backend servers to which one request may be sent",
	"step_factor":             "for engines that relay by themselves; 0 counts as 1",
	"prompt_factor":           "for engines that relay by themselves; 0 counts as 1",
}

// identityMembers are the members that identify an entry.
var identityMembers = map[string]bool{"id": true, "kind": true, "name": true, "from": true, "to": true}

// fieldsOf returns the form fields of an entry. The members that identify an
// existing entry are read-only.
func fieldsOf(entry reflect.Value, existing bool) []field {
	fields := make([]field, entry.NumField())
	for i := range fields {
		name := memberName(entry.Type().Field(i))
		f := field{Name: name, Label: strings.ReplaceAll(name, "_", " "), Hint: hints[name], Input: "text"}
		f.Value = formatMember(entry.Field(i))
		f.Choices = choices[entry.Field(i).Type()]
		f.ReadOnly = existing && identityMembers[name]
		switch {
		case f.Choices != nil:
			f.Input = "select"
		case entry.Field(i).Kind() == reflect.Slice:
			f.Input = "lines"
		}
		fields[i] = f
	}
	return fields
}

// formatMember returns the text of a member for its form field.
func formatMember(v reflect.Value) string {
	switch value := v.Interface().(type) {
	case time.Duration:
		return value.String()
	case []string:
		return strings.Join(value, "\n")
	case []config.CallRule:
		lines := make([]string, len(value))
		for i, r := range value {
			lines[i] = r.Method + " " + r.PathPrefix
		}
		return strings.Join(lines, "\n")
	case []config.RouteTarget:
		lines := make([]string, len(value))
		for i, t := range value {
			lines[i] = t.String()
		}
		return strings.Join(lines, "\n")
	case float64:
		return strconv.FormatFloat(value, 'f', -1, 64)
	}
	return fmt.Sprint(v.Interface())
}

// parseMember sets a member from the text of its form field.
func parseMember(v reflect.Value, text string) error {
	text = strings.TrimSpace(strings.ReplaceAll(text, "\r\n", "\n"))
	switch v.Interface().(type) {
	case time.Duration:
		return parseDuration(v, text)
	case []string:
		v.Set(reflect.ValueOf(emptyToNil(strings.Fields(text))))
		return nil
	case []config.CallRule:
		return parseCallRules(v, text)
	case []config.RouteTarget:
		return parseTargets(v, text)
	}
	switch v.Kind() {
	case reflect.String:
		v.SetString(text)
		return nil
	case reflect.Float64:
		return parseFloat(v, text)
	case reflect.Bool:
		v.SetBool(text == "true")
		return nil
	default:
		n, err := strconv.ParseInt(text, 10, 64)
		if err != nil || v.OverflowInt(n) {
			return errors.Errorf("%q is not a whole number", text)
		}
		v.SetInt(n)
		return nil
	}
}

func emptyToNil(list []string) []string {
	if len(list) == 0 {
		return nil
	}
	return list
}

func parseDuration(v reflect.Value, text string) error {
	if text == "" {
		v.SetInt(0)
		return nil
	}
	d, err := time.ParseDuration(text)
	if err != nil {
		return errors.Errorf("%q is not a duration with a unit, such as 30s or 250us", text)
	}
	v.SetInt(int64(d))
	return nil
}

func parseFloat(v reflect.Value, text string) error {
	f, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(f) || math.IsInf(f, 0) {
		return errors.Errorf("%q is not a number", text)
	}
	v.SetFloat(f)
	return nil
}

func parseCallRules(v reflect.Value, text string) error {
	var rules []config.CallRule
	for line := range strings.Lines(text) {
		parts := strings.Fields(line)
		if len(parts) == 0 {
			continue
		}
		if len(parts) != 2 {
			return errors.Errorf("%q is not a method and a path prefix", strings.TrimSpace(line))
		}
		rules = append(rules, config.CallRule{Method: parts[0], PathPrefix: parts[1]})
	}
	v.Set(reflect.ValueOf(rules))
	return nil
}

func parseTargets(v reflect.Value, text string) error {
	var targets []config.RouteTarget
	for line := range strings.Lines(text) {
		parts := strings.Fields(line)
		if len(parts) == 0 {
			continue
		}
		if len(parts) != 2 {
			return errors.Errorf("%q is not a model or service and a weight", strings.TrimSpace(line))
		}
		target := config.RouteTarget{Backend: parts[0]}
		if err := parseFloat(reflect.ValueOf(&target.Weight).Elem(), parts[1]); err != nil {
			return err
		}
		targets = append(targets, target)
	}
	v.Set(reflect.ValueOf(targets))
	return nil
}

// addFindings adds the findings of one entry to its form fields and returns the
// findings that belong to no field.
func addFindings(fields []field, list finding.List, entryPath string) (entryFindings []string) {
	for _, f := range list {
		rest, ok := strings.CutPrefix(f.Path, entryPath)
		if !ok {
			continue
		}
		name, _, _ := strings.Cut(strings.TrimPrefix(rest, "."), "[")
		assigned := false
		for i := range fields {
			if fields[i].Name == name {
				fields[i].Findings = append(fields[i].Findings, messageWithLine(rest, name, f.Message))
				assigned = true
			}
		}
		if !assigned {
			entryFindings = append(entryFindings, f.Message)
		}
	}
	return entryFindings
}

// messageWithLine prefixes the message with the line number in a multi-line
// field, counted from 1, if the path refers to an element of a list.
func messageWithLine(rest, name, message string) string {
	index, ok := strings.CutPrefix(rest, "."+name+"[")
	if !ok {
		return message
	}
	digits, _, _ := strings.Cut(index, "]")
	n, err := strconv.Atoi(digits)
	if err != nil {
		return message
	}
	return fmt.Sprintf("line %d: %s", n+1, message)
}

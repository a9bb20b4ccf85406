package config

import (
	"fmt"
	"reflect"
	"strings"
	"time"
)

// Summary describes the changes from old to new, one line for each.
func Summary(old, new *Document) ([]string, error) {
	patch, err := Diff(old, new)
	if err != nil {
		return nil, err
	}
	old, new = old.Canonical(), new.Canonical()
	lines := make([]string, len(patch))
	for i, op := range patch {
		lines[i] = summaryLine(old, new, op)
	}
	return lines, nil
}

func summaryLine(old, new *Document, op Op) string {
	switch {
	case op.Section == schemaMember:
		return fmt.Sprintf("schema: %d -> %d", old.Schema, new.Schema)
	case op.Remove:
		return fmt.Sprintf("%s: removed %s", op.Section, op.Entry)
	case op.Member == "":
		return fmt.Sprintf("%s: added %s", op.Section, op.Entry)
	}
	before, after := memberValue(old, op), memberValue(new, op)
	return fmt.Sprintf("%s: %s: %s: %s -> %s", op.Section, op.Entry, op.Member, formatValue(before), formatValue(after))
}

func memberValue(doc *Document, op Op) reflect.Value {
	for _, s := range sections {
		if s.sectionName() == op.Section {
			e := s.entry(doc, op.Entry)
			return e.Field(membersOf(e.Type())[op.Member])
		}
	}
	return reflect.Value{}
}

func formatValue(v reflect.Value) string {
	switch value := v.Interface().(type) {
	case time.Duration:
		return value.String()
	case []string:
		short := make([]string, len(value))
		for i, s := range value {
			short[i] = shortenHash(s)
		}
		return "[" + strings.Join(short, ", ") + "]"
	case []RouteTarget:
		targets := make([]string, len(value))
		for i, t := range value {
			targets[i] = t.String()
		}
		return "[" + strings.Join(targets, ", ") + "]"
	case []CallRule:
		rules := make([]string, len(value))
		for i, r := range value {
			rules[i] = r.Method + " " + r.PathPrefix
		}
		return "[" + strings.Join(rules, ", ") + "]"
	}
	if text := fmt.Sprint(v.Interface()); text != "" {
		return text
	}
	return "(none)"
}

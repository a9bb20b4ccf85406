package settings

import (
	"errors"
	"fmt"
	"io"
	"regexp"
	"sort"
	"strconv"
	"strings"

	"gopkg.in/yaml.v3"

	"github.com/sapphirefield/sapphirefield/finding"
)

// parseFile is the config file parser for the flag library. It calls set for each
// scalar and records its position. Problems become findings instead of an error,
// so that the values from all sources are still checked.
func (l *loader) parseFile(r io.Reader, set func(name, value string) error) error {
	decoder := yaml.NewDecoder(r)
	var document yaml.Node
	err := decoder.Decode(&document)
	if errors.Is(err, io.EOF) {
		return nil
	}
	if err != nil {
		l.addSyntax(err)
		return nil
	}
	l.walkMapping(document.Content[0], "", set)
	var second yaml.Node
	if err := decoder.Decode(&second); !errors.Is(err, io.EOF) {
		l.addAt(&second, "", "only one YAML document is allowed")
	}
	return nil
}

func (l *loader) walkMapping(node *yaml.Node, path string, set func(name, value string) error) {
	if node.Kind != yaml.MappingNode {
		l.addAt(node, path, "expected a mapping with members")
		return
	}
	seen := map[string]bool{}
	for i := 0; i+1 < len(node.Content); i += 2 {
		key, value := node.Content[i], node.Content[i+1]
		name := join(path, key.Value)
		if seen[name] {
			l.addAt(key, name, "given twice")
			continue
		}
		seen[name] = true
		l.parseMember(key, value, name, set)
	}
}

func (l *loader) parseMember(key, value *yaml.Node, name string, set func(name, value string) error) {
	if isSection(name) {
		l.walkMapping(value, name, set)
		return
	}
	raw, known := l.values[name]
	switch {
	case !known:
		l.addAt(key, name, "unknown member; allowed here: %s", strings.Join(siblings(name), ", "))
	case value.Kind != yaml.ScalarNode:
		l.addAt(value, name, "expected a single value")
	case value.Tag == "!!null":
		l.addAt(value, name, "has no value")
	default:
		l.setFromFile(raw, value, set)
	}
}

// setFromFile sets a value through the flag library, unless a flag or an
// environment variable already gave one.
func (l *loader) setFromFile(raw *rawValue, node *yaml.Node, set func(name, value string) error) {
	if raw.given {
		return
	}
	raw.position = position{file: *l.file, line: node.Line, column: node.Column}
	if err := set(flagName(raw.member.name), node.Value); err != nil {
		l.addAt(node, raw.member.name, "%s", err)
	}
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func isSection(name string) bool {
	for _, m := range members {
		if strings.HasPrefix(m.name, name+".") {
			return true
		}
	}
	return false
}

// siblings returns the members that are allowed in place of an unknown one.
func siblings(name string) []string {
	prefix := ""
	if dot := strings.LastIndex(name, "."); dot >= 0 {
		prefix = name[:dot+1]
	}
	seen := map[string]bool{}
	var names []string
	for _, m := range members {
		rest, ok := strings.CutPrefix(m.name, prefix)
		first, _, _ := strings.Cut(rest, ".")
		if ok && !seen[first] {
			seen[first] = true
			names = append(names, first)
		}
	}
	sort.Strings(names)
	return names
}

func (l *loader) addAt(node *yaml.Node, path, format string, args ...any) {
	l.findings = append(l.findings, finding.Finding{
		File: *l.file, Line: node.Line, Column: node.Column, Path: path, Message: fmt.Sprintf(format, args...),
	})
}

// syntaxLine matches the line number in an error of the YAML library, which has it only in its text.
var syntaxLine = regexp.MustCompile(`^yaml: line (\d+): (.*)$`)

func (l *loader) addSyntax(err error) {
	f := finding.Finding{File: *l.file, Message: err.Error()}
	if match := syntaxLine.FindStringSubmatch(err.Error()); match != nil {
		f.Line, _ = strconv.Atoi(match[1])
		f.Column = 1
		f.Message = match[2]
	}
	l.findings = append(l.findings, f)
}

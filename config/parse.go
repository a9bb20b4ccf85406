package config

import (
	"bytes"
	"fmt"
	"io"
	"math"
	"reflect"
	"regexp"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
	"gopkg.in/yaml.v3"

	"github.com/sapphirefield/sapphirefield/finding"
)

// MaxDocumentBytes limits a document's YAML text. A document with 4,600 teams
// takes about 2 MB.
const MaxDocumentBytes = 16 << 20

// Parse decodes a document from YAML, fills in defaults and validates it. The
// findings have name as their file, and the line, column and path of the member.
// The document is nil if the text is not a YAML mapping; otherwise it contains
// everything that could be decoded, even if there are findings.
func Parse(name string, text []byte) (*Document, finding.List) {
	d := decoder{file: name, positions: map[string]position{}}
	root, ok := d.parseRoot(text)
	if !ok {
		return nil, d.findings
	}
	doc := &Document{}
	d.decodeValue(root, reflect.ValueOf(doc).Elem(), "")
	doc.setDerivedDefaults()
	d.addWithPositions(doc.Validate())
	sortByPosition(d.findings)
	return doc, d.findings
}

func sortByPosition(list finding.List) {
	sort.SliceStable(list, func(i, j int) bool {
		if list[i].Line != list[j].Line {
			return list[i].Line < list[j].Line
		}
		return list[i].Column < list[j].Column
	})
}

type position struct{ line, column int }

// decoder fills a Document from YAML nodes. It walks the nodes itself, because
// yaml.v3 stops at the first error of some kinds and reports no column or path.
type decoder struct {
	file      string
	findings  finding.List
	positions map[string]position
}

func (d *decoder) parseRoot(text []byte) (*yaml.Node, bool) {
	if len(text) > MaxDocumentBytes {
		d.addAt(position{}, "", "the document has %d bytes; at most %d are allowed", len(text), MaxDocumentBytes)
		return nil, false
	}
	reader := yaml.NewDecoder(bytes.NewReader(text))
	var node yaml.Node
	if err := reader.Decode(&node); err != nil {
		d.addSyntax(err)
		return nil, false
	}
	var second yaml.Node
	if err := reader.Decode(&second); !errors.Is(err, io.EOF) {
		d.addAt(position{second.Line, second.Column}, "", "the text holds a second YAML document; one is allowed")
		return nil, false
	}
	root := node.Content[0]
	if root.Kind != yaml.MappingNode {
		d.addAt(position{root.Line, root.Column}, "", "the document must be a mapping of members")
		return nil, false
	}
	return root, true
}

var syntaxLine = regexp.MustCompile(`line (\d+): `)

func (d *decoder) addSyntax(err error) {
	if errors.Is(err, io.EOF) {
		d.addAt(position{1, 1}, "", "the document is empty")
		return
	}
	message := strings.TrimPrefix(err.Error(), "yaml: ")
	pos := position{}
	if m := syntaxLine.FindStringSubmatch(message); m != nil {
		pos.line, _ = strconv.Atoi(m[1])
		pos.column = 1
		message = strings.Replace(message, m[0], "", 1)
	}
	d.addAt(pos, "", "invalid YAML: %s", message)
}

func (d *decoder) addAt(pos position, path, format string, args ...any) {
	d.findings = append(d.findings, finding.Finding{
		File: d.file, Line: pos.line, Column: pos.column, Path: path, Message: fmt.Sprintf(format, args...),
	})
}

func (d *decoder) add(node *yaml.Node, path, format string, args ...any) {
	d.addAt(position{node.Line, node.Column}, path, format, args...)
}

// addWithPositions adds findings of Validate with their positions in the text.
// A member that could not be decoded already has a finding, so findings of
// Validate about it are omitted.
func (d *decoder) addWithPositions(list finding.List) {
	failed := map[string]bool{}
	for _, f := range d.findings {
		failed[f.Path] = true
	}
	for _, f := range list {
		if hasFailedPrefix(f.Path, failed) {
			continue
		}
		pos := d.positionOf(f.Path)
		d.addAt(pos, f.Path, "%s", f.Message)
	}
}

func hasFailedPrefix(path string, failed map[string]bool) bool {
	for ; path != ""; path = parentPath(path) {
		if failed[path] {
			return true
		}
	}
	return false
}

func (d *decoder) positionOf(path string) position {
	for {
		if pos, ok := d.positions[path]; ok {
			return pos
		}
		if path == "" {
			return position{}
		}
		path = parentPath(path)
	}
}

// parentPath removes the last member name or index from a path.
func parentPath(path string) string {
	cut := strings.LastIndexAny(path, ".[")
	if cut < 0 {
		return ""
	}
	return path[:cut]
}

func (d *decoder) decodeValue(node *yaml.Node, v reflect.Value, path string) {
	d.positions[path] = position{node.Line, node.Column}
	if node.Kind == yaml.AliasNode {
		d.add(node, path, "YAML aliases are not allowed; write the value out")
		return
	}
	switch v.Kind() {
	case reflect.Struct:
		d.decodeStruct(node, v, path)
	case reflect.Slice:
		d.decodeList(node, v, path)
	default:
		d.decodeScalar(node, v, path)
	}
}

func (d *decoder) decodeStruct(node *yaml.Node, v reflect.Value, path string) {
	if node.Kind != yaml.MappingNode {
		d.add(node, path, "must be a mapping of members")
		return
	}
	v.Set(defaultValue(v.Type()))
	members := membersOf(v.Type())
	seen := map[string]bool{}
	for i := 0; i+1 < len(node.Content); i += 2 {
		key := node.Content[i]
		child := joinPath(path, key.Value)
		index, known := members[key.Value]
		switch {
		case !known:
			d.add(key, child, "unknown member; the members here are %s", strings.Join(memberNames(v.Type()), ", "))
		case seen[key.Value]:
			d.add(key, child, "member is given twice")
		default:
			seen[key.Value] = true
			d.decodeValue(node.Content[i+1], v.Field(index), child)
		}
	}
}

func joinPath(path, member string) string {
	if path == "" {
		return member
	}
	return path + "." + member
}

func (d *decoder) decodeList(node *yaml.Node, v reflect.Value, path string) {
	if node.Kind == yaml.ScalarNode && node.Tag == "!!null" {
		return
	}
	if node.Kind != yaml.SequenceNode {
		d.add(node, path, "must be a list")
		return
	}
	if len(node.Content) == 0 {
		return
	}
	v.Set(reflect.MakeSlice(v.Type(), len(node.Content), len(node.Content)))
	for i, item := range node.Content {
		d.decodeValue(item, v.Index(i), fmt.Sprintf("%s[%d]", path, i))
	}
}

func (d *decoder) decodeScalar(node *yaml.Node, v reflect.Value, path string) {
	if node.Kind != yaml.ScalarNode {
		d.add(node, path, "must be %s", describeScalar(v.Type()))
		return
	}
	if err := setScalar(node, v); err != nil {
		d.add(node, path, "%q is not allowed; must be %s", node.Value, describeScalar(v.Type()))
	}
}

var durationType = reflect.TypeFor[time.Duration]()

func describeScalar(t reflect.Type) string {
	switch {
	case t == durationType:
		return `a duration with a unit, such as "30s" or "250us"`
	case t.Kind() == reflect.String:
		return "text (put numbers, dates and true or false in quotes)"
	case t.Kind() == reflect.Float64:
		return "a finite number"
	case t.Kind() == reflect.Bool:
		return "true or false"
	default:
		return "a whole number"
	}
}

var errWrongType = errors.New("scalar has the wrong type")

func setScalar(node *yaml.Node, v reflect.Value) error {
	switch {
	case v.Type() == durationType:
		return setDuration(node, v)
	case v.Kind() == reflect.String:
		if node.Tag != "!!str" {
			return errWrongType
		}
		v.SetString(node.Value)
		return nil
	case v.Kind() == reflect.Float64:
		return setFloat(node, v)
	case v.Kind() == reflect.Bool:
		return decodeTagged(node, v, "!!bool")
	default:
		return decodeTagged(node, v, "!!int")
	}
}

func decodeTagged(node *yaml.Node, v reflect.Value, tag string) error {
	if node.Tag != tag {
		return errWrongType
	}
	return node.Decode(v.Addr().Interface())
}

func setDuration(node *yaml.Node, v reflect.Value) error {
	duration, err := time.ParseDuration(node.Value)
	if err != nil || node.Tag != "!!str" {
		return errWrongType
	}
	v.SetInt(int64(duration))
	return nil
}

func setFloat(node *yaml.Node, v reflect.Value) error {
	if node.Tag != "!!float" && node.Tag != "!!int" {
		return errWrongType
	}
	var f float64
	if err := node.Decode(&f); err != nil {
		return err
	}
	if math.IsNaN(f) || math.IsInf(f, 0) {
		return errWrongType
	}
	v.SetFloat(f)
	return nil
}

// membersOf maps the names of a struct's members to field indexes.
func membersOf(t reflect.Type) map[string]int {
	members := make(map[string]int, t.NumField())
	for i := range t.NumField() {
		members[memberName(t.Field(i))] = i
	}
	return members
}

func memberNames(t reflect.Type) []string {
	names := make([]string, t.NumField())
	for i := range names {
		names[i] = memberName(t.Field(i))
	}
	return names
}

// memberName returns the name in the field's yaml tag.
func memberName(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("yaml"), ",")
	return name
}

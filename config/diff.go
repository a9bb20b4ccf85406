package config

import (
	"bytes"
	"encoding/json"
	"io"
	"reflect"
	"slices"
	"strings"

	"github.com/pkg/errors"
)

// Patch is a list of operations that turns one document into another. It
// addresses entries by section and name and members by name, so a change of one
// entry stays small regardless of the size of the document.
type Patch []Op

// Op sets one member of an entry, adds an entry, removes an entry, or sets a
// scalar member of the document (Entry and Member are then empty).
type Op struct {
	Section string `json:"section"`
	// Entry is the entry's name; for a link it is "from>to".
	Entry  string `json:"entry,omitempty"`
	Member string `json:"member,omitempty"`
	Remove bool   `json:"remove,omitempty"`
	// Value is the new member or entry in JSON; durations are nanoseconds.
	Value json.RawMessage `json:"value,omitempty"`
}

// Diff returns the patch that turns old into new, ignoring the order of entries.
// It fails if a name is used twice in a section or a number cannot be encoded
// in JSON.
func Diff(old, new *Document) (Patch, error) {
	old, new = old.Canonical(), new.Canonical()
	var patch Patch
	if old.Schema != new.Schema {
		value, err := json.Marshal(new.Schema)
		if err != nil {
			return nil, err
		}
		patch = append(patch, Op{Section: schemaMember, Value: value})
	}
	for _, s := range sections {
		ops, err := s.diff(old, new)
		if err != nil {
			return nil, errors.Wrap(err, s.sectionName())
		}
		patch = append(patch, ops...)
	}
	return patch, nil
}

// Apply returns the result of applying p to old, in canonical order, and leaves
// old unchanged. It is strict, so that a patch made for another document fails:
// a changed or removed entry must exist, and an added one must not.
func Apply(old *Document, p Patch) (*Document, error) {
	doc := old
	if !old.isCanonical() {
		doc = old.Canonical()
	}
	next := *doc
	cloned := map[string]bool{}
	for i, op := range p {
		if err := applyOp(&next, op, cloned); err != nil {
			return nil, errors.Wrapf(err, "patch[%d]: %s", i, op.path())
		}
	}
	return &next, nil
}

// path returns "section/entry/member" without the parts that are empty.
func (op Op) path() string {
	return strings.Trim(op.Section+"/"+op.Entry+"/"+op.Member, "/")
}

const (
	schemaMember  = "schema"
	routesSection = "routes"
)

// applyOp applies op to doc in place. cloned holds the sections whose lists doc
// no longer shares with the old document.
func applyOp(doc *Document, op Op, cloned map[string]bool) error {
	if op.Section == schemaMember {
		return decodeStrict(op.Value, &doc.Schema)
	}
	for _, s := range sections {
		if s.sectionName() != op.Section {
			continue
		}
		if !cloned[op.Section] {
			s.cloneList(doc)
			cloned[op.Section] = true
		}
		return s.apply(doc, op)
	}
	return errors.New("unknown section")
}

func decodeStrict(value json.RawMessage, into any) error {
	decoder := json.NewDecoder(bytes.NewReader(value))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return errors.Wrap(err, "value")
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return errors.New("value: text after the JSON value")
	}
	return nil
}

// section is a list of the document, such as its teams, without the entry type
// in its interface.
type section interface {
	sectionName() string
	isCanonical(doc *Document) bool
	cloneList(doc *Document)
	diff(old, new *Document) (Patch, error)
	apply(doc *Document, op Op) error
	entry(doc *Document, key string) reflect.Value
	encode(doc *Document, encoder *json.Encoder)
}

type sectionOf[T any, P entry[T]] struct {
	name string
	list func(*Document) *[]T
	// keys are the members that make up the entry's name; a patch cannot change them.
	keys []string
}

var sections = []section{
	sectionOf[Region, *Region]{"regions", func(d *Document) *[]Region { return &d.Regions }, []string{"name"}},
	sectionOf[Accelerator, *Accelerator]{"accelerators", func(d *Document) *[]Accelerator { return &d.Accelerators }, []string{"kind"}},
	sectionOf[Link, *Link]{"links", func(d *Document) *[]Link { return &d.Links }, []string{"from", "to"}},
	sectionOf[Model, *Model]{"models", func(d *Document) *[]Model { return &d.Models }, []string{"name"}},
	sectionOf[Service, *Service]{"services", func(d *Document) *[]Service { return &d.Services }, []string{"name"}},
	sectionOf[Server, *Server]{"servers", func(d *Document) *[]Server { return &d.Servers }, []string{"id"}},
	sectionOf[Team, *Team]{"teams", func(d *Document) *[]Team { return &d.Teams }, []string{"name"}},
	sectionOf[Objective, *Objective]{"objectives", func(d *Document) *[]Objective { return &d.Objectives }, []string{"name"}},
	sectionOf[Route, *Route]{routesSection, func(d *Document) *[]Route { return &d.Routes }, []string{"name"}},
}

func (doc *Document) isCanonical() bool {
	for _, s := range sections {
		if !s.isCanonical(doc) {
			return false
		}
	}
	return true
}

func (s sectionOf[T, P]) sectionName() string { return s.name }

func (s sectionOf[T, P]) isCanonical(doc *Document) bool {
	list := *s.list(doc)
	for i := 1; i < len(list); i++ {
		if compareKeys[T, P](list[i-1], list[i]) >= 0 {
			return false
		}
	}
	return true
}

// encode writes each entry with empty lists as nil, as Canonical does.
func (s sectionOf[T, P]) encode(doc *Document, encoder *json.Encoder) {
	for _, e := range *s.list(doc) {
		P(&e).emptyListsToNil()
		_ = encoder.Encode(&e)
	}
}

func (s sectionOf[T, P]) cloneList(doc *Document) {
	list := s.list(doc)
	*list = slices.Clone(*list)
}

func (s sectionOf[T, P]) find(doc *Document, key string) (int, bool) {
	return slices.BinarySearchFunc(*s.list(doc), key, func(e T, key string) int {
		return strings.Compare(P(&e).entryKey(), key)
	})
}

func (s sectionOf[T, P]) entry(doc *Document, key string) reflect.Value {
	i, found := s.find(doc, key)
	if !found {
		return reflect.Value{}
	}
	return reflect.ValueOf((*s.list(doc))[i])
}

// diff compares the two sorted lists in one merge pass.
func (s sectionOf[T, P]) diff(old, new *Document) (Patch, error) {
	if !s.isCanonical(old) || !s.isCanonical(new) {
		return nil, errors.New("an entry's name is used twice")
	}
	var patch Patch
	before, after := *s.list(old), *s.list(new)
	for len(before) > 0 || len(after) > 0 {
		var ops Patch
		var err error
		switch order := compareFirst[T, P](before, after); {
		case order < 0:
			ops = Patch{{Section: s.name, Entry: P(&before[0]).entryKey(), Remove: true}}
			before = before[1:]
		case order > 0:
			ops, err = s.addOps(&after[0])
			after = after[1:]
		default:
			ops, err = s.changeOps(&before[0], &after[0])
			before, after = before[1:], after[1:]
		}
		if err != nil {
			return nil, err
		}
		patch = append(patch, ops...)
	}
	return patch, nil
}

// compareFirst compares the first entries of both lists. An empty list sorts last.
func compareFirst[T any, P entry[T]](before, after []T) int {
	switch {
	case len(before) == 0:
		return 1
	case len(after) == 0:
		return -1
	default:
		return compareKeys[T, P](before[0], after[0])
	}
}

func (s sectionOf[T, P]) addOps(e *T) (Patch, error) {
	value, err := json.Marshal(e)
	if err != nil {
		return nil, err
	}
	return Patch{{Section: s.name, Entry: P(e).entryKey(), Value: value}}, nil
}

func (s sectionOf[T, P]) changeOps(old, new *T) (Patch, error) {
	var patch Patch
	before, after := reflect.ValueOf(old).Elem(), reflect.ValueOf(new).Elem()
	for i := range before.NumField() {
		if reflect.DeepEqual(before.Field(i).Interface(), after.Field(i).Interface()) {
			continue
		}
		value, err := json.Marshal(after.Field(i).Interface())
		if err != nil {
			return nil, err
		}
		member := memberName(before.Type().Field(i))
		patch = append(patch, Op{Section: s.name, Entry: P(new).entryKey(), Member: member, Value: value})
	}
	return patch, nil
}

func (s sectionOf[T, P]) apply(doc *Document, op Op) error {
	list := s.list(doc)
	i, found := s.find(doc, op.Entry)
	switch {
	case op.Remove && !found, op.Member != "" && !found:
		return errors.New("there is no such entry")
	case op.Remove:
		*list = slices.Delete(*list, i, i+1)
		return nil
	case op.Member != "":
		return s.setMember(&(*list)[i], op)
	case found:
		return errors.New("the entry exists already")
	}
	added, err := s.decodeEntry(op)
	if err != nil {
		return err
	}
	*list = slices.Insert(*list, i, added)
	return nil
}

func (s sectionOf[T, P]) decodeEntry(op Op) (T, error) {
	var e T
	if err := decodeStrict(op.Value, &e); err != nil {
		return e, err
	}
	if key := P(&e).entryKey(); key != op.Entry {
		return e, errors.Errorf("value is named %q", key)
	}
	P(&e).emptyListsToNil()
	return e, nil
}

func (s sectionOf[T, P]) setMember(e *T, op Op) error {
	v := reflect.ValueOf(e).Elem()
	index, known := membersOf(v.Type())[op.Member]
	if !known {
		return errors.New("unknown member")
	}
	if slices.Contains(s.keys, op.Member) {
		return errors.New("an entry's name cannot change; remove the entry and add another")
	}
	// Decoding into a new value leaves lists that are shared with the old document unchanged.
	value := reflect.New(v.Field(index).Type())
	if err := decodeStrict(op.Value, value.Interface()); err != nil {
		return err
	}
	v.Field(index).Set(value.Elem())
	P(e).emptyListsToNil()
	return nil
}

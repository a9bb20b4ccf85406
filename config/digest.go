package config

import (
	"bytes"
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"slices"

	"gopkg.in/yaml.v3"
)

func (r *Region) entryKey() string      { return r.Name }
func (a *Accelerator) entryKey() string { return a.Kind }
func (l *Link) entryKey() string        { return l.From + ">" + l.To }
func (m *Model) entryKey() string       { return m.Name }
func (s *Service) entryKey() string     { return s.Name }
func (s *Server) entryKey() string      { return s.ID }
func (t *Team) entryKey() string        { return t.Name }
func (o *Objective) entryKey() string   { return o.Name }
func (r *Route) entryKey() string       { return r.Name }

type keyed interface{ entryKey() string }

// Canonical returns a copy with the entries of each section in the order of
// their names, and empty lists as nil. The order of entries has no meaning; the
// order of lists inside an entry, such as the versions of a model, is kept.
func (doc *Document) Canonical() *Document {
	return &Document{
		Schema:       doc.Schema,
		Regions:      canonical(doc.Regions),
		Accelerators: canonical(doc.Accelerators),
		Links:        canonical(doc.Links),
		Models:       canonical(doc.Models),
		Services:     canonical(doc.Services),
		Servers:      canonical(doc.Servers),
		Teams:        canonical(doc.Teams),
		Objectives:   canonical(doc.Objectives),
		Routes:       canonical(doc.Routes),
	}
}

func (r *Region) dropEmpty()      { dropEmpty(&r.Zones) }
func (a *Accelerator) dropEmpty() {}
func (l *Link) dropEmpty()        {}
func (m *Model) dropEmpty()       { dropEmpty(&m.Versions); dropEmpty(&m.Adapters) }
func (s *Service) dropEmpty()     { dropEmpty(&s.Idempotent) }
func (s *Server) dropEmpty()      {}
func (t *Team) dropEmpty()        { dropEmpty(&t.KeyHashes); dropEmpty(&t.Models); dropEmpty(&t.Services) }
func (o *Objective) dropEmpty()   {}
func (r *Route) dropEmpty()       { dropEmpty(&r.Targets) }

func dropEmpty[T any](list *[]T) {
	if len(*list) == 0 {
		*list = nil
	}
}

// entry is a pointer to one entry of a section.
type entry[T any] interface {
	*T
	keyed
	dropEmpty()
}

func compareKeys[T any, P entry[T]](a, b T) int {
	return cmp.Compare(P(&a).entryKey(), P(&b).entryKey())
}

func canonical[T any, P entry[T]](list []T) []T {
	if len(list) == 0 {
		return nil
	}
	list = slices.Clone(list)
	for i := range list {
		P(&list[i]).dropEmpty()
	}
	slices.SortStableFunc(list, compareKeys[T, P])
	return list
}

// Digest is the SHA-256 hash, in hexadecimal, of the document's canonical form:
// one line of JSON for the schema, for each section's name and for each entry.
// Documents that differ only in the order of entries have the same digest.
func (doc *Document) Digest() string {
	if !doc.isCanonical() {
		doc = doc.Canonical()
	}
	hash := sha256.New()
	lines := json.NewEncoder(hash)
	// Encoding to a hash fails only for NaN and infinite numbers, which Parse
	// and Validate refuse; what was written until then still gives a digest.
	_ = lines.Encode(doc.Schema)
	for _, s := range sections {
		// A document without routes keeps the digest that programs without this section compute.
		if s.title() == routesSection && len(doc.Routes) == 0 {
			continue
		}
		_ = lines.Encode(s.title())
		s.encode(doc, lines)
	}
	return hex.EncodeToString(hash.Sum(nil))
}

// Marshal writes the document as YAML with all defaults spelled out. Parse
// reads it back without a difference.
func (doc *Document) Marshal() ([]byte, error) {
	var buffer bytes.Buffer
	encoder := yaml.NewEncoder(&buffer)
	encoder.SetIndent(2)
	if err := encoder.Encode(doc); err != nil {
		return nil, err
	}
	if err := encoder.Close(); err != nil {
		return nil, err
	}
	return buffer.Bytes(), nil
}

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

// Canonical returns a copy with the entries of each section sorted by name and
// empty lists set to nil. The order of entries has no meaning; the order of
// lists inside an entry, such as the versions of a model, is preserved.
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

func (r *Region) emptyListsToNil()      { emptyToNil(&r.Zones) }
func (a *Accelerator) emptyListsToNil() {}
func (l *Link) emptyListsToNil()        {}
func (m *Model) emptyListsToNil()       { emptyToNil(&m.Versions); emptyToNil(&m.Adapters) }
func (s *Service) emptyListsToNil()     { emptyToNil(&s.Idempotent) }
func (s *Server) emptyListsToNil()      {}
func (t *Team) emptyListsToNil() {
	emptyToNil(&t.KeyHashes)
	emptyToNil(&t.Models)
	emptyToNil(&t.Services)
}
func (o *Objective) emptyListsToNil() {}
func (r *Route) emptyListsToNil()     { emptyToNil(&r.Targets) }

func emptyToNil[T any](list *[]T) {
	if len(*list) == 0 {
		*list = nil
	}
}

// entry constrains P to a pointer to one entry of a section.
type entry[T any] interface {
	*T
	keyed
	emptyListsToNil()
}

func compareKeys[T any, P entry[T]](a, b T) int {
	return cmp.Compare(P(&a).entryKey(), P(&b).entryKey())
}

func canonical[T any, P entry[T]](list []T) []T {
	if len(list) == 0 {
		return nil
	}
	sorted := make([]T, len(list))
	for i, from := range orderByKey[T, P](list) {
		sorted[i] = list[from.index]
		P(&sorted[i]).emptyListsToNil()
	}
	return sorted
}

// indexedKey is the key of an entry and its position in the section.
type indexedKey struct {
	key   string
	index int
}

// orderByKey returns the entries' keys in order. Entries of the same key stay in theirs.
// Sorting the entries themselves would copy two of them for each comparison.
func orderByKey[T any, P entry[T]](list []T) []indexedKey {
	keys := make([]indexedKey, len(list))
	for i := range list {
		keys[i] = indexedKey{P(&list[i]).entryKey(), i}
	}
	slices.SortStableFunc(keys, func(a, b indexedKey) int { return cmp.Compare(a.key, b.key) })
	return keys
}

// Digest returns the hexadecimal SHA-256 hash of the document's canonical form:
// one line of JSON for the schema, for each section's name and for each entry.
// Documents that differ only in the order of entries have the same digest.
func (doc *Document) Digest() string {
	if !doc.isCanonical() {
		doc = doc.Canonical()
	}
	hash := sha256.New()
	encoder := json.NewEncoder(hash)
	// Encoding to a hash fails only for NaN and infinite numbers, which Parse
	// and Validate reject; the entries that could be encoded still yield a digest.
	_ = encoder.Encode(doc.Schema)
	for _, s := range sections {
		// Without routes, the digest equals that of program versions that lack this section.
		if s.sectionName() == routesSection && len(doc.Routes) == 0 {
			continue
		}
		_ = encoder.Encode(s.sectionName())
		s.encode(doc, encoder)
	}
	return hex.EncodeToString(hash.Sum(nil))
}

// Marshal returns the document as YAML with all defaults written explicitly.
// Parse turns the result back into an equal document.
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

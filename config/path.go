package config

import "fmt"

// docPath is the path of a member of the document. It is formatted only for a
// finding, because most checks yield none.
type docPath struct {
	section string
	// index is the entry's index in the section, and item the index in a list
	// member of the entry. They are -1 if the path has no such part.
	index  int
	member string
	item   int
	// sub is a member of the list item, as in services[0].idempotent[1].method.
	sub string
}

// memberPath returns the path of a top-level member of the document.
func memberPath(section string) docPath { return docPath{section: section, index: -1, item: -1} }

func entryPath(section string, index int) docPath {
	return docPath{section: section, index: index, item: -1}
}

// field returns the path of a member of the entry or list item at p.
func (p docPath) field(member string) docPath {
	if p.item >= 0 {
		p.sub = member
	} else {
		p.member = member
	}
	return p
}

// elem returns the path of an element of the list member at p.
func (p docPath) elem(i int) docPath {
	p.item = i
	return p
}

// String formats the path as in "teams[2].key_hashes[0]".
func (p docPath) String() string {
	text := p.section
	if p.index >= 0 {
		text += fmt.Sprintf("[%d]", p.index)
	}
	if p.member != "" {
		text += "." + p.member
	}
	if p.item >= 0 {
		text += fmt.Sprintf("[%d]", p.item)
	}
	if p.sub != "" {
		text += "." + p.sub
	}
	return text
}

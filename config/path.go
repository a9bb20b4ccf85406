package config

import "fmt"

// docPath names a member of the document. Its text is made only for a finding,
// because most checks give none.
type docPath struct {
	section string
	// index and item are -1 where the path does not go into a list.
	index  int
	member string
	item   int
	// sub is the member of an item, as in services[0].idempotent[1].method.
	sub string
}

func memberPath(section string) docPath { return docPath{section: section, index: -1, item: -1} }

func entryPath(section string, index int) docPath {
	return docPath{section: section, index: index, item: -1}
}

func (p docPath) in(member string) docPath {
	if p.item >= 0 {
		p.sub = member
	} else {
		p.member = member
	}
	return p
}

func (p docPath) at(i int) docPath {
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

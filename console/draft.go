package console

import (
	"fmt"

	"github.com/sapphirefield/sapphirefield/config"
	"github.com/sapphirefield/sapphirefield/configlog"
	"github.com/sapphirefield/sapphirefield/finding"
)

// draft is the one document that a session gathers its edits in.
type draft struct {
	// base is the revision that the edits were made on; nil before the first.
	base *configlog.Revision
	doc  *config.Document
}

func newDraft(base *configlog.Revision) *draft {
	return &draft{base: base, doc: documentOf(base).Canonical()}
}

func documentOf(r *configlog.Revision) *config.Document {
	if r == nil {
		return &config.Document{Schema: config.SchemaVersion}
	}
	return r.Document
}

func numberOf(r *configlog.Revision) int64 {
	if r == nil {
		return 0
	}
	return r.Number
}

// changes describes the draft's difference from its base.
func (d *draft) changes() []string {
	lines, err := config.Summary(documentOf(d.base), d.doc)
	if err != nil {
		return []string{err.Error()}
	}
	return lines
}

func (d *draft) findings() finding.List { return d.doc.Validate() }

// carry returns the draft with its edits made on another revision, and what
// needs the operator's eye: edits that no longer fit, and members that both
// sides changed, of which the session's value is kept.
func (d *draft) carry(to *configlog.Revision) (*draft, []string, error) {
	mine, err := config.Diff(documentOf(d.base), d.doc)
	if err != nil {
		return nil, nil, err
	}
	theirs, err := config.Diff(documentOf(d.base), documentOf(to))
	if err != nil {
		return nil, nil, err
	}
	changed := map[string]bool{}
	for _, op := range theirs {
		changed[place(op)] = true
	}
	carried := newDraft(to)
	var notes []string
	for _, op := range mine {
		next, err := config.Apply(carried.doc, config.Patch{op})
		switch {
		case err != nil:
			notes = append(notes, fmt.Sprintf("left out: %v", err))
			continue
		case changed[place(op)]:
			notes = append(notes, fmt.Sprintf("changed by both, your value is kept: %s", place(op)))
		}
		carried.doc = next
	}
	return carried, notes, nil
}

func place(op config.Op) string {
	text := op.Section
	if op.Entry != "" {
		text += ": " + op.Entry
	}
	if op.Member != "" {
		text += ": " + op.Member
	}
	return text
}

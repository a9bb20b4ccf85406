package console

import (
	"fmt"

	"github.com/sapphirefield/sapphirefield/config"
	"github.com/sapphirefield/sapphirefield/configlog"
	"github.com/sapphirefield/sapphirefield/finding"
)

// draft is the edited document of a session.
type draft struct {
	// base is the revision on which the edits are based, or nil if there is none yet.
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

func revisionNumber(r *configlog.Revision) int64 {
	if r == nil {
		return 0
	}
	return r.Number
}

// changes describes the differences between the draft and its base, one per line.
func (d *draft) changes() []string {
	lines, err := config.Summary(documentOf(d.base), d.doc)
	if err != nil {
		return []string{err.Error()}
	}
	return lines
}

func (d *draft) findings() finding.List { return d.doc.Validate() }

// rebase returns a draft with the same edits on another base, and notes for the
// operator: the edits that no longer apply and are omitted, and the members that
// both sides changed, for which the value of the session is kept.
func (d *draft) rebase(to *configlog.Revision) (*draft, []string, error) {
	ownOps, err := config.Diff(documentOf(d.base), d.doc)
	if err != nil {
		return nil, nil, err
	}
	otherOps, err := config.Diff(documentOf(d.base), documentOf(to))
	if err != nil {
		return nil, nil, err
	}
	changedByOthers := map[string]bool{}
	for _, op := range otherOps {
		changedByOthers[opLocation(op)] = true
	}
	rebased := newDraft(to)
	var notes []string
	for _, op := range ownOps {
		next, err := config.Apply(rebased.doc, config.Patch{op})
		switch {
		case err != nil:
			notes = append(notes, fmt.Sprintf("left out: %v", err))
			continue
		case changedByOthers[opLocation(op)]:
			notes = append(notes, fmt.Sprintf("changed by both, your value is kept: %s", opLocation(op)))
		}
		rebased.doc = next
	}
	return rebased, notes, nil
}

// opLocation returns the section, entry and member that the operation changes.
func opLocation(op config.Op) string {
	text := op.Section
	if op.Entry != "" {
		text += ": " + op.Entry
	}
	if op.Member != "" {
		text += ": " + op.Member
	}
	return text
}

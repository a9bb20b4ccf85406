package console

import (
	"context"
	"crypto/subtle"
	"fmt"
	"net/http"
	"net/url"
	"reflect"
	"strconv"
	"strings"
	"time"

	"github.com/sapphirefield/sapphirefield/config"
	"github.com/sapphirefield/sapphirefield/configlog"
	"github.com/sapphirefield/sapphirefield/configsync"
)

func tokensEqual(a, b string) bool { return subtle.ConstantTimeCompare([]byte(a), []byte(b)) == 1 }

// inSection reports whether the path of a finding is in the named section.
func inSection(path, name string) bool {
	return path == name || strings.HasPrefix(path, name+"[")
}

// linkedFinding is a finding with a link to the form in which it can be fixed.
type linkedFinding struct {
	Location, Message, Link string
}

type overview struct {
	Changes  []string
	Findings []linkedFinding
	// Digest identifies the displayed draft, so that no other one is published.
	Digest string
	// NewerChanges are the changes published by others since the base of the draft.
	NewerChanges []string
}

func (c *console) overviewOf(s *session) overview {
	o := overview{Changes: s.draft.changes(), Findings: s.draft.linkedFindings(), Digest: s.draft.doc.Digest()}
	if active := c.options.ActiveRevision(); revisionNumber(active) != revisionNumber(s.draft.base) {
		o.NewerChanges, _ = config.Summary(documentOf(s.draft.base), documentOf(active))
	}
	return o
}

func (d *draft) unchanged() bool { return len(d.changes()) == 0 }

func (d *draft) linkedFindings() []linkedFinding {
	var linked []linkedFinding
	for _, f := range d.findings() {
		linked = append(linked, d.link(f.Path, f.Message))
	}
	return linked
}

// link converts a finding. The location contains the name of the entry instead
// of its index, which operators do not see.
func (d *draft) link(path, message string) linkedFinding {
	name, rest, indexed := strings.Cut(path, "[")
	section, ok := sectionByName(name)
	if !ok || !indexed {
		return linkedFinding{Location: path, Message: message, Link: PathPrefix + "/" + name}
	}
	digits, member, _ := strings.Cut(rest, "]")
	index, err := strconv.Atoi(digits)
	if err != nil || index >= section.entries(d.doc).Len() {
		return linkedFinding{Location: path, Message: message, Link: PathPrefix + "/" + name}
	}
	entry := config.EntryName(section.entries(d.doc).Index(index).Addr().Interface())
	member, line, _ := strings.Cut(strings.TrimPrefix(member, "."), "[")
	if line != "" {
		message = messageWithLine("."+member+"["+line, member, message)
	}
	return linkedFinding{Location: strings.TrimSuffix(name+": "+entry+": "+member, ": "), Message: message, Link: entryLink(name, entry)}
}

func entryLink(section, name string) string {
	return PathPrefix + "/" + section + "/entry?name=" + url.QueryEscape(name)
}

func (c *console) showOverview(w http.ResponseWriter, _ *http.Request, s *session) {
	c.render(w, http.StatusOK, "overview", c.sessionPage(s, "Overview", "", c.overviewOf(s)))
}

type sectionPage struct {
	Section section
	Query   string
	Columns []string
	Rows    []row
	// Omitted is the number of matching entries that are not listed.
	Omitted int
}

type row struct {
	Link     string
	Cells    []string
	Findings int
}

// maxColumns limits the members shown in the list of a section.
const maxColumns = 6

func (c *console) showSection(w http.ResponseWriter, r *http.Request, s *session) {
	section, ok := sectionByName(r.PathValue("section"))
	if !ok {
		http.NotFound(w, r)
		return
	}
	content := sectionPage{Section: section, Query: r.URL.Query().Get("q")}
	list := section.entries(s.draft.doc)
	elem := list.Type().Elem()
	for i := range min(elem.NumField(), maxColumns) {
		content.Columns = append(content.Columns, strings.ReplaceAll(memberName(elem.Field(i)), "_", " "))
	}
	counts := findingsByEntry(s.draft, section.Name)
	for i := range list.Len() {
		name := config.EntryName(list.Index(i).Addr().Interface())
		if !strings.Contains(name, content.Query) {
			continue
		}
		if len(content.Rows) == maxPageEntries {
			content.Omitted++
			continue
		}
		content.Rows = append(content.Rows, row{entryLink(section.Name, name), cells(list.Index(i)), counts[i]})
	}
	c.render(w, http.StatusOK, "section", c.sessionPage(s, section.Title, section.Name, content))
}

// findingsByEntry returns the number of findings per index of an entry.
func findingsByEntry(d *draft, name string) map[int]int {
	counts := map[int]int{}
	for _, f := range d.findings() {
		rest, ok := strings.CutPrefix(f.Path, name+"[")
		digits, _, _ := strings.Cut(rest, "]")
		if index, err := strconv.Atoi(digits); ok && err == nil {
			counts[index]++
		}
	}
	return counts
}

func cells(entry reflect.Value) []string {
	var texts []string
	for i := range min(entry.NumField(), maxColumns) {
		text := formatMember(entry.Field(i))
		if memberName(entry.Type().Field(i)) == "key_hashes" {
			text = plural(entry.Field(i).Len(), "key")
		}
		texts = append(texts, strings.ReplaceAll(text, "\n", ", "))
	}
	return texts
}

type entryPage struct {
	Section section
	// Name is empty for a new entry.
	Name   string
	Fields []field
	// EntryFindings are the findings that belong to no field.
	EntryFindings []string
}

func (c *console) showEntry(w http.ResponseWriter, r *http.Request, s *session) {
	section, ok := sectionByName(r.PathValue("section"))
	if !ok {
		http.NotFound(w, r)
		return
	}
	name := r.URL.Query().Get("name")
	content := entryPage{Section: section, Name: name}
	if name == "" {
		content.Fields = fieldsOf(reflect.ValueOf(section.newEntry()).Elem(), false)
	} else {
		i := section.indexOf(s.draft.doc, name)
		if i < 0 {
			http.NotFound(w, r)
			return
		}
		content.Fields = fieldsOf(section.entries(s.draft.doc).Index(i), true)
		content.EntryFindings = addFindings(content.Fields, s.draft.findings(), fmt.Sprintf("%s[%d]", section.Name, i))
	}
	c.renderEntry(w, http.StatusOK, s, content)
}

func (c *console) renderEntry(w http.ResponseWriter, status int, s *session, content entryPage) {
	title := "New entry in " + strings.ToLower(content.Section.Title)
	if content.Name != "" {
		title = content.Section.Title + ": " + content.Name
	}
	c.render(w, status, "entry", c.sessionPage(s, title, content.Section.Name, content))
}

// saveEntry stores a posted form in the draft. Text that cannot be parsed is
// displayed again with an error at its field. Everything else is stored even if
// it has findings, so that operators may save an entry before the entries that
// it refers to.
func (c *console) saveEntry(w http.ResponseWriter, r *http.Request, s *session) {
	section, ok := sectionByName(r.PathValue("section"))
	if !ok {
		http.NotFound(w, r)
		return
	}
	name := r.PostForm.Get("entry")
	index := section.indexOf(s.draft.doc, name)
	if name != "" && index < 0 {
		http.Error(w, "the entry is no longer in the draft", http.StatusConflict)
		return
	}
	entry := reflect.ValueOf(section.newEntry())
	if name != "" {
		entry.Elem().Set(section.entries(s.draft.doc).Index(index))
	}
	content := entryPage{Section: section, Name: name, Fields: fieldsOf(entry.Elem(), name != "")}
	if applyForm(content.Fields, entry.Elem(), r.PostForm) {
		c.renderEntry(w, http.StatusUnprocessableEntity, s, content)
		return
	}
	newName := config.EntryName(entry.Interface())
	if message := checkEntryName(section, s.draft.doc, name, newName); message != "" {
		content.EntryFindings = []string{message}
		c.renderEntry(w, http.StatusUnprocessableEntity, s, content)
		return
	}
	s.draft.upsert(section, index, entry.Elem())
	s.notice = notice{Kind: "good", Text: "Saved in your draft. It takes effect when you publish."}
	http.Redirect(w, r, entryLink(section.Name, newName), http.StatusSeeOther)
}

// applyForm sets the members of the entry and reports whether a field could not
// be parsed.
func applyForm(fields []field, entry reflect.Value, form url.Values) (failed bool) {
	for i := range fields {
		if fields[i].ReadOnly || !form.Has(fields[i].Name) {
			continue
		}
		fields[i].Value = form.Get(fields[i].Name)
		if err := parseMember(entry.Field(i), fields[i].Value); err != nil {
			fields[i].Findings = append(fields[i].Findings, err.Error())
			failed = true
		}
	}
	return failed
}

// checkEntryName returns a message for the operator if the name is empty or, for
// a new entry, already used.
func checkEntryName(section section, doc *config.Document, oldName, name string) string {
	switch {
	case strings.Trim(name, ">") == "":
		return "The entry needs a name."
	case oldName == "" && section.indexOf(doc, name) >= 0:
		return fmt.Sprintf("There is an entry %q already.", name)
	}
	return ""
}

// upsert replaces the entry at index or, if index is negative, appends one. It
// modifies a copy of the document, because the base revision may share its lists.
func (d *draft) upsert(section section, index int, entry reflect.Value) {
	doc := d.doc.Canonical()
	list := section.entries(doc)
	if index < 0 {
		list.Set(reflect.Append(list, entry))
	} else {
		list.Index(index).Set(entry)
	}
	d.doc = doc.Canonical()
}

func (c *console) removeEntry(w http.ResponseWriter, r *http.Request, s *session) {
	section, ok := sectionByName(r.PathValue("section"))
	if !ok {
		http.NotFound(w, r)
		return
	}
	name := r.PostForm.Get("entry")
	patch := config.Patch{{Section: section.Name, Entry: name, Remove: true}}
	doc, err := config.Apply(s.draft.doc, patch)
	if err != nil {
		http.Error(w, "the entry is no longer in the draft", http.StatusConflict)
		return
	}
	s.draft.doc = doc
	s.notice = notice{Kind: "good", Text: "Removed " + name + " from your draft."}
	redirect(w, r, "/"+section.Name)
}

func (c *console) discard(w http.ResponseWriter, r *http.Request, s *session) {
	s.draft = newDraft(c.options.ActiveRevision())
	s.notice = notice{Kind: "good", Text: "Your draft is discarded."}
	redirect(w, r, "/")
}

func (c *console) rebase(w http.ResponseWriter, r *http.Request, s *session) {
	rebased, notes, err := s.draft.rebase(c.options.ActiveRevision())
	if err != nil {
		s.notice = notice{Kind: "bad", Text: "The draft cannot be carried over: " + err.Error()}
		redirect(w, r, "/")
		return
	}
	s.draft = rebased
	s.notice = notice{Kind: "good", Text: fmt.Sprintf("Your draft is now based on revision %d.", revisionNumber(rebased.base)), Lines: notes}
	redirect(w, r, "/")
}

func (c *console) publish(w http.ResponseWriter, r *http.Request, s *session) {
	showError := func(status int, text string) {
		s.notice = notice{Kind: "bad", Text: text}
		c.render(w, status, "overview", c.sessionPage(s, "Overview", "", c.overviewOf(s)))
	}
	switch {
	case r.PostForm.Get("digest") != s.draft.doc.Digest():
		showError(http.StatusConflict, "The draft has changed since this page was shown. Check it again.")
		return
	case len(s.draft.findings()) > 0:
		showError(http.StatusUnprocessableEntity, "Nothing was published: the draft has findings.")
		return
	case s.draft.unchanged():
		showError(http.StatusUnprocessableEntity, "Nothing was published: the draft has no changes.")
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), publishTimeout)
	defer cancel()
	result, err := c.options.Publish(ctx, configsync.Proposal{
		Base: s.draft.base, Document: s.draft.doc, Author: s.author, Note: r.PostForm.Get("note"),
	})
	if err != nil {
		showError(http.StatusInternalServerError, "Nothing was published: "+err.Error())
		return
	}
	c.showPublishResult(w, r, s, result, showError)
}

func (c *console) showPublishResult(w http.ResponseWriter, r *http.Request, s *session, result configsync.PublishResult, showError func(int, string)) {
	switch result.Result {
	case configlog.ResultAccepted:
		c.waitForRevision(r.Context(), result.Revision)
		s.draft = newDraft(c.options.ActiveRevision())
		s.notice = notice{Kind: "good", Text: fmt.Sprintf("Published as revision %d.", result.Revision)}
		redirect(w, r, "/")
	case configlog.ResultSuperseded:
		c.waitForRevision(r.Context(), result.Revision)
		showError(http.StatusConflict, fmt.Sprintf("Nothing was published: revision %d was accepted before yours. "+
			"See below what changed, and carry your draft onto it.", result.Revision))
	case configlog.ResultInvalid:
		showError(http.StatusUnprocessableEntity, "The document was refused: "+result.Reason)
	case configlog.ResultNotSent:
		showError(http.StatusServiceUnavailable, "Nothing was published: the log service is unavailable. "+result.Reason)
	default:
		showError(http.StatusBadGateway, "The outcome is unknown: "+result.Reason+
			". Your draft may still take effect; look at the revision in force before you publish again.")
	}
}

// waitForRevision waits until the revision is active in this process, for at
// most activationTimeout.
func (c *console) waitForRevision(ctx context.Context, number int64) {
	ctx, cancel := context.WithTimeout(ctx, activationTimeout)
	defer cancel()
	ticker := time.NewTicker(activationPollInterval)
	defer ticker.Stop()
	for revisionNumber(c.options.ActiveRevision()) < number {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

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

func sameToken(a, b string) bool { return subtle.ConstantTimeCompare([]byte(a), []byte(b)) == 1 }

func inSection(path, name string) bool {
	return path == name || strings.HasPrefix(path, name+"[")
}

// linkedFinding is a finding with the form that mends it.
type linkedFinding struct {
	Place, Message, Link string
}

type overview struct {
	Changes  []string
	Findings []linkedFinding
	// Digest names the draft that is shown, so that no other one is published.
	Digest string
	// Meanwhile is what others published since the draft's base.
	Meanwhile []string
}

func (c *console) overviewOf(s *session) overview {
	o := overview{Changes: s.draft.changes(), Findings: s.draft.linkedFindings(), Digest: s.draft.doc.Digest()}
	if current := c.options.ActiveRevision(); numberOf(current) != numberOf(s.draft.base) {
		o.Meanwhile, _ = config.Summary(documentOf(s.draft.base), documentOf(current))
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

// link names the entry instead of its index, which operators do not see.
func (d *draft) link(path, message string) linkedFinding {
	name, rest, indexed := strings.Cut(path, "[")
	section, ok := sectionNamed(name)
	if !ok || !indexed {
		return linkedFinding{Place: path, Message: message, Link: PathPrefix + "/" + name}
	}
	digits, member, _ := strings.Cut(rest, "]")
	index, err := strconv.Atoi(digits)
	if err != nil || index >= section.list(d.doc).Len() {
		return linkedFinding{Place: path, Message: message, Link: PathPrefix + "/" + name}
	}
	entry := config.EntryName(section.list(d.doc).Index(index).Addr().Interface())
	member, line, _ := strings.Cut(strings.TrimPrefix(member, "."), "[")
	if line != "" {
		message = messageAt("."+member+"["+line, member, message)
	}
	return linkedFinding{Place: strings.TrimSuffix(name+": "+entry+": "+member, ": "), Message: message, Link: entryLink(name, entry)}
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
	// Left is the number of matching entries that are not listed.
	Left int
}

type row struct {
	Link     string
	Cells    []string
	Findings int
}

// columns are the members shown in a section's list, besides the name.
const maxColumns = 6

func (c *console) showSection(w http.ResponseWriter, r *http.Request, s *session) {
	section, ok := sectionNamed(r.PathValue("section"))
	if !ok {
		http.NotFound(w, r)
		return
	}
	content := sectionPage{Section: section, Query: r.URL.Query().Get("q")}
	list := section.list(s.draft.doc)
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
		if len(content.Rows) == pageEntries {
			content.Left++
			continue
		}
		content.Rows = append(content.Rows, row{entryLink(section.Name, name), cells(list.Index(i)), counts[i]})
	}
	c.render(w, http.StatusOK, "section", c.sessionPage(s, section.Title, section.Name, content))
}

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
		text := show(entry.Field(i))
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
	Whole  []string
}

func (c *console) showEntry(w http.ResponseWriter, r *http.Request, s *session) {
	section, ok := sectionNamed(r.PathValue("section"))
	if !ok {
		http.NotFound(w, r)
		return
	}
	name := r.URL.Query().Get("name")
	content := entryPage{Section: section, Name: name}
	if name == "" {
		content.Fields = fieldsOf(reflect.ValueOf(section.new()).Elem(), false)
	} else {
		i := section.find(s.draft.doc, name)
		if i < 0 {
			http.NotFound(w, r)
			return
		}
		content.Fields = fieldsOf(section.list(s.draft.doc).Index(i), true)
		content.Whole = addFindings(content.Fields, s.draft.findings(), fmt.Sprintf("%s[%d]", section.Name, i))
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

// saveEntry takes a form into the draft. Text that cannot be read is shown
// again at its field; anything else is taken, and its findings are shown, so
// that an operator may finish one entry before the one it refers to.
func (c *console) saveEntry(w http.ResponseWriter, r *http.Request, s *session) {
	section, ok := sectionNamed(r.PathValue("section"))
	if !ok {
		http.NotFound(w, r)
		return
	}
	name := r.PostForm.Get("entry")
	index := section.find(s.draft.doc, name)
	if name != "" && index < 0 {
		http.Error(w, "the entry is no longer in the draft", http.StatusConflict)
		return
	}
	entry := reflect.ValueOf(section.new())
	if name != "" {
		entry.Elem().Set(section.list(s.draft.doc).Index(index))
	}
	content := entryPage{Section: section, Name: name, Fields: fieldsOf(entry.Elem(), name != "")}
	if readForm(content.Fields, entry.Elem(), r.PostForm) {
		c.renderEntry(w, http.StatusUnprocessableEntity, s, content)
		return
	}
	added := config.EntryName(entry.Interface())
	if message := nameProblem(section, s.draft.doc, name, added); message != "" {
		content.Whole = []string{message}
		c.renderEntry(w, http.StatusUnprocessableEntity, s, content)
		return
	}
	s.draft.put(section, index, entry.Elem())
	s.notice = notice{Kind: "good", Text: "Saved in your draft. It takes effect when you publish."}
	http.Redirect(w, r, entryLink(section.Name, added), http.StatusSeeOther)
}

// readForm sets the entry's members and tells whether a field could not be read.
func readForm(fields []field, entry reflect.Value, form url.Values) (failed bool) {
	for i := range fields {
		if fields[i].ReadOnly || !form.Has(fields[i].Name) {
			continue
		}
		fields[i].Value = form.Get(fields[i].Name)
		if err := read(entry.Field(i), fields[i].Value); err != nil {
			fields[i].Findings = append(fields[i].Findings, err.Error())
			failed = true
		}
	}
	return failed
}

func nameProblem(section section, doc *config.Document, old, name string) string {
	switch {
	case strings.Trim(name, ">") == "":
		return "The entry needs a name."
	case old == "" && section.find(doc, name) >= 0:
		return fmt.Sprintf("There is an entry %q already.", name)
	}
	return ""
}

// put replaces or adds an entry. The list is copied, because the base revision
// may share it.
func (d *draft) put(section section, index int, entry reflect.Value) {
	doc := d.doc.Canonical()
	list := section.list(doc)
	if index < 0 {
		list.Set(reflect.Append(list, entry))
	} else {
		list.Index(index).Set(entry)
	}
	d.doc = doc.Canonical()
}

func (c *console) removeEntry(w http.ResponseWriter, r *http.Request, s *session) {
	section, ok := sectionNamed(r.PathValue("section"))
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

func (c *console) carry(w http.ResponseWriter, r *http.Request, s *session) {
	carried, notes, err := s.draft.carry(c.options.ActiveRevision())
	if err != nil {
		s.notice = notice{Kind: "bad", Text: "The draft cannot be carried over: " + err.Error()}
		redirect(w, r, "/")
		return
	}
	s.draft = carried
	s.notice = notice{Kind: "good", Text: fmt.Sprintf("Your draft is now based on revision %d.", numberOf(carried.base)), Lines: notes}
	redirect(w, r, "/")
}

func (c *console) publish(w http.ResponseWriter, r *http.Request, s *session) {
	refuse := func(status int, text string) {
		s.notice = notice{Kind: "bad", Text: text}
		c.render(w, status, "overview", c.sessionPage(s, "Overview", "", c.overviewOf(s)))
	}
	switch {
	case r.PostForm.Get("digest") != s.draft.doc.Digest():
		refuse(http.StatusConflict, "The draft has changed since this page was shown. Check it again.")
		return
	case len(s.draft.findings()) > 0:
		refuse(http.StatusUnprocessableEntity, "Nothing was published: the draft has findings.")
		return
	case s.draft.unchanged():
		refuse(http.StatusUnprocessableEntity, "Nothing was published: the draft has no changes.")
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), publishTimeout)
	defer cancel()
	report, err := c.options.Publish(ctx, configsync.Proposal{
		Base: s.draft.base, Document: s.draft.doc, Author: s.author, Note: r.PostForm.Get("note"),
	})
	if err != nil {
		refuse(http.StatusInternalServerError, "Nothing was published: "+err.Error())
		return
	}
	c.showReport(w, r, s, report, refuse)
}

func (c *console) showReport(w http.ResponseWriter, r *http.Request, s *session, report configsync.PublishResult, refuse func(int, string)) {
	switch report.Result {
	case configlog.ResultAccepted:
		c.waitFor(r.Context(), report.Revision)
		s.draft = newDraft(c.options.ActiveRevision())
		s.notice = notice{Kind: "good", Text: fmt.Sprintf("Published as revision %d.", report.Revision)}
		redirect(w, r, "/")
	case configlog.ResultSuperseded:
		c.waitFor(r.Context(), report.Revision)
		refuse(http.StatusConflict, fmt.Sprintf("Nothing was published: revision %d was accepted before yours. "+
			"See below what changed, and carry your draft onto it.", report.Revision))
	case configlog.ResultInvalid:
		refuse(http.StatusUnprocessableEntity, "The document was refused: "+report.Reason)
	case configlog.ResultNotSent:
		refuse(http.StatusServiceUnavailable, "Nothing was published: the log service is unavailable. "+report.Reason)
	default:
		refuse(http.StatusBadGateway, "The outcome is unknown: "+report.Reason+
			". Your draft may still take effect; look at the revision in force before you publish again.")
	}
}

// waitFor waits until this process has the revision in force.
func (c *console) waitFor(ctx context.Context, number int64) {
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	ticker := time.NewTicker(settlePause)
	defer ticker.Stop()
	for numberOf(c.options.ActiveRevision()) < number {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

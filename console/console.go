// Package console serves the operators' web console for the configuration
// document. A session collects edits from several forms in one draft document
// and publishes it as one revision.
package console

import (
	"bytes"
	"context"
	"embed"
	"fmt"
	"html/template"
	"net/http"
	"time"

	"github.com/sapphirefield/sapphirefield/configlog"
	"github.com/sapphirefield/sapphirefield/configsync"
)

// PathPrefix is the path below which the console is served.
const PathPrefix = "/console"

const (
	// maxFormBytes limits the size of a posted form; the form of a team takes a few
	// kilobytes.
	maxFormBytes = 1 << 20
	// maxPageEntries limits the number of entries listed on one page.
	maxPageEntries = 200
	// publishTimeout limits the time of one publication, including any time during
	// which the log service is unavailable.
	publishTimeout = 20 * time.Second
	// activationTimeout is how long the console waits until its own process uses a
	// revision that was just accepted. The target for all processes is 3 s.
	activationTimeout      = 3 * time.Second
	activationPollInterval = 20 * time.Millisecond
)

// Options configures the console. ActiveRevision, Publish and CheckPassword are
// required.
type Options struct {
	// ActiveRevision returns the active revision, or nil before the first one.
	ActiveRevision func() *configlog.Revision
	// Publish appends a proposal to the log and reports whether it was accepted. It
	// is usually (*configsync.Sync).Publish.
	Publish func(context.Context, configsync.Proposal) (configsync.PublishResult, error)
	// CheckPassword reports whether a password is the operators' password. It is
	// usually the method Matches of a settings.PasswordHash.
	CheckPassword func(password string) bool
	// SecureCookie restricts the session cookie to TLS connections.
	SecureCookie bool
	// Now defaults to time.Now.
	Now func() time.Time
}

//go:embed templates/*.html
var templateFiles embed.FS

//go:embed style.css
var stylesheet []byte

type console struct {
	options  Options
	sessions *sessionStore
	pages    map[string]*template.Template
}

// Handler returns the HTTP handler of the console for the paths below PathPrefix.
func Handler(options Options) http.Handler {
	if options.Now == nil {
		options.Now = time.Now
	}
	c := &console{options: options, sessions: newSessionStore(options.Now), pages: map[string]*template.Template{}}
	for _, name := range []string{"sign-in", "overview", "section", "entry"} {
		c.pages[name] = template.Must(template.ParseFS(templateFiles, "templates/layout.html", "templates/"+name+".html"))
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+PathPrefix+"/style.css", serveStyle)
	mux.HandleFunc("GET "+PathPrefix+"/sign-in", c.showSignIn)
	mux.HandleFunc("POST "+PathPrefix+"/sign-in", c.signIn)
	mux.HandleFunc("GET "+PathPrefix+"/{$}", c.withSession(c.showOverview))
	mux.HandleFunc("GET "+PathPrefix+"/{section}", c.withSession(c.showSection))
	mux.HandleFunc("GET "+PathPrefix+"/{section}/entry", c.withSession(c.showEntry))
	mux.HandleFunc("POST "+PathPrefix+"/{section}/entry", c.withSession(c.saveEntry))
	mux.HandleFunc("POST "+PathPrefix+"/{section}/remove", c.withSession(c.removeEntry))
	mux.HandleFunc("POST "+PathPrefix+"/publish", c.withSession(c.publish))
	mux.HandleFunc("POST "+PathPrefix+"/discard", c.withSession(c.discard))
	mux.HandleFunc("POST "+PathPrefix+"/carry", c.withSession(c.rebase))
	mux.HandleFunc("POST "+PathPrefix+"/sign-out", c.withSession(c.signOut))
	mux.Handle("GET "+PathPrefix, http.RedirectHandler(PathPrefix+"/", http.StatusSeeOther))
	return secureHeaders(mux)
}

func secureHeaders(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h := w.Header()
		h.Set("Content-Security-Policy", "default-src 'none'; style-src 'self'; form-action 'self'; frame-ancestors 'none'; base-uri 'none'")
		h.Set("X-Content-Type-Options", "nosniff")
		h.Set("Referrer-Policy", "same-origin")
		h.Set("Cache-Control", "no-store")
		r.Body = http.MaxBytesReader(w, r.Body, maxFormBytes)
		next.ServeHTTP(w, r)
	})
}

func serveStyle(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/css; charset=utf-8")
	_, _ = w.Write(stylesheet)
}

// page is the data of the layout template, with the content of one page.
type page struct {
	Title   string
	Prefix  string
	Author  string
	CSRF    string
	Nav     []navItem
	Base    int64
	Changes int
	// Current is the active revision. BaseOutdated is set if the draft is based on
	// another one.
	Current      int64
	BaseOutdated bool
	Notice       notice
	Content      any
}

type navItem struct {
	Name, Title string
	Count       int
	Findings    int
	Active      bool
}

func (c *console) render(w http.ResponseWriter, status int, name string, p page) {
	p.Prefix = PathPrefix
	var buffer bytes.Buffer
	if err := c.pages[name].ExecuteTemplate(&buffer, "layout", p); err != nil {
		http.Error(w, "the page could not be made", http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "text/html; charset=utf-8")
	w.WriteHeader(status)
	_, _ = w.Write(buffer.Bytes())
}

type sessionHandler func(w http.ResponseWriter, r *http.Request, s *session)

// withSession requires a session and, for a POST request, its CSRF token. It
// holds the lock of the session while next runs, so that two browser tabs do not
// change the draft concurrently. A draft without changes is replaced by one that
// is based on the active revision.
func (c *console) withSession(next sessionHandler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s, _ := c.sessions.find(r)
		if s == nil {
			http.Redirect(w, r, PathPrefix+"/sign-in", http.StatusSeeOther)
			return
		}
		if r.Method == http.MethodPost && !validPost(r, s) {
			http.Error(w, "the form is too old or does not come from this console; load the page again", http.StatusForbidden)
			return
		}
		s.mutex.Lock()
		defer s.mutex.Unlock()
		if s.draft == nil || s.draft.base != c.options.ActiveRevision() && s.draft.unchanged() {
			s.draft = newDraft(c.options.ActiveRevision())
		}
		next(w, r, s)
	}
}

func validPost(r *http.Request, s *session) bool {
	return r.ParseForm() == nil && tokensEqual(r.PostForm.Get("csrf"), s.csrf)
}

func (c *console) showSignIn(w http.ResponseWriter, _ *http.Request) {
	c.render(w, http.StatusOK, "sign-in", page{Title: "Sign in"})
}

func (c *console) signIn(w http.ResponseWriter, r *http.Request) {
	showError := func(status int, text string) {
		c.render(w, status, "sign-in", page{Title: "Sign in", Notice: notice{Kind: "bad", Text: text}})
	}
	if !c.sessions.limiter.AllowN(c.sessions.now(), 1) {
		showError(http.StatusTooManyRequests, "Too many attempts; wait a few seconds.")
		return
	}
	author := r.PostFormValue("author")
	switch {
	case !c.options.CheckPassword(r.PostFormValue("password")) || author == "":
		showError(http.StatusForbidden, "Enter your name and the operators' password.")
	default:
		http.SetCookie(w, &http.Cookie{
			Name: sessionCookie, Value: c.sessions.create(author), Path: PathPrefix,
			HttpOnly: true, Secure: c.options.SecureCookie, SameSite: http.SameSiteStrictMode,
		})
		http.Redirect(w, r, PathPrefix+"/", http.StatusSeeOther)
	}
}

func (c *console) signOut(w http.ResponseWriter, r *http.Request, _ *session) {
	_, token := c.sessions.find(r)
	c.sessions.remove(token)
	http.SetCookie(w, &http.Cookie{Name: sessionCookie, Path: PathPrefix, MaxAge: -1})
	http.Redirect(w, r, PathPrefix+"/sign-in", http.StatusSeeOther)
}

// sessionPage returns the data of the layout and clears the notice of the
// session.
func (c *console) sessionPage(s *session, title, active string, content any) page {
	findings := s.draft.findings()
	p := page{
		Title: title, Author: s.author, CSRF: s.csrf, Content: content, Notice: s.notice,
		Base: revisionNumber(s.draft.base), Current: revisionNumber(c.options.ActiveRevision()),
		Changes: len(s.draft.changes()),
	}
	p.BaseOutdated = p.Current != p.Base
	s.notice = notice{}
	for _, section := range sections {
		item := navItem{Name: section.Name, Title: section.Title, Active: section.Name == active}
		item.Count = section.entries(s.draft.doc).Len()
		for _, f := range findings {
			if inSection(f.Path, section.Name) {
				item.Findings++
			}
		}
		p.Nav = append(p.Nav, item)
	}
	return p
}

func redirect(w http.ResponseWriter, r *http.Request, path string) {
	http.Redirect(w, r, PathPrefix+path, http.StatusSeeOther)
}

func plural(n int, one string) string {
	if n == 1 {
		return "1 " + one
	}
	return fmt.Sprintf("%d %ss", n, one)
}

package ops

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"net/http"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/sapphirefield/sapphirefield/settings"
)

const (
	// guessInterval and guessBurst limit the checks of unknown passwords, because
	// one check is slow by design and would take processor time from requests.
	guessInterval = 2 * time.Second
	guessBurst    = 5
)

// guard asks for the operators' password by HTTP basic authentication. It keeps
// a keyed digest of the last accepted password in memory, so that a scraper's
// requests do not each cost a full check.
type guard struct {
	password settings.PasswordHash
	next     http.Handler
	guesses  *rate.Limiter
	key      []byte

	mu       sync.Mutex
	accepted []byte
}

func newGuard(password settings.PasswordHash, next http.Handler) http.Handler {
	if !password.IsSet() {
		return next
	}
	key := make([]byte, sha256.Size)
	// crypto/rand.Read never returns an error.
	_, _ = rand.Read(key)
	limiter := rate.NewLimiter(rate.Every(guessInterval), guessBurst)
	return &guard{password: password, next: next, guesses: limiter, key: key}
}

// ServeHTTP implements http.Handler.
func (g *guard) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, password, given := r.BasicAuth()
	switch {
	case !given:
		deny(w)
	case g.known(password):
		g.next.ServeHTTP(w, r)
	case !g.guesses.Allow():
		w.Header().Set("Retry-After", "2")
		writeText(w, http.StatusTooManyRequests, "too many wrong passwords\n")
	case g.check(password):
		g.next.ServeHTTP(w, r)
	default:
		deny(w)
	}
}

func (g *guard) known(password string) bool {
	sum := g.sum(password)
	g.mu.Lock()
	defer g.mu.Unlock()
	return hmac.Equal(sum, g.accepted)
}

func (g *guard) check(password string) bool {
	if !g.password.Matches(password) {
		return false
	}
	sum := g.sum(password)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.accepted = sum
	return true
}

func (g *guard) sum(password string) []byte {
	mac := hmac.New(sha256.New, g.key)
	mac.Write([]byte(password))
	return mac.Sum(nil)
}

func deny(w http.ResponseWriter) {
	w.Header().Set("WWW-Authenticate", `Basic realm="sapphirefield", charset="UTF-8"`)
	writeText(w, http.StatusUnauthorized, "operators' password required\n")
}

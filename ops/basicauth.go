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
	// passwordCheckInterval and passwordCheckBurst limit the rate of checks of
	// unknown passwords, because a check is slow by design and would take CPU time
	// from requests.
	passwordCheckInterval = 2 * time.Second
	passwordCheckBurst    = 5
)

// basicAuth requires the operator password by HTTP basic authentication. It keeps
// a keyed digest of the last accepted password in memory, so that not every
// request of a scraper costs a full check.
type basicAuth struct {
	password  settings.PasswordHash
	next      http.Handler
	limiter   *rate.Limiter
	digestKey []byte

	mu             sync.Mutex
	acceptedDigest []byte
}

// newBasicAuth returns next itself if no password is set.
func newBasicAuth(password settings.PasswordHash, next http.Handler) http.Handler {
	if !password.IsSet() {
		return next
	}
	key := make([]byte, sha256.Size)
	// crypto/rand.Read never returns an error.
	_, _ = rand.Read(key)
	limiter := rate.NewLimiter(rate.Every(passwordCheckInterval), passwordCheckBurst)
	return &basicAuth{password: password, next: next, limiter: limiter, digestKey: key}
}

// ServeHTTP implements http.Handler.
func (a *basicAuth) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, password, given := r.BasicAuth()
	switch {
	case !given:
		writeUnauthorized(w)
	case a.isAccepted(password):
		a.next.ServeHTTP(w, r)
	case !a.limiter.Allow():
		w.Header().Set("Retry-After", "2")
		writeText(w, http.StatusTooManyRequests, "too many wrong passwords\n")
	case a.verify(password):
		a.next.ServeHTTP(w, r)
	default:
		writeUnauthorized(w)
	}
}

// isAccepted reports whether password is the last accepted one.
func (a *basicAuth) isAccepted(password string) bool {
	digest := a.digest(password)
	a.mu.Lock()
	defer a.mu.Unlock()
	return hmac.Equal(digest, a.acceptedDigest)
}

// verify makes a full check of password and remembers it if it is correct.
func (a *basicAuth) verify(password string) bool {
	if !a.password.Matches(password) {
		return false
	}
	digest := a.digest(password)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.acceptedDigest = digest
	return true
}

func (a *basicAuth) digest(password string) []byte {
	mac := hmac.New(sha256.New, a.digestKey)
	mac.Write([]byte(password))
	return mac.Sum(nil)
}

func writeUnauthorized(w http.ResponseWriter) {
	w.Header().Set("WWW-Authenticate", `Basic realm="sapphirefield", charset="UTF-8"`)
	writeText(w, http.StatusUnauthorized, "operators' password required\n")
}

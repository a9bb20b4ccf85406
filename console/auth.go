package console

import (
	"crypto/rand"
	"net/http"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

const (
	sessionCookie = "sapphirefield_console"
	// sessionIdleTimeout is how long a session may be unused before it ends. Its
	// draft is then lost.
	sessionIdleTimeout = 2 * time.Hour
	maxSessions        = 64

	// signInsPerSecond and signInBurst limit the rate of sign-in attempts, against
	// brute-force guessing of the password.
	signInsPerSecond = 0.5
	signInBurst      = 5
)

// session holds the state of one signed-in operator, including the draft.
type session struct {
	mutex  sync.Mutex
	author string
	csrf   string
	// lastUsed is guarded by the mutex of the sessionStore, not by mutex.
	lastUsed time.Time
	draft    *draft
	// notice is shown once, on the next page.
	notice notice
}

// notice is a message to the operator above the content of a page.
type notice struct {
	Kind, Text string
	Lines      []string
}

// sessionStore keeps the sessions in memory; they are lost when the process
// restarts.
type sessionStore struct {
	mutex   sync.Mutex
	byToken map[string]*session
	limiter *rate.Limiter
	now     func() time.Time
}

func newSessionStore(now func() time.Time) *sessionStore {
	return &sessionStore{byToken: map[string]*session{}, limiter: rate.NewLimiter(signInsPerSecond, signInBurst), now: now}
}

// create adds a session and returns its token. At the limit of maxSessions it
// removes the least recently used session.
func (s *sessionStore) create(author string) (token string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if len(s.byToken) >= maxSessions {
		delete(s.byToken, s.leastRecentlyUsed())
	}
	token = rand.Text()
	s.byToken[token] = &session{author: author, csrf: rand.Text(), lastUsed: s.now()}
	return token
}

func (s *sessionStore) leastRecentlyUsed() (oldest string) {
	for token, session := range s.byToken {
		if oldest == "" || session.lastUsed.Before(s.byToken[oldest].lastUsed) {
			oldest = token
		}
	}
	return oldest
}

// find returns the session of the request's cookie and its token, and marks the
// session as used. It returns nil if there is no session or it has expired.
func (s *sessionStore) find(r *http.Request) (*session, string) {
	cookie, err := r.Cookie(sessionCookie)
	if err != nil {
		return nil, ""
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	found := s.byToken[cookie.Value]
	if found == nil {
		return nil, ""
	}
	if s.now().Sub(found.lastUsed) > sessionIdleTimeout {
		delete(s.byToken, cookie.Value)
		return nil, ""
	}
	found.lastUsed = s.now()
	return found, cookie.Value
}

func (s *sessionStore) remove(token string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.byToken, token)
}

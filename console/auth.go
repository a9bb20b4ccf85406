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
	// sessionIdle ends a session whose operator walked away; its edits are lost.
	sessionIdle = 2 * time.Hour
	maxSessions = 64

	// signInsPerSecond and signInBurst slow down the guessing of passwords.
	signInsPerSecond = 0.5
	signInBurst      = 5
)

// session is one signed-in operator and the edits gathered so far.
type session struct {
	mutex  sync.Mutex
	author string
	csrf   string
	// lastUsed belongs to the sessions that hold the session.
	lastUsed time.Time
	draft    *draft
	// notice is shown on the next page.
	notice notice
}

type notice struct {
	Kind, Text string
	Lines      []string
}

// sessions keeps the sessions in memory: a restart of the process ends them.
type sessions struct {
	mutex   sync.Mutex
	byToken map[string]*session
	limiter *rate.Limiter
	now     func() time.Time
}

func newSessions(now func() time.Time) *sessions {
	return &sessions{byToken: map[string]*session{}, limiter: rate.NewLimiter(signInsPerSecond, signInBurst), now: now}
}

// start adds a session. At the limit the one that was idle longest ends.
func (s *sessions) start(author string) (token string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if len(s.byToken) >= maxSessions {
		delete(s.byToken, s.oldest())
	}
	token = rand.Text()
	s.byToken[token] = &session{author: author, csrf: rand.Text(), lastUsed: s.now()}
	return token
}

func (s *sessions) oldest() (oldest string) {
	for token, session := range s.byToken {
		if oldest == "" || session.lastUsed.Before(s.byToken[oldest].lastUsed) {
			oldest = token
		}
	}
	return oldest
}

func (s *sessions) find(r *http.Request) (*session, string) {
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
	if s.now().Sub(found.lastUsed) > sessionIdle {
		delete(s.byToken, cookie.Value)
		return nil, ""
	}
	found.lastUsed = s.now()
	return found, cookie.Value
}

func (s *sessions) end(token string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.byToken, token)
}

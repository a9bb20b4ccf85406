package console

import (
	"crypto/pbkdf2"
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/base64"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/time/rate"
)

const (
	hashScheme = "pbkdf2-sha256"
	// hashIterations follows the advice of OWASP for PBKDF2 with SHA-256.
	hashIterations = 600_000
	// maxIterations keeps a slip in the settings from making sign-in take minutes.
	maxIterations = 10_000_000
	saltBytes     = 16
	hashBytes     = 32

	sessionCookie = "sapphirefield_console"
	// sessionIdle ends a session whose operator walked away; its edits are lost.
	sessionIdle = 2 * time.Hour
	maxSessions = 64

	// signInsPerSecond and signInBurst slow down the guessing of passwords.
	signInsPerSecond = 0.5
	signInBurst      = 5
)

// HashPassword returns the form in which settings keep the operators' password.
func HashPassword(password string) (string, error) {
	return hashPassword(password, hashIterations)
}

func hashPassword(password string, iterations int) (string, error) {
	salt := make([]byte, saltBytes)
	rand.Read(salt)
	key, err := pbkdf2.Key(sha256.New, password, salt, iterations, hashBytes)
	if err != nil {
		return "", err
	}
	encode := base64.RawStdEncoding.EncodeToString
	return fmt.Sprintf("%s$%d$%s$%s", hashScheme, iterations, encode(salt), encode(key)), nil
}

// CheckPassword tells whether a password fits a hash made by HashPassword. The
// error tells that the hash has another form.
func CheckPassword(hash, password string) (bool, error) {
	parts := strings.Split(hash, "$")
	if len(parts) != 4 || parts[0] != hashScheme {
		return false, errors.Errorf("the password hash must have the form %s$iterations$salt$key", hashScheme)
	}
	iterations, err := strconv.Atoi(parts[1])
	if err != nil || iterations < 1 || iterations > maxIterations {
		return false, errors.Errorf("the iterations of the password hash must be from 1 to %d", maxIterations)
	}
	salt, err := base64.RawStdEncoding.DecodeString(parts[2])
	if err != nil {
		return false, errors.Wrap(err, "salt of the password hash")
	}
	want, err := base64.RawStdEncoding.DecodeString(parts[3])
	if err != nil || len(want) != hashBytes {
		return false, errors.Errorf("the key of the password hash must have %d bytes in base64", hashBytes)
	}
	key, err := pbkdf2.Key(sha256.New, password, salt, iterations, hashBytes)
	if err != nil {
		return false, err
	}
	return subtle.ConstantTimeCompare(key, want) == 1, nil
}

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

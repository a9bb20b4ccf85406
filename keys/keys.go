// Package keys holds the TLS keys and certificates of a process. They are read
// from files and read again without a restart when the files change; a broken
// change keeps the old keys in use.
package keys

import (
	"bytes"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/sapphirefield/sapphirefield/settings"
)

// Clock returns the time against which certificates are checked.
type Clock func() time.Time

// files are the contents of one set of PEM files; ca is empty when there is none.
type files struct {
	certificate, key, ca []byte
}

func readFiles(pair settings.KeyPair, caFile string) (files, error) {
	var f files
	var err error
	if f.certificate, err = os.ReadFile(pair.Certificate); err != nil {
		return files{}, err
	}
	if f.key, err = os.ReadFile(pair.Key); err != nil {
		return files{}, err
	}
	if caFile != "" {
		f.ca, err = os.ReadFile(caFile)
	}
	return f, err
}

// sum tells contents apart without keeping a second copy of the private key.
func (f files) sum() [sha256.Size]byte {
	h := sha256.New()
	for _, part := range [][]byte{f.certificate, f.key, f.ca} {
		s := sha256.Sum256(part)
		h.Write(s[:])
	}
	return [sha256.Size]byte(h.Sum(nil))
}

// material is one checked set of keys. It never changes.
type material struct {
	certificate *tls.Certificate
	leaf        *x509.Certificate
	// roots is nil for callers, who are not asked for certificates.
	roots *x509.CertPool
}

// parse checks what every set of keys must meet. The contents are compared and
// not the times of the files, because some platforms swap directories.
func parse(f files, now time.Time) (*material, error) {
	certificate, err := tls.X509KeyPair(f.certificate, f.key)
	if err != nil {
		return nil, err
	}
	leaf, err := x509.ParseCertificate(certificate.Certificate[0])
	if err != nil {
		return nil, err
	}
	if now.After(leaf.NotAfter) {
		return nil, errors.Errorf("the certificate ended at %s", leaf.NotAfter.UTC().Format(time.RFC3339))
	}
	if now.Before(leaf.NotBefore) {
		return nil, errors.Errorf("the certificate begins only at %s", leaf.NotBefore.UTC().Format(time.RFC3339))
	}
	certificate.Leaf = leaf
	m := &material{certificate: &certificate, leaf: leaf}
	if len(f.ca) == 0 {
		return m, nil
	}
	m.roots = x509.NewCertPool()
	if !m.roots.AppendCertsFromPEM(bytes.TrimSpace(f.ca)) {
		return nil, errors.New("the file of the authority holds no certificate")
	}
	return m, nil
}

// source reads one set of keys again and again.
type source struct {
	pair   settings.KeyPair
	caFile string
	clock  Clock
	// check applies further rules to new keys; it may be nil.
	check func(m *material, now time.Time) error

	current atomic.Pointer[material]

	mu    sync.Mutex
	tried [sha256.Size]byte
	// unreadable is the last error of reading, so that it is reported once.
	unreadable string
}

// load reads the keys for the first time.
func (s *source) load() error {
	if _, err := s.Reload(); err != nil {
		return err
	}
	return nil
}

// Reload reads the files and takes new keys into use for the connections that
// follow. It returns an error once for each broken content, and the old keys
// stay in use. The driver calls it from time to time.
func (s *source) Reload() (changed bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f, err := readFiles(s.pair, s.caFile)
	if err != nil {
		return false, s.onceUnreadable(err)
	}
	s.unreadable = ""
	sum := f.sum()
	if sum == s.tried {
		return false, nil
	}
	s.tried = sum
	m, err := s.accept(f)
	if err != nil {
		return false, errors.Wrap(err, s.pair.Certificate)
	}
	s.current.Store(m)
	return true, nil
}

func (s *source) onceUnreadable(err error) error {
	if err.Error() == s.unreadable {
		return nil
	}
	s.unreadable = err.Error()
	return err
}

func (s *source) accept(f files) (*material, error) {
	now := s.clock()
	m, err := parse(f, now)
	if err != nil {
		return nil, err
	}
	if s.check == nil {
		return m, nil
	}
	return m, s.check(m, now)
}

// Expires returns the end of the certificate in use.
func (s *source) Expires() time.Time {
	return s.current.Load().leaf.NotAfter
}

// ServerCredentials holds the keys of a listener whose clients show no certificate: that
// of callers or of operators.
type ServerCredentials struct{ source }

// NewServerCredentials reads the files for the first time.
func NewServerCredentials(pair settings.KeyPair, clock Clock) (*ServerCredentials, error) {
	s := &ServerCredentials{source{pair: pair, clock: clock}}
	return s, s.load()
}

// Config returns the configuration for the listener.
func (s *ServerCredentials) Config() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		NextProtos: []string{"h2", "http/1.1"},
		Time:       s.clock,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return s.current.Load().certificate, nil
		},
	}
}

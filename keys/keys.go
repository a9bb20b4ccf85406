// Package keys holds the TLS keys and certificates of a process. They are loaded
// from files and reloaded without a restart when the files change. After an
// invalid change, the previous keys stay in use.
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

// Clock returns the time at which certificates must be valid.
type Clock func() time.Time

// pemFiles holds the contents of PEM files; ca is empty if there is no CA file.
type pemFiles struct {
	certificate, key, ca []byte
}

func readFiles(pair settings.KeyPair, caFile string) (pemFiles, error) {
	var f pemFiles
	var err error
	if f.certificate, err = os.ReadFile(pair.Certificate); err != nil {
		return pemFiles{}, err
	}
	if f.key, err = os.ReadFile(pair.Key); err != nil {
		return pemFiles{}, err
	}
	if caFile != "" {
		f.ca, err = os.ReadFile(caFile)
	}
	return f, err
}

// digest identifies the contents, so that no second copy of the private key is
// kept for comparison.
func (f pemFiles) digest() [sha256.Size]byte {
	h := sha256.New()
	for _, part := range [][]byte{f.certificate, f.key, f.ca} {
		s := sha256.Sum256(part)
		h.Write(s[:])
	}
	return [sha256.Size]byte(h.Sum(nil))
}

// credentials is a validated set of keys. It is immutable.
type credentials struct {
	certificate *tls.Certificate
	leaf        *x509.Certificate
	// roots is nil without a CA file, when clients are not asked for certificates.
	roots *x509.CertPool
}

// parseCredentials parses the files and checks that the key matches the
// certificate and that the certificate is valid at the given time.
func parseCredentials(f pemFiles, now time.Time) (*credentials, error) {
	certificate, err := tls.X509KeyPair(f.certificate, f.key)
	if err != nil {
		return nil, err
	}
	leaf, err := x509.ParseCertificate(certificate.Certificate[0])
	if err != nil {
		return nil, err
	}
	if now.After(leaf.NotAfter) {
		return nil, errors.Errorf("the certificate expired at %s", leaf.NotAfter.UTC().Format(time.RFC3339))
	}
	if now.Before(leaf.NotBefore) {
		return nil, errors.Errorf("the certificate is not valid before %s", leaf.NotBefore.UTC().Format(time.RFC3339))
	}
	certificate.Leaf = leaf
	c := &credentials{certificate: &certificate, leaf: leaf}
	if len(f.ca) == 0 {
		return c, nil
	}
	c.roots = x509.NewCertPool()
	if !c.roots.AppendCertsFromPEM(bytes.TrimSpace(f.ca)) {
		return nil, errors.New("the CA file contains no certificate")
	}
	return c, nil
}

// reloader holds the credentials of a set of files and reloads them.
type reloader struct {
	pair   settings.KeyPair
	caFile string
	clock  Clock
	// validate makes additional checks of new credentials; it may be nil.
	validate func(c *credentials, now time.Time) error

	current atomic.Pointer[credentials]

	mu         sync.Mutex
	lastDigest [sha256.Size]byte
	// lastReadError is the last error of reading the files, so that Reload returns
	// it only once.
	lastReadError string
}

// load reads the files for the first time.
func (r *reloader) load() error {
	if _, err := r.Reload(); err != nil {
		return err
	}
	return nil
}

// Reload reads the files. If their contents have changed, the new keys apply to
// later connections. It compares contents rather than modification times, because
// some platforms swap directories. If the contents are invalid, it returns an error
// once and the previous keys stay in use.
func (r *reloader) Reload() (changed bool, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f, err := readFiles(r.pair, r.caFile)
	if err != nil {
		return false, r.reportReadError(err)
	}
	r.lastReadError = ""
	digest := f.digest()
	if digest == r.lastDigest {
		return false, nil
	}
	r.lastDigest = digest
	c, err := r.parseAndValidate(f)
	if err != nil {
		return false, errors.Wrap(err, r.pair.Certificate)
	}
	r.current.Store(c)
	return true, nil
}

// reportReadError returns err, or nil if it repeats the previous error.
func (r *reloader) reportReadError(err error) error {
	if err.Error() == r.lastReadError {
		return nil
	}
	r.lastReadError = err.Error()
	return err
}

func (r *reloader) parseAndValidate(f pemFiles) (*credentials, error) {
	now := r.clock()
	c, err := parseCredentials(f, now)
	if err != nil {
		return nil, err
	}
	if r.validate == nil {
		return c, nil
	}
	return c, r.validate(c, now)
}

// Expires returns the time at which the certificate in use expires.
func (r *reloader) Expires() time.Time {
	return r.current.Load().leaf.NotAfter
}

// ServerCredentials holds the key and certificate of a listener whose clients
// present no certificate: the listener for client requests or the operator
// listener.
type ServerCredentials struct{ reloader }

// NewServerCredentials loads the files of pair and returns an error if they are
// invalid.
func NewServerCredentials(pair settings.KeyPair, clock Clock) (*ServerCredentials, error) {
	s := &ServerCredentials{reloader{pair: pair, clock: clock}}
	return s, s.load()
}

// Config returns a TLS configuration that always uses the current certificate.
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

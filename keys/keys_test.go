package keys

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"net/url"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sapphirefield/sapphirefield/settings"
)

var (
	now   = time.Unix(1_800_000_000, 0)
	entry = Identity{settings.RoleEntry, "entry-1"}
	car   = Identity{settings.RoleSidecar, "engine-17"}
)

func clock() time.Time { return now }

// authority signs certificates for tests.
type authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	file        string
}

func newKey(t *testing.T) *ecdsa.PrivateKey {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	return key
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	a := &authority{key: newKey(t), file: filepath.Join(t.TempDir(), "ca.pem")}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "ca"}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: now.Add(-time.Hour), NotAfter: now.Add(24 * time.Hour), KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &a.key.PublicKey, a.key)
	assert.NilError(t, err)
	a.certificate, err = x509.ParseCertificate(der)
	assert.NilError(t, err)
	writePEM(t, a.file, "CERTIFICATE", der)
	return a
}

func writePEM(t *testing.T, file, kind string, der []byte) {
	t.Helper()
	assert.NilError(t, os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600))
}

// issue writes a certificate and its key to the files of the pair.
func (a *authority) issue(t *testing.T, pair settings.KeyPair, ends time.Time, uris ...*url.URL) {
	t.Helper()
	key := newKey(t)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(2), Subject: pkix.Name{CommonName: "process"}, NotBefore: now.Add(-time.Hour), NotAfter: ends,
		URIs: uris, IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	assert.NilError(t, err)
	writePEM(t, pair.Certificate, "CERTIFICATE", der)
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	assert.NilError(t, err)
	writePEM(t, pair.Key, "PRIVATE KEY", keyDER)
}

func newPair(t *testing.T) settings.KeyPair {
	dir := t.TempDir()
	return settings.KeyPair{Certificate: filepath.Join(dir, "c.pem"), Key: filepath.Join(dir, "k.pem")}
}

func (a *authority) peers(t *testing.T, self Identity) (*PeerCredentials, settings.KeyPair) {
	t.Helper()
	pair := newPair(t)
	a.issue(t, pair, now.Add(time.Hour), self.URI())
	p, err := NewPeerCredentials(pair, a.file, self, clock)
	assert.NilError(t, err)
	return p, pair
}

// handshake connects the two sides over loopback and returns both errors and
// the identity that the server saw.
func handshake(t *testing.T, server, client *tls.Config) (seen Identity, serverErr, clientErr error) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	done := make(chan error, 1)
	go func() {
		raw, err := listener.Accept()
		if err != nil {
			done <- err
			return
		}
		defer raw.Close()
		s := tls.Server(raw, server)
		if err = s.Handshake(); err == nil && server.VerifyConnection != nil {
			seen, err = PeerIdentity(s.ConnectionState())
		}
		done <- err
	}()
	raw, err := net.Dial("tcp", listener.Addr().String())
	assert.NilError(t, err)
	clientErr = tls.Client(raw, client).Handshake()
	raw.Close()
	return seen, <-done, clientErr
}

// Two processes of one authority must reach each other and know each other's role.
func TestPeersConnect(t *testing.T) {
	ca := newAuthority(t)
	e, _ := ca.peers(t, entry)
	s, _ := ca.peers(t, car)
	seen, serverErr, clientErr := handshake(t, s.ServerConfig(settings.RoleEntry), e.ClientConfig(car))
	assert.NilError(t, serverErr)
	assert.NilError(t, clientErr)
	assert.Equal(t, seen, entry)
	assert.Equal(t, s.Expires(), now.Add(time.Hour).UTC())
}

// A process must refuse certificates of another authority, of a caller, of a
// role that may not connect, and of another instance at the same address.
func TestPeersRefuse(t *testing.T) {
	ca, other := newAuthority(t), newAuthority(t)
	e, _ := ca.peers(t, entry)
	s, _ := ca.peers(t, car)
	foreign, _ := other.peers(t, entry)
	_, err, _ := handshake(t, s.ServerConfig(settings.RoleEntry), foreign.ClientConfig(car))
	assert.ErrorContains(t, err, "bad certificate")
	_, err, _ = handshake(t, s.ServerConfig(settings.RoleEntry), s.ClientConfig(car))
	assert.ErrorContains(t, err, "sapphirefield://sidecar/engine-17 is not allowed here")
	_, _, err = handshake(t, s.ServerConfig(settings.RoleEntry), e.ClientConfig(Identity{settings.RoleSidecar, "engine-18"}))
	assert.ErrorContains(t, err, "engine-17 is not allowed here")
	_, _, err = handshake(t, foreign.ServerConfig(settings.RoleEntry), e.ClientConfig(entry))
	assert.ErrorContains(t, err, "unknown authority")

	// A caller's certificate may even come from the same authority.
	pair := newPair(t)
	ca.issue(t, pair, now.Add(time.Hour))
	caller, err := tls.LoadX509KeyPair(pair.Certificate, pair.Key)
	assert.NilError(t, err)
	config := e.ClientConfig(car)
	config.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return &caller, nil }
	_, err, _ = handshake(t, s.ServerConfig(settings.RoleEntry), config)
	assert.ErrorContains(t, err, "has 0 names of the form")
	config.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return &tls.Certificate{}, nil }
	_, err, _ = handshake(t, s.ServerConfig(settings.RoleEntry), config)
	assert.ErrorContains(t, err, "didn't provide a certificate")
}

// A process must not start, and not reload, with keys that its peers would refuse.
func TestOwnCertificateIsChecked(t *testing.T) {
	ca, other := newAuthority(t), newAuthority(t)
	p, pair := ca.peers(t, entry)
	before := p.current.Load()
	for want, issue := range map[string]func(){
		"is that of":        func() { ca.issue(t, pair, now.Add(time.Hour), car.URI()) },
		"has 0 names":       func() { ca.issue(t, pair, now.Add(time.Hour)) },
		"has 2 names":       func() { ca.issue(t, pair, now.Add(time.Hour), car.URI(), entry.URI()) },
		"unknown role":      func() { ca.issue(t, pair, now.Add(time.Hour), Identity{"caller", "x"}.URI()) },
		"unknown authority": func() { other.issue(t, pair, now.Add(time.Hour), entry.URI()) },
		"ended at":          func() { ca.issue(t, pair, now.Add(-time.Minute), entry.URI()) },
		"find any PEM":      func() { assert.NilError(t, os.WriteFile(pair.Key, []byte("half a file"), 0o600)) },
		"no such file":      func() { assert.NilError(t, os.Remove(pair.Key)) },
	} {
		ca.issue(t, pair, now.Add(time.Hour), entry.URI())
		_, err := p.Reload()
		assert.NilError(t, err)
		before = p.current.Load()
		issue()
		changed, err := p.Reload()
		assert.ErrorContains(t, err, want)
		assert.Assert(t, !changed && p.current.Load() == before)
		// The same fault is reported once, or the log would fill up.
		changed, err = p.Reload()
		assert.Assert(t, !changed && err == nil, want)
		_, err = NewPeerCredentials(pair, ca.file, entry, clock)
		assert.ErrorContains(t, err, want)
	}
	ca.issue(t, pair, now.Add(2*time.Hour), entry.URI())
	changed, err := p.Reload()
	assert.Assert(t, changed && err == nil)
	assert.Assert(t, p.current.Load() != before)
}

// A new authority must apply to new connections without a restart, also to
// those of a configuration that was made before.
func TestAuthorityChanges(t *testing.T) {
	ca, next := newAuthority(t), newAuthority(t)
	e, _ := ca.peers(t, entry)
	s, pair := ca.peers(t, car)
	server, client := s.ServerConfig(settings.RoleEntry), e.ClientConfig(car)
	text, err := os.ReadFile(next.file)
	assert.NilError(t, err)
	assert.NilError(t, os.WriteFile(ca.file, text, 0o600))
	next.issue(t, pair, now.Add(time.Hour), car.URI())
	changed, err := s.Reload()
	assert.Assert(t, changed && err == nil)
	_, err, _ = handshake(t, server, client)
	assert.Assert(t, err != nil)
}

// The listener for callers must show a renewed certificate to the next caller
// and keep the old one when the new key is broken.
func TestServerReloads(t *testing.T) {
	ca := newAuthority(t)
	pair := newPair(t)
	ca.issue(t, pair, now.Add(time.Hour))
	s, err := NewServerCredentials(pair, clock)
	assert.NilError(t, err)
	config := s.Config()
	roots := x509.NewCertPool()
	roots.AddCert(ca.certificate)
	shown := func() time.Time {
		var ends time.Time
		client := &tls.Config{RootCAs: roots, ServerName: "127.0.0.1", Time: clock, VerifyConnection: func(c tls.ConnectionState) error {
			ends = c.PeerCertificates[0].NotAfter
			return nil
		}}
		_, _, err := handshake(t, config, client)
		assert.NilError(t, err)
		return ends
	}
	assert.Equal(t, shown(), now.Add(time.Hour).UTC())
	ca.issue(t, pair, now.Add(2*time.Hour))
	changed, err := s.Reload()
	assert.Assert(t, changed && err == nil)
	assert.Equal(t, shown(), now.Add(2*time.Hour).UTC())
	assert.NilError(t, os.WriteFile(pair.Key, []byte("broken"), 0o600))
	changed, err = s.Reload()
	assert.Assert(t, !changed && err != nil)
	assert.Equal(t, shown(), now.Add(2*time.Hour).UTC())
}

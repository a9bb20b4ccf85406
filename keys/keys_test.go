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
	now     = time.Unix(1_800_000_000, 0)
	entry   = Identity{settings.RoleEntry, "entry-1"}
	sidecar = Identity{settings.RoleSidecar, "engine-17"}
)

func clock() time.Time { return now }

// testCA is a certificate authority with its certificate in a file.
type testCA struct {
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

func newTestCA(t *testing.T) *testCA {
	t.Helper()
	a := &testCA{key: newKey(t), file: filepath.Join(t.TempDir(), "ca.pem")}
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
func (a *testCA) issue(t *testing.T, pair settings.KeyPair, notAfter time.Time, uris ...*url.URL) {
	t.Helper()
	key := newKey(t)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(2), Subject: pkix.Name{CommonName: "process"}, NotBefore: now.Add(-time.Hour), NotAfter: notAfter,
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

// newPeers issues a certificate for self and returns the keys and their files.
func (a *testCA) newPeers(t *testing.T, self Identity) (*PeerCredentials, settings.KeyPair) {
	t.Helper()
	pair := newPair(t)
	a.issue(t, pair, now.Add(time.Hour), self.URI())
	p, err := NewPeerCredentials(pair, a.file, self, clock)
	assert.NilError(t, err)
	return p, pair
}

// handshake makes a TLS handshake over loopback and returns the client's identity
// as seen by the server and the errors of both sides.
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

// Guards against processes with valid certificates of the same CA that cannot
// connect, or get each other's identity wrong.
func TestPeersConnect(t *testing.T) {
	ca := newTestCA(t)
	entryPeer, _ := ca.newPeers(t, entry)
	sidecarPeer, _ := ca.newPeers(t, sidecar)
	seen, serverErr, clientErr := handshake(t, sidecarPeer.ServerConfig(settings.RoleEntry), entryPeer.ClientConfig(sidecar))
	assert.NilError(t, serverErr)
	assert.NilError(t, clientErr)
	assert.Equal(t, seen, entry)
	assert.Equal(t, sidecarPeer.Expires(), now.Add(time.Hour).UTC())
}

// Guards against accepting certificates of another CA, of a client, of a role that
// may not connect, or of another instance at the same address.
func TestPeersRefuse(t *testing.T) {
	ca, otherCA := newTestCA(t), newTestCA(t)
	entryPeer, _ := ca.newPeers(t, entry)
	sidecarPeer, _ := ca.newPeers(t, sidecar)
	foreignPeer, _ := otherCA.newPeers(t, entry)
	_, err, _ := handshake(t, sidecarPeer.ServerConfig(settings.RoleEntry), foreignPeer.ClientConfig(sidecar))
	assert.ErrorContains(t, err, "bad certificate")
	_, err, _ = handshake(t, sidecarPeer.ServerConfig(settings.RoleEntry), sidecarPeer.ClientConfig(sidecar))
	assert.ErrorContains(t, err, "sapphirefield://sidecar/engine-17 is not allowed here")
	_, _, err = handshake(t, sidecarPeer.ServerConfig(settings.RoleEntry), entryPeer.ClientConfig(Identity{settings.RoleSidecar, "engine-18"}))
	assert.ErrorContains(t, err, "engine-17 is not allowed here")
	_, _, err = handshake(t, foreignPeer.ServerConfig(settings.RoleEntry), entryPeer.ClientConfig(entry))
	assert.ErrorContains(t, err, "unknown authority")

	// A client's certificate is refused even if the same CA has signed it.
	pair := newPair(t)
	ca.issue(t, pair, now.Add(time.Hour))
	clientCert, err := tls.LoadX509KeyPair(pair.Certificate, pair.Key)
	assert.NilError(t, err)
	config := entryPeer.ClientConfig(sidecar)
	config.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return &clientCert, nil }
	_, err, _ = handshake(t, sidecarPeer.ServerConfig(settings.RoleEntry), config)
	assert.ErrorContains(t, err, "has 0 names of the form")
	config.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return &tls.Certificate{}, nil }
	_, err, _ = handshake(t, sidecarPeer.ServerConfig(settings.RoleEntry), config)
	assert.ErrorContains(t, err, "didn't provide a certificate")
}

// Guards against a process that starts with, or reloads, keys that its peers would
// refuse.
func TestOwnCertificateIsChecked(t *testing.T) {
	ca, otherCA := newTestCA(t), newTestCA(t)
	p, pair := ca.newPeers(t, entry)
	before := p.current.Load()
	for want, issue := range map[string]func(){
		"certificate is for": func() { ca.issue(t, pair, now.Add(time.Hour), sidecar.URI()) },
		"has 0 names":        func() { ca.issue(t, pair, now.Add(time.Hour)) },
		"has 2 names":        func() { ca.issue(t, pair, now.Add(time.Hour), sidecar.URI(), entry.URI()) },
		"unknown role":       func() { ca.issue(t, pair, now.Add(time.Hour), Identity{"caller", "x"}.URI()) },
		"unknown authority":  func() { otherCA.issue(t, pair, now.Add(time.Hour), entry.URI()) },
		"expired at":         func() { ca.issue(t, pair, now.Add(-time.Minute), entry.URI()) },
		"find any PEM":       func() { assert.NilError(t, os.WriteFile(pair.Key, []byte("half a file"), 0o600)) },
		"no such file":       func() { assert.NilError(t, os.Remove(pair.Key)) },
	} {
		ca.issue(t, pair, now.Add(time.Hour), entry.URI())
		_, err := p.Reload()
		assert.NilError(t, err)
		before = p.current.Load()
		issue()
		changed, err := p.Reload()
		assert.ErrorContains(t, err, want)
		assert.Assert(t, !changed && p.current.Load() == before)
		// The same error is reported only once; otherwise the log would fill up.
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

// Guards against a new CA that applies only after a restart, or only to TLS
// configurations made after the reload.
func TestCAReload(t *testing.T) {
	oldCA, newCA := newTestCA(t), newTestCA(t)
	entryPeer, _ := oldCA.newPeers(t, entry)
	sidecarPeer, pair := oldCA.newPeers(t, sidecar)
	server, client := sidecarPeer.ServerConfig(settings.RoleEntry), entryPeer.ClientConfig(sidecar)
	text, err := os.ReadFile(newCA.file)
	assert.NilError(t, err)
	assert.NilError(t, os.WriteFile(oldCA.file, text, 0o600))
	newCA.issue(t, pair, now.Add(time.Hour), sidecar.URI())
	changed, err := sidecarPeer.Reload()
	assert.Assert(t, changed && err == nil)
	_, err, _ = handshake(t, server, client)
	assert.Assert(t, err != nil)
}

// Guards against a listener that keeps presenting the old certificate after a
// renewal, or drops a valid certificate because the new key is invalid.
func TestServerReloads(t *testing.T) {
	ca := newTestCA(t)
	pair := newPair(t)
	ca.issue(t, pair, now.Add(time.Hour))
	s, err := NewServerCredentials(pair, clock)
	assert.NilError(t, err)
	config := s.Config()
	roots := x509.NewCertPool()
	roots.AddCert(ca.certificate)
	servedNotAfter := func() time.Time {
		var notAfter time.Time
		client := &tls.Config{RootCAs: roots, ServerName: "127.0.0.1", Time: clock, VerifyConnection: func(c tls.ConnectionState) error {
			notAfter = c.PeerCertificates[0].NotAfter
			return nil
		}}
		_, _, err := handshake(t, config, client)
		assert.NilError(t, err)
		return notAfter
	}
	assert.Equal(t, servedNotAfter(), now.Add(time.Hour).UTC())
	ca.issue(t, pair, now.Add(2*time.Hour))
	changed, err := s.Reload()
	assert.Assert(t, changed && err == nil)
	assert.Equal(t, servedNotAfter(), now.Add(2*time.Hour).UTC())
	assert.NilError(t, os.WriteFile(pair.Key, []byte("broken"), 0o600))
	changed, err = s.Reload()
	assert.Assert(t, !changed && err != nil)
	assert.Equal(t, servedNotAfter(), now.Add(2*time.Hour).UTC())
}

// Package keystest issues certificates for tests.
package keystest

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
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

// Authority is a certificate authority whose files are in Dir.
type Authority struct {
	t           testing.TB
	Dir         string
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	Roots       *x509.CertPool
}

// NewAuthority returns an authority whose certificate is in the file ca.pem.
func NewAuthority(t testing.TB) *Authority {
	a := &Authority{t: t, Dir: t.TempDir(), Roots: x509.NewCertPool()}
	var err error
	a.key, err = ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "ca"}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &a.key.PublicKey, a.key)
	assert.NilError(t, err)
	a.certificate, err = x509.ParseCertificate(der)
	assert.NilError(t, err)
	a.Roots.AddCert(a.certificate)
	a.write("ca.pem", "CERTIFICATE", der)
	return a
}

func (a *Authority) write(name, kind string, der []byte) {
	text := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
	assert.NilError(a.t, os.WriteFile(filepath.Join(a.Dir, name), text, 0o600))
}

// Issue writes a certificate and its key. Without URIs, it is a certificate of a
// client or of the listener for client requests.
func (a *Authority) Issue(name string, ip net.IP, uris ...*url.URL) settings.KeyPair {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(a.t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(2), Subject: pkix.Name{CommonName: name}, URIs: uris, IPAddresses: []net.IP{ip},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	assert.NilError(a.t, err)
	a.write(name+".pem", "CERTIFICATE", der)
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	assert.NilError(a.t, err)
	a.write(name+".key", "PRIVATE KEY", keyDER)
	return settings.KeyPair{Certificate: filepath.Join(a.Dir, name+".pem"), Key: filepath.Join(a.Dir, name+".key")}
}

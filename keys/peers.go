package keys

import (
	"crypto/tls"
	"crypto/x509"
	"net/url"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/sapphirefield/sapphirefield/settings"
)

// uriScheme is the scheme of the URI in the certificate of a process. The URI has
// the form sapphirefield://ROLE/ID, for example sapphirefield://sidecar/engine-17.
// Host names are not used, because processes connect by IP address.
const uriScheme = "sapphirefield"

// Identity is the role and ID of a process, as stated in its certificate.
type Identity struct {
	Role settings.Role
	ID   string
}

// URI returns the identity as a subject alternative name for a certificate.
func (i Identity) URI() *url.URL {
	return &url.URL{Scheme: uriScheme, Host: string(i.Role), Path: "/" + i.ID}
}

// CertificateIdentity returns the identity in a certificate. It returns an error
// unless the certificate has exactly one URI of the form; a client's certificate
// has none.
func CertificateIdentity(certificate *x509.Certificate) (Identity, error) {
	var found []Identity
	for _, uri := range certificate.URIs {
		id := strings.TrimPrefix(uri.Path, "/")
		if uri.Scheme != uriScheme || id == "" || strings.Contains(id, "/") {
			continue
		}
		found = append(found, Identity{settings.Role(uri.Host), id})
	}
	if len(found) != 1 {
		return Identity{}, errors.Errorf("the certificate %q has %d names of the form %s://ROLE/ID instead of one", certificate.Subject, len(found), uriScheme)
	}
	if role := found[0].Role; role != settings.RoleEntry && role != settings.RoleSidecar {
		return Identity{}, errors.Errorf("the certificate names the unknown role %q", role)
	}
	return found[0], nil
}

// PeerIdentity returns the identity of the peer of a connection.
func PeerIdentity(state tls.ConnectionState) (Identity, error) {
	if len(state.PeerCertificates) == 0 {
		return Identity{}, errors.New("the peer has shown no certificate")
	}
	return CertificateIdentity(state.PeerCertificates[0])
}

// PeerCredentials holds the key, certificate and CA for mutual TLS between processes.
type PeerCredentials struct {
	reloader
	self Identity
}

// NewPeerCredentials loads the files and returns an error if they are invalid.
// The process's own certificate must state the identity self and be signed by the
// CA, because every peer would refuse it otherwise.
func NewPeerCredentials(pair settings.KeyPair, caFile string, self Identity, clock Clock) (*PeerCredentials, error) {
	p := &PeerCredentials{self: self}
	p.reloader = reloader{pair: pair, caFile: caFile, clock: clock, validate: p.validateOwnCertificate}
	return p, p.load()
}

// validateOwnCertificate makes the checks that peers make in a handshake.
func (p *PeerCredentials) validateOwnCertificate(c *credentials, now time.Time) error {
	if c.roots == nil {
		return errors.New("the CA file is empty")
	}
	own, err := CertificateIdentity(c.leaf)
	if err != nil {
		return err
	}
	if own != p.self {
		return errors.Errorf("the certificate is for %s, want %s", own.URI(), p.self.URI())
	}
	var chain []*x509.Certificate
	for _, der := range c.certificate.Certificate {
		certificate, err := x509.ParseCertificate(der)
		if err != nil {
			return err
		}
		chain = append(chain, certificate)
	}
	for _, usage := range []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth} {
		if err := verifyChain(chain, c.roots, usage, now); err != nil {
			return err
		}
	}
	return nil
}

func verifyChain(chain []*x509.Certificate, roots *x509.CertPool, usage x509.ExtKeyUsage, now time.Time) error {
	intermediates := x509.NewCertPool()
	for _, c := range chain[1:] {
		intermediates.AddCert(c)
	}
	_, err := chain[0].Verify(x509.VerifyOptions{
		Roots: roots, Intermediates: intermediates, CurrentTime: now, KeyUsages: []x509.ExtKeyUsage{usage},
	})
	return err
}

// ServerConfig returns the TLS configuration of the listener for peers. Only
// processes with one of the roles may connect.
func (p *PeerCredentials) ServerConfig(roles ...settings.Role) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		Time:       p.clock,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return p.current.Load().certificate, nil
		},
		// VerifyConnection checks the chain against the current CA; the check
		// of crypto/tls would keep using the CA loaded at the start.
		ClientAuth: tls.RequireAnyClientCert,
		VerifyConnection: func(state tls.ConnectionState) error {
			return p.verifyPeer(state, x509.ExtKeyUsageClientAuth, func(peer Identity) bool {
				return slices.Contains(roles, peer.Role)
			})
		},
	}
}

// ClientConfig returns the TLS configuration for connections to the process want.
// The identity is checked, because the instance list may be outdated and the
// address may belong to another instance.
func (p *PeerCredentials) ClientConfig(want Identity) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		Time:       p.clock,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return p.current.Load().certificate, nil
		},
		// VerifyConnection checks the chain and the identity, so only the check
		// of the host name is skipped.
		InsecureSkipVerify: true,
		VerifyConnection: func(state tls.ConnectionState) error {
			return p.verifyPeer(state, x509.ExtKeyUsageServerAuth, func(peer Identity) bool {
				return peer == want
			})
		},
	}
}

func (p *PeerCredentials) verifyPeer(state tls.ConnectionState, usage x509.ExtKeyUsage, allowed func(Identity) bool) error {
	if len(state.PeerCertificates) == 0 {
		return errors.New("the peer has shown no certificate")
	}
	if err := verifyChain(state.PeerCertificates, p.current.Load().roots, usage, p.clock()); err != nil {
		return err
	}
	peer, err := CertificateIdentity(state.PeerCertificates[0])
	if err != nil {
		return err
	}
	if !allowed(peer) {
		return errors.Errorf("the peer %s is not allowed here", peer.URI())
	}
	return nil
}

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

// scheme is that of the URI in the certificate of a process. The URI has the
// form sapphirefield://ROLE/ID, for example sapphirefield://sidecar/engine-17.
// Host names are not used, because processes reach each other by IP number.
const scheme = "sapphirefield"

// Identity is what the certificate of a process says of it.
type Identity struct {
	Role settings.Role
	ID   string
}

// URI returns the name form for a certificate.
func (i Identity) URI() *url.URL {
	return &url.URL{Scheme: scheme, Host: string(i.Role), Path: "/" + i.ID}
}

// CertificateIdentity reads the identity from a certificate. A certificate without
// exactly one name of the form, such as that of a caller, has none.
func CertificateIdentity(certificate *x509.Certificate) (Identity, error) {
	var found []Identity
	for _, uri := range certificate.URIs {
		id := strings.TrimPrefix(uri.Path, "/")
		if uri.Scheme != scheme || id == "" || strings.Contains(id, "/") {
			continue
		}
		found = append(found, Identity{settings.Role(uri.Host), id})
	}
	if len(found) != 1 {
		return Identity{}, errors.Errorf("the certificate %q has %d names of the form %s://ROLE/ID instead of one", certificate.Subject, len(found), scheme)
	}
	if role := found[0].Role; role != settings.RoleEntry && role != settings.RoleSidecar {
		return Identity{}, errors.Errorf("the certificate names the unknown role %q", role)
	}
	return found[0], nil
}

// PeerIdentity returns the identity of the process at the other end of a connection.
func PeerIdentity(state tls.ConnectionState) (Identity, error) {
	if len(state.PeerCertificates) == 0 {
		return Identity{}, errors.New("the peer has shown no certificate")
	}
	return CertificateIdentity(state.PeerCertificates[0])
}

// PeerCredentials holds the keys for mutual TLS between processes.
type PeerCredentials struct {
	source
	self Identity
}

// NewPeerCredentials reads the files for the first time. The process's own certificate
// must name its identity and be signed by the authority, because every peer
// would refuse it otherwise.
func NewPeerCredentials(pair settings.KeyPair, caFile string, self Identity, clock Clock) (*PeerCredentials, error) {
	p := &PeerCredentials{self: self}
	p.source = source{pair: pair, caFile: caFile, clock: clock, check: p.checkOwn}
	return p, p.load()
}

func (p *PeerCredentials) checkOwn(m *material, now time.Time) error {
	if m.roots == nil {
		return errors.New("the file of the authority is empty")
	}
	own, err := CertificateIdentity(m.leaf)
	if err != nil {
		return err
	}
	if own != p.self {
		return errors.Errorf("the certificate is that of %s and not of %s", own.URI(), p.self.URI())
	}
	var chain []*x509.Certificate
	for _, der := range m.certificate.Certificate {
		certificate, err := x509.ParseCertificate(der)
		if err != nil {
			return err
		}
		chain = append(chain, certificate)
	}
	for _, usage := range []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth} {
		if err := verify(chain, m.roots, usage, now); err != nil {
			return err
		}
	}
	return nil
}

func verify(chain []*x509.Certificate, roots *x509.CertPool, usage x509.ExtKeyUsage, now time.Time) error {
	intermediates := x509.NewCertPool()
	for _, c := range chain[1:] {
		intermediates.AddCert(c)
	}
	_, err := chain[0].Verify(x509.VerifyOptions{
		Roots: roots, Intermediates: intermediates, CurrentTime: now, KeyUsages: []x509.ExtKeyUsage{usage},
	})
	return err
}

// ServerConfig returns the configuration for the listener for peers. Only
// processes with one of the roles may connect.
func (p *PeerCredentials) ServerConfig(roles ...settings.Role) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		Time:       p.clock,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return p.current.Load().certificate, nil
		},
		// The chain is checked below against the authority in use at that
		// time; the library's own check would keep the one of the start.
		ClientAuth: tls.RequireAnyClientCert,
		VerifyConnection: func(state tls.ConnectionState) error {
			return p.verifyPeer(state, x509.ExtKeyUsageClientAuth, func(peer Identity) bool {
				return slices.Contains(roles, peer.Role)
			})
		},
	}
}

// ClientConfig returns the configuration for connections to one process. The
// identity is checked, because an address may belong to another instance than
// the instance list still says.
func (p *PeerCredentials) ClientConfig(want Identity) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		Time:       p.clock,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return p.current.Load().certificate, nil
		},
		// Only the check of the host name is missing in effect: the chain and
		// the identity are checked below.
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
	if err := verify(state.PeerCertificates, p.current.Load().roots, usage, p.clock()); err != nil {
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

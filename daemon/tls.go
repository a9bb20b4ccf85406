package daemon

import (
	"context"
	"crypto/tls"
	"time"

	"github.com/phuslu/log"
	"github.com/pkg/errors"

	"github.com/sapphirefield/sapphirefield/keys"
	"github.com/sapphirefield/sapphirefield/link"
	"github.com/sapphirefield/sapphirefield/logevent"
	"github.com/sapphirefield/sapphirefield/settings"
)

// tlsKeys holds the TLS keys of a process. A field is nil if the listener uses
// plain text or the role has no such listener.
type tlsKeys struct {
	client, operator *keys.ServerCredentials
	peer             *keys.PeerCredentials
}

func newTLSKeys(s *settings.Settings) (*tlsKeys, error) {
	m := &tlsKeys{}
	var err error
	if s.TLS.Operators.IsSet() {
		if m.operator, err = keys.NewServerCredentials(s.TLS.Operators, time.Now); err != nil {
			return nil, err
		}
	}
	if s.TLS.PlainText {
		return m, nil
	}
	if s.TLS.Callers.IsSet() {
		if m.client, err = keys.NewServerCredentials(s.TLS.Callers, time.Now); err != nil {
			return nil, err
		}
	}
	self := keys.Identity{Role: s.Role, ID: s.ID}
	m.peer, err = keys.NewPeerCredentials(s.TLS.Peers, s.TLS.PeerCA, self, time.Now)
	return m, err
}

// clientListenerConfig returns the configuration of the listener for client
// requests; nil means plain text.
func (m *tlsKeys) clientListenerConfig() *tls.Config { return listenerConfig(m.client) }

// operatorListenerConfig returns the configuration of the operator listener; nil
// means plain text.
func (m *tlsKeys) operatorListenerConfig() *tls.Config { return listenerConfig(m.operator) }

func listenerConfig(k *keys.ServerCredentials) *tls.Config {
	if k == nil {
		return nil
	}
	return k.Config()
}

// peerListenerConfig returns the configuration of the listener for other
// processes; nil means plain text.
func (m *tlsKeys) peerListenerConfig() *tls.Config {
	if m.peer == nil {
		return nil
	}
	return m.peer.ServerConfig(settings.RoleEntry, settings.RoleSidecar)
}

// peerDialConfig returns a function that gives the configuration for connections
// to a sidecar; nil means plain text.
func (m *tlsKeys) peerDialConfig() func(instance string) *tls.Config {
	if m.peer == nil {
		return nil
	}
	return func(instance string) *tls.Config {
		return m.peer.ClientConfig(keys.Identity{Role: settings.RoleSidecar, ID: instance})
	}
}

// authorize returns a function that checks a peer's role and ID against its
// certificate; nil means plain text.
func (m *tlsKeys) authorize() func(ctx context.Context, role, id string) error {
	if m.peer == nil {
		return nil
	}
	return func(ctx context.Context, role, id string) error {
		state, found := link.PeerTLSState(ctx)
		if !found {
			return errors.New("the connection is not secured by TLS")
		}
		peer, err := keys.PeerIdentity(state)
		if err != nil {
			return err
		}
		if string(peer.Role) != role || id != "" && peer.ID != id {
			return errors.Errorf("the certificate of %s %s does not allow calls as %s %s", peer.Role, peer.ID, role, id)
		}
		return nil
	}
}

// reloader is a set of keys that can be reloaded from its files.
type reloader interface {
	Reload() (changed bool, err error)
}

// reload reloads all keys and logs the results.
func (m *tlsKeys) reload(logger *log.Logger, id string) {
	for name, k := range m.reloaders() {
		changed, err := k.Reload()
		if err != nil {
			logevent.Write(logger, logevent.TLSKeysRejected).Str("id", id).Str("keys", name).Err(err).Msg("")
		} else if changed {
			logevent.Write(logger, logevent.TLSKeysReloaded).Str("id", id).Str("keys", name).Msg("")
		}
	}
}

// reloaders returns the keys by their names in the log.
func (m *tlsKeys) reloaders() map[string]reloader {
	sets := make(map[string]reloader)
	if m.client != nil {
		sets["callers"] = m.client
	}
	if m.operator != nil {
		sets["operators"] = m.operator
	}
	if m.peer != nil {
		sets["peers"] = m.peer
	}
	return sets
}

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

// tlsMaterial holds the keys of a process; a member is nil where plain text is
// allowed or the role has no such listener.
type tlsMaterial struct {
	callersKeys, operatorsKeys *keys.ServerCredentials
	peersKeys                  *keys.PeerCredentials
}

func newTLSMaterial(s *settings.Settings) (*tlsMaterial, error) {
	m := &tlsMaterial{}
	var err error
	if s.TLS.Operators.IsSet() {
		if m.operatorsKeys, err = keys.NewServerCredentials(s.TLS.Operators, time.Now); err != nil {
			return nil, err
		}
	}
	if s.TLS.PlainText {
		return m, nil
	}
	if s.TLS.Callers.IsSet() {
		if m.callersKeys, err = keys.NewServerCredentials(s.TLS.Callers, time.Now); err != nil {
			return nil, err
		}
	}
	self := keys.Identity{Role: s.Role, ID: s.ID}
	m.peersKeys, err = keys.NewPeerCredentials(s.TLS.Peers, s.TLS.PeerCA, self, time.Now)
	return m, err
}

func (m *tlsMaterial) callers() *tls.Config { return serverConfig(m.callersKeys) }

func (m *tlsMaterial) operators() *tls.Config { return serverConfig(m.operatorsKeys) }

func serverConfig(k *keys.ServerCredentials) *tls.Config {
	if k == nil {
		return nil
	}
	return k.Config()
}

// peers is the configuration of the listener for other processes.
func (m *tlsMaterial) peers() *tls.Config {
	if m.peersKeys == nil {
		return nil
	}
	return m.peersKeys.ServerConfig(settings.RoleEntry, settings.RoleSidecar)
}

// clientConfig returns the configurations for connections to sidecars; nil means plain text.
func (m *tlsMaterial) clientConfig() func(instance string) *tls.Config {
	if m.peersKeys == nil {
		return nil
	}
	return func(instance string) *tls.Config {
		return m.peersKeys.ClientConfig(keys.Identity{Role: settings.RoleSidecar, ID: instance})
	}
}

// authorize returns the check of who gives a sidecar work; nil in plain text.
func (m *tlsMaterial) authorize() func(ctx context.Context, role, id string) error {
	if m.peersKeys == nil {
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

// reloader is a set of keys that can be read again.
type reloader interface {
	Reload() (changed bool, err error)
}

func (m *tlsMaterial) reload(logger *log.Logger, id string) {
	for name, k := range m.sets() {
		changed, err := k.Reload()
		if err != nil {
			logevent.Write(logger, logevent.TLSKeysRejected).Str("id", id).Str("keys", name).Err(err).Msg("")
		} else if changed {
			logevent.Write(logger, logevent.TLSKeysReloaded).Str("id", id).Str("keys", name).Msg("")
		}
	}
}

func (m *tlsMaterial) sets() map[string]reloader {
	sets := make(map[string]reloader)
	if m.callersKeys != nil {
		sets["callers"] = m.callersKeys
	}
	if m.operatorsKeys != nil {
		sets["operators"] = m.operatorsKeys
	}
	if m.peersKeys != nil {
		sets["peers"] = m.peersKeys
	}
	return sets
}

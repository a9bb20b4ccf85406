package settings

import (
	"net/netip"
)

// check validates required members and rules that concern more than one member.
func (l *loader) check() {
	l.require("role", "id", "region", "zone", "listen.operators", "platform.log", "platform.instances")
	switch l.settings.Role {
	case RoleEntry:
		l.checkEntry()
	case RoleSidecar:
		l.checkSidecar()
	}
	l.checkTLS()
	l.checkOperators()
}

func (l *loader) checkEntry() {
	l.require("listen.callers")
	l.forbid("an entry has no backend server", "backend.address", "backend.kind", "backend.service",
		"backend.model", "backend.layers.first", "backend.layers.limit")
}

func (l *loader) checkSidecar() {
	l.require("listen.peers", "backend.address", "backend.kind")
	l.forbid("a sidecar takes no calls from callers", "listen.callers", "tls.callers.certificate", "tls.callers.key")
	// The connection to the backend server is unencrypted.
	l.requireLoopback("backend.address", l.settings.Backend.Address, "the backend server is reached in plain text")
	switch l.settings.Backend.Kind {
	case BackendEngine:
		l.require("backend.model")
		l.forbid("an engine serves a model", "backend.service")
	case BackendPlain:
		l.require("backend.service")
		l.forbid("a plain server holds no model", "backend.model", "backend.layers.first", "backend.layers.limit")
	}
	l.checkLayers()
}

func (l *loader) checkLayers() {
	first, limit := l.values["backend.layers.first"], l.values["backend.layers.limit"]
	if !first.given && !limit.given {
		return
	}
	if !first.given || !limit.given {
		l.require("backend.layers.first", "backend.layers.limit")
		return
	}
	layers := l.settings.Backend.Layers
	if !l.invalid["backend.layers.first"] && !l.invalid["backend.layers.limit"] && layers.First >= layers.Limit {
		l.reject("backend.layers.limit", "must be above backend.layers.first (%d)", layers.First)
	}
}

func (l *loader) checkTLS() {
	if l.invalid["tls.plain_text"] {
		return
	}
	if l.settings.TLS.PlainText {
		const reason = "tls.plain_text is set"
		l.requireLoopback("listen.callers", l.settings.Listen.ClientAddr, reason)
		l.requireLoopback("listen.peers", l.settings.Listen.PeerAddr, reason)
		l.requireLoopback("listen.operators", l.settings.Listen.OperatorAddr, reason)
		l.forbid(reason, "tls.callers.certificate", "tls.callers.key", "tls.operators.certificate",
			"tls.operators.key", "tls.peers.certificate", "tls.peers.key", "tls.peers.ca")
		return
	}
	l.requireFiles("tls.peers.certificate", "tls.peers.key", "tls.peers.ca")
	if l.settings.Role == RoleEntry {
		l.requireFiles("tls.callers.certificate", "tls.callers.key")
	}
	l.checkOperatorTLS()
}

func (l *loader) checkOperatorTLS() {
	pair := l.settings.TLS.Operators
	if pair.Certificate != "" || pair.Key != "" {
		l.requireFiles("tls.operators.certificate", "tls.operators.key")
		return
	}
	l.requireLoopback("listen.operators", l.settings.Listen.OperatorAddr, "tls.operators names no certificate")
}

// checkOperators requires a password unless the operators' listener accepts local connections only.
func (l *loader) checkOperators() {
	address := l.settings.Listen.OperatorAddr
	if !address.IsValid() || address.Addr().IsLoopback() || l.invalid["operators.password_hash"] {
		return
	}
	if !l.settings.OperatorPasswordHash.IsSet() {
		l.reject("operators.password_hash", "is required when listen.operators is not a loopback address")
	}
}

func (l *loader) require(names ...string) {
	for _, name := range names {
		if !l.values[name].given {
			l.reject(name, "is required")
		}
	}
}

func (l *loader) requireFiles(names ...string) {
	for _, name := range names {
		v := l.values[name]
		if !v.given {
			l.reject(name, "is required unless tls.plain_text is set")
			continue
		}
		if l.invalid[name] {
			continue
		}
		if err := checkReadable(v.text); err != nil {
			l.reject(name, "%s", err)
		}
	}
}

func (l *loader) forbid(reason string, names ...string) {
	for _, name := range names {
		if l.values[name].given {
			l.reject(name, "must be left out: %s", reason)
		}
	}
}

func (l *loader) requireLoopback(name string, address netip.AddrPort, reason string) {
	if address.IsValid() && !address.Addr().IsLoopback() {
		l.reject(name, "%s is not a loopback address, and %s", address, reason)
	}
}

// Package settings loads the typed settings of a daemon from a YAML file,
// environment variables and command-line flags, and reports all problems
// together with their positions.
package settings

import (
	"fmt"
	"net/netip"
	"net/url"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/phuslu/log"
)

// Role says whether the daemon runs as an entry, which accepts client requests,
// or as the sidecar of a backend server.
type Role string

// The roles of a daemon.
const (
	RoleEntry   Role = "entry"
	RoleSidecar Role = "sidecar"
)

// BackendKind is the kind of backend server that a sidecar runs beside.
type BackendKind string

// The kinds of backend servers: an engine runs layers of a model, a plain server
// runs a service without one.
const (
	BackendEngine BackendKind = "engine"
	BackendPlain  BackendKind = "plain"
)

// Settings are the validated settings of one daemon.
type Settings struct {
	Role   Role
	ID     string
	Region string
	Zone   string
	Listen Listen
	// LogServiceURL and InstanceListURL are the base URLs of the platform's log
	// service and instance list.
	LogServiceURL   *url.URL
	InstanceListURL *url.URL
	// Backend is used by a sidecar only.
	Backend              Backend
	TLS                  TLS
	OperatorPasswordHash PasswordHash
	Limits               Limits
	LogLevel             log.Level
	// CheckOnly is set by -check-settings: the process reports that the settings
	// are valid and exits.
	CheckOnly bool
}

// Listen holds the addresses on which the daemon accepts connections.
type Listen struct {
	// ClientAddr is the address for client requests; only an entry uses it.
	ClientAddr netip.AddrPort
	// PeerAddr is the address for other processes. A sidecar uses it, and so does
	// an entry that serves its configuration revision to peers.
	PeerAddr     netip.AddrPort
	OperatorAddr netip.AddrPort
}

// Backend describes the backend server that a sidecar runs beside.
type Backend struct {
	Address netip.AddrPort
	Kind    BackendKind
	// Service is set for a plain server, Model for an engine.
	Service string
	Model   string
	// Layers is the range of an engine that cannot load other layers; zero means
	// that the placement plan decides.
	Layers LayerRange
}

// LayerRange is the half-open range [First, Limit) of layers.
type LayerRange struct {
	First, Limit int
}

// TLS names the files with keys and certificates in PEM form.
type TLS struct {
	// Callers is used for client connections, Operators for those of operators,
	// and Peers between processes.
	Callers   KeyPair
	Operators KeyPair
	Peers     KeyPair
	// PeerCA is the file of the CA that signs the certificates of all processes.
	PeerCA string
	// PlainText disables TLS. It is allowed on loopback addresses only.
	PlainText bool
}

// KeyPair names the files of one certificate and its private key.
type KeyPair struct {
	Certificate, Key string
}

// IsSet reports whether both files are named.
func (p KeyPair) IsSet() bool {
	return p.Certificate != "" && p.Key != ""
}

// Limits contains limits of sizes and durations.
type Limits struct {
	MaxBodyBytes int64
	// ShutdownDelay is how long an entry that shuts down reports itself unready
	// before it refuses requests. The platform's load balancer needs that long to
	// notice.
	ShutdownDelay time.Duration
	// DrainTimeout is the maximum duration of a graceful shutdown; 0 waits until
	// the last request has ended.
	DrainTimeout time.Duration
}

// member is one setting: a flag, an environment variable and a scalar of the file.
type member struct {
	// name is the path of the member in the file, such as "tls.peers.ca".
	name  string
	usage string
	// defaultText is the default value, written as in the settings file.
	defaultText string
	set         func(s *Settings, value string) error
}

var members = []member{
	{"role", "role of this process: entry or sidecar", "", func(s *Settings, v string) error { return setChoice(&s.Role, v, RoleEntry, RoleSidecar) }},
	{"id", "instance name, as the instance list gives it", "", func(s *Settings, v string) error { return setName(&s.ID, v) }},
	{"region", "region of this instance", "", func(s *Settings, v string) error { return setName(&s.Region, v) }},
	{"zone", "availability zone of this instance", "", func(s *Settings, v string) error { return setName(&s.Zone, v) }},
	{"listen.callers", "IP address and port for callers (entry)", "", func(s *Settings, v string) error { return setAddress(&s.Listen.ClientAddr, v) }},
	{"listen.peers", "IP address and port for other processes", "", func(s *Settings, v string) error { return setAddress(&s.Listen.PeerAddr, v) }},
	{"listen.operators", "IP address and port for operators", "", func(s *Settings, v string) error { return setAddress(&s.Listen.OperatorAddr, v) }},
	{"platform.log", "URL of the log service", "", func(s *Settings, v string) error { return setURL(&s.LogServiceURL, v) }},
	{"platform.instances", "URL of the instance list", "", func(s *Settings, v string) error { return setURL(&s.InstanceListURL, v) }},
	{"backend.address", "IP address and port of the backend server (sidecar)", "", func(s *Settings, v string) error { return setAddress(&s.Backend.Address, v) }},
	{"backend.kind", "kind of the backend server: engine or plain (sidecar)", "", func(s *Settings, v string) error {
		return setChoice(&s.Backend.Kind, v, BackendEngine, BackendPlain)
	}},
	{"backend.service", "service of a plain backend server", "", func(s *Settings, v string) error { return setName(&s.Backend.Service, v) }},
	{"backend.model", "model of an engine", "", func(s *Settings, v string) error { return setName(&s.Backend.Model, v) }},
	{"backend.layers.first", "first layer of an engine with a fixed range", "", func(s *Settings, v string) error { return setLayer(&s.Backend.Layers.First, v) }},
	{"backend.layers.limit", "layer after the last one of an engine with a fixed range", "", func(s *Settings, v string) error { return setLayer(&s.Backend.Layers.Limit, v) }},
	{"tls.callers.certificate", "PEM file with the certificate for callers (entry)", "", func(s *Settings, v string) error { return setText(&s.TLS.Callers.Certificate, v) }},
	{"tls.callers.key", "PEM file with the private key for callers (entry)", "", func(s *Settings, v string) error { return setText(&s.TLS.Callers.Key, v) }},
	{"tls.operators.certificate", "PEM file with the certificate for operators", "", func(s *Settings, v string) error { return setText(&s.TLS.Operators.Certificate, v) }},
	{"tls.operators.key", "PEM file with the private key for operators", "", func(s *Settings, v string) error { return setText(&s.TLS.Operators.Key, v) }},
	{"tls.peers.certificate", "PEM file with this process's certificate for other processes", "", func(s *Settings, v string) error { return setText(&s.TLS.Peers.Certificate, v) }},
	{"tls.peers.key", "PEM file with this process's private key for other processes", "", func(s *Settings, v string) error { return setText(&s.TLS.Peers.Key, v) }},
	{"tls.peers.ca", "PEM file with the authority that signs the certificates of processes", "", func(s *Settings, v string) error { return setText(&s.TLS.PeerCA, v) }},
	{"tls.plain_text", "turn TLS off; loopback addresses only", "false", func(s *Settings, v string) error { return setBool(&s.TLS.PlainText, v) }},
	{"operators.password_hash", "hash of the operators' password, as sapphirectl hash-password prints it", "", func(s *Settings, v string) error { return s.OperatorPasswordHash.parse(v) }},
	{"limits.max_body", "largest body of a request, with a unit", "8MiB", func(s *Settings, v string) error { return setBytes(&s.Limits.MaxBodyBytes, v) }},
	{"limits.notice", "how long an entry that shuts down reports itself unready before it refuses requests", "3s", func(s *Settings, v string) error { return setDuration(&s.Limits.ShutdownDelay, v) }},
	{"limits.drain", "longest graceful shutdown; 0s waits for the last request", "0s", func(s *Settings, v string) error { return setDuration(&s.Limits.DrainTimeout, v) }},
	{"log.level", "lowest level of log lines: debug, info, warn or error", "info", func(s *Settings, v string) error { return setLevel(&s.LogLevel, v) }},
}

func setChoice[T ~string](dst *T, value string, allowed ...T) error {
	names := make([]string, len(allowed))
	for i, a := range allowed {
		if value == string(a) {
			*dst = a
			return nil
		}
		names[i] = string(a)
	}
	return fmt.Errorf("%q is not one of %s", value, strings.Join(names, ", "))
}

// namePattern excludes characters that need quoting in URLs, log lines and certificates.
var namePattern = regexp.MustCompile(`^[a-zA-Z0-9][a-zA-Z0-9._-]{0,62}$`)

func setName(dst *string, value string) error {
	if !namePattern.MatchString(value) {
		return fmt.Errorf("%q is not a name of at most 63 letters, digits, dots, hyphens and underscores", value)
	}
	*dst = value
	return nil
}

func setText(dst *string, value string) error {
	*dst = value
	return nil
}

func setAddress(dst *netip.AddrPort, value string) error {
	parsed, err := netip.ParseAddrPort(value)
	if err != nil {
		return fmt.Errorf("%q is not an IP address with a port, such as 10.0.0.7:8443", value)
	}
	*dst = parsed
	return nil
}

func setURL(dst **url.URL, value string) error {
	parsed, err := url.Parse(value)
	if err != nil {
		return err
	}
	if parsed.Scheme != "http" && parsed.Scheme != "https" || parsed.Host == "" {
		return fmt.Errorf("%q is not an http or https URL", value)
	}
	*dst = parsed
	return nil
}

func setLayer(dst *int, value string) error {
	n, err := strconv.Atoi(value)
	if err != nil || n < 0 {
		return fmt.Errorf("%q is not a layer number of at least 0", value)
	}
	*dst = n
	return nil
}

func setBool(dst *bool, value string) error {
	switch value {
	case "true":
		*dst = true
	case "false":
		*dst = false
	default:
		return fmt.Errorf("%q is neither true nor false", value)
	}
	return nil
}

// byteUnits is sorted by descending suffix length, because "B" is also a suffix of the other units.
var byteUnits = []struct {
	suffix string
	bytes  int64
}{
	{"KiB", 1 << 10}, {"MiB", 1 << 20}, {"GiB", 1 << 30},
	{"kB", 1e3}, {"MB", 1e6}, {"GB", 1e9}, {"B", 1},
}

func setBytes(dst *int64, value string) error {
	for _, unit := range byteUnits {
		digits, ok := strings.CutSuffix(value, unit.suffix)
		if !ok {
			continue
		}
		n, err := strconv.ParseInt(strings.TrimSpace(digits), 10, 64)
		if err != nil || n <= 0 || n > (1<<40)/unit.bytes {
			break
		}
		*dst = n * unit.bytes
		return nil
	}
	return fmt.Errorf("%q is not a size between 1B and 1024GiB with a unit (B, kB, MB, GB, KiB, MiB, GiB)", value)
}

func setDuration(dst *time.Duration, value string) error {
	d, err := time.ParseDuration(value)
	if err != nil || d < 0 || value == "0" {
		return fmt.Errorf("%q is not a duration with a unit, such as 500ms, 3s or 10m", value)
	}
	*dst = d
	return nil
}

func setLevel(dst *log.Level, value string) error {
	levels := map[string]log.Level{
		"debug": log.DebugLevel, "info": log.InfoLevel, "warn": log.WarnLevel, "error": log.ErrorLevel,
	}
	level, ok := levels[value]
	if !ok {
		return fmt.Errorf("%q is not one of debug, info, warn, error", value)
	}
	*dst = level
	return nil
}

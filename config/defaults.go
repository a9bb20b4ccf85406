package config

import (
	"reflect"
	"time"
)

// Defaults for members that a document leaves out. Parse writes them into the
// document, so a published document spells them out and a later change of a
// default in the program does not change a document in force.
const (
	DefaultPrefillSpeedup    = 10.0
	DefaultTimeout           = 30 * time.Second
	DefaultIdempotencyKeyTTL = 24 * time.Hour
	DefaultOnLogOutage       = RefuseDuringOutage
	DefaultMaxBodyBytes      = 1 << 20
	DefaultWeight            = 1.0
	DefaultFencing           = FencingIgnores
	DefaultMaxAttempts       = 1
)

// NewAccelerator returns an accelerator with all defaults.
func NewAccelerator() Accelerator { return Accelerator{PrefillSpeedup: DefaultPrefillSpeedup} }

// NewService returns a service with all defaults.
func NewService() Service {
	return Service{
		Timeout:           DefaultTimeout,
		IdempotencyKeyTTL: DefaultIdempotencyKeyTTL,
		OnLogOutage:       DefaultOnLogOutage,
		MaxBodyBytes:      DefaultMaxBodyBytes,
	}
}

// NewTeam returns a team with all defaults.
func NewTeam() Team { return Team{Weight: DefaultWeight} }

// NewRoute returns a route with all defaults.
func NewRoute() Route { return Route{Timeout: DefaultTimeout, MaxAttempts: DefaultMaxAttempts} }

var defaultValues = map[reflect.Type]reflect.Value{
	reflect.TypeFor[Accelerator](): reflect.ValueOf(NewAccelerator()),
	reflect.TypeFor[Service]():     reflect.ValueOf(NewService()),
	reflect.TypeFor[Team]():        reflect.ValueOf(NewTeam()),
	reflect.TypeFor[Route]():       reflect.ValueOf(NewRoute()),
}

func defaultValue(t reflect.Type) reflect.Value {
	if v, ok := defaultValues[t]; ok {
		return v
	}
	return reflect.Zero(t)
}

// setDerivedDefaults fills in defaults that depend on another member.
func (doc *Document) setDerivedDefaults() {
	for i := range doc.Servers {
		s := &doc.Servers[i]
		if s.Model != "" && s.Fencing == "" {
			s.Fencing = DefaultFencing
		}
	}
}

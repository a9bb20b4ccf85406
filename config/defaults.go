package config

import (
	"reflect"
	"time"
)

// Defaults for members that a document omits. Parse writes them into the
// document, so a published document contains them explicitly and is not
// affected when a later version of the program changes a default.
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

// NewAccelerator returns an accelerator with the default values set.
func NewAccelerator() Accelerator { return Accelerator{PrefillSpeedup: DefaultPrefillSpeedup} }

// NewService returns a service with the default values set.
func NewService() Service {
	return Service{
		Timeout:           DefaultTimeout,
		IdempotencyKeyTTL: DefaultIdempotencyKeyTTL,
		OnLogOutage:       DefaultOnLogOutage,
		MaxBodyBytes:      DefaultMaxBodyBytes,
	}
}

// NewTeam returns a team with the default values set.
func NewTeam() Team { return Team{Weight: DefaultWeight} }

// NewRoute returns a route with the default values set.
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

// setDerivedDefaults sets defaults that depend on another member.
func (doc *Document) setDerivedDefaults() {
	for i := range doc.Servers {
		s := &doc.Servers[i]
		if s.Model != "" && s.Fencing == "" {
			s.Fencing = DefaultFencing
		}
	}
}

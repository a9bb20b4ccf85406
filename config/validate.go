package config

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/sapphirefield/sapphirefield/finding"
)

// Limits of single values. They lie well above the target size (3,100 engines,
// 4,600 teams), so that they catch slips of a unit and never a real fleet.
const (
	maxNameBytes     = 64
	maxLayers        = 10_000
	maxContextTokens = 100_000_000
	maxBytes         = 1 << 50
	maxRate          = 1e15
	maxLatency       = 10 * time.Second
	minTimeout       = time.Millisecond
	maxTimeout       = time.Hour
	minKeyWindow     = time.Minute
	// maxKeyWindow keeps windows below the shortest retention expected of the log service.
	maxKeyWindow    = 7 * 24 * time.Hour
	maxBodyBytes    = 1 << 30
	maxWeight       = 1e6
	maxPriority     = 1000
	maxConcurrency  = 1_000_000
	maxThreshold    = time.Hour
	maxPrefillRatio = 1e6
)

// The patterns that the published schema names. The loops isName and isHash do
// the same checks: at the target size regular expressions took a third of the
// time of validation, which runs for every record.
const (
	namePattern = `^[A-Za-z0-9][A-Za-z0-9._-]*$`
	hashPattern = `^[0-9a-f]{64}$`
	hashDigits  = 64
)

func isName(s string) bool {
	for i := range len(s) {
		b := s[i]
		alphanumeric := b >= 'a' && b <= 'z' || b >= 'A' && b <= 'Z' || b >= '0' && b <= '9'
		if !alphanumeric && (i == 0 || b != '.' && b != '_' && b != '-') {
			return false
		}
	}
	return s != ""
}

func isHash(s string) bool {
	for i := range len(s) {
		if b := s[i]; !(b >= '0' && b <= '9' || b >= 'a' && b <= 'f') {
			return false
		}
	}
	return len(s) == hashDigits
}

// reservedServiceNames are path prefixes of the callers' interface.
var reservedServiceNames = []string{"v1"}

var callMethods = []string{"GET", "HEAD", "OPTIONS", "POST", "PUT", "PATCH", "DELETE"}

// Validate checks all rules that hold within one document and returns every
// finding. Paths name entries by index, as in "teams[2].weight".
func (doc *Document) Validate() finding.List {
	c := newChecker(doc)
	c.schema()
	c.regions()
	c.accelerators()
	c.links()
	c.models()
	c.services()
	c.servers()
	c.teams()
	c.objectives()
	c.routes()
	return c.findings
}

// checker holds the names that references are checked against.
type checker struct {
	doc          *Document
	findings     finding.List
	zones        map[string]bool
	accelerator  map[string]*Accelerator
	model        map[string]*Model
	serviceNames map[string]bool
	teamNames    map[string]bool
}

func newChecker(doc *Document) *checker {
	c := &checker{
		doc:          doc,
		zones:        map[string]bool{},
		accelerator:  map[string]*Accelerator{},
		model:        map[string]*Model{},
		serviceNames: map[string]bool{},
		teamNames:    map[string]bool{},
	}
	for _, r := range doc.Regions {
		for _, z := range r.Zones {
			c.zones[z] = true
		}
	}
	for i := range doc.Accelerators {
		c.accelerator[doc.Accelerators[i].Kind] = &doc.Accelerators[i]
	}
	for i := range doc.Models {
		c.model[doc.Models[i].Name] = &doc.Models[i]
	}
	for _, s := range doc.Services {
		c.serviceNames[s.Name] = true
	}
	for _, t := range doc.Teams {
		c.teamNames[t.Name] = true
	}
	return c
}

func (c *checker) add(path docPath, format string, args ...any) {
	c.findings.Add(path.String(), format, args...)
}

func (c *checker) schema() {
	if c.doc.Schema != SchemaVersion {
		c.add(memberPath("schema"), "is %d; this program judges schema %d", c.doc.Schema, SchemaVersion)
	}
}

func (c *checker) name(path docPath, value string) {
	switch {
	case value == "":
		c.add(path, "must be set")
	case len(value) > maxNameBytes:
		c.add(path, "has %d bytes; at most %d are allowed", len(value), maxNameBytes)
	case !isName(value):
		c.add(path, "%q must start with a letter or digit and hold only letters, digits, '.', '_' and '-'", value)
	}
}

// names remembers where a name was first used, to report the second use.
type names map[string]docPath

func (c *checker) unique(seen names, path docPath, value string) {
	if value == "" {
		return
	}
	if first, ok := seen[value]; ok {
		c.add(path, "%q is already used at %s", shorten(value), first)
		return
	}
	seen[value] = path
}

// shorten keeps whole key hashes out of messages.
func shorten(value string) string {
	if isHash(value) {
		return value[:8] + "..."
	}
	return value
}

func (c *checker) newName(seen names, path docPath, value string) {
	c.name(path, value)
	c.unique(seen, path, value)
}

// number checks that low <= value <= high; NaN is refused.
func (c *checker) number(path docPath, value, low, high float64) {
	if !(value >= low && value <= high) {
		c.add(path, "is %s; must be from %s to %s", plain(value), plain(low), plain(high))
	}
}

// plain writes a number without an exponent.
func plain(f float64) string { return strconv.FormatFloat(f, 'f', -1, 64) }

func (c *checker) positive(path docPath, value, high float64) {
	if !(value > 0 && value <= high) {
		c.add(path, "is %s; must be above 0 and at most %s", plain(value), plain(high))
	}
}

func (c *checker) whole(path docPath, value, low, high int64) {
	if value < low || value > high {
		c.add(path, "is %d; must be from %d to %d", value, low, high)
	}
}

func (c *checker) duration(path docPath, value, low, high time.Duration) {
	if value < low || value > high {
		c.add(path, "is %v; must be from %v to %v", value, low, high)
	}
}

func (c *checker) known(path docPath, kind, value string, known bool) {
	switch {
	case value == "":
		c.add(path, "must name a %s", kind)
	case !known:
		c.add(path, "there is no %s %q", kind, value)
	}
}

func oneOf[T ~string](c *checker, path docPath, value T, allowed ...T) {
	if slices.Contains(allowed, value) {
		return
	}
	texts := make([]string, len(allowed))
	for i, a := range allowed {
		texts[i] = string(a)
	}
	c.add(path, "is %q; must be one of %s", string(value), strings.Join(texts, ", "))
}

func (c *checker) regions() {
	if len(c.doc.Regions) == 0 {
		c.add(memberPath("regions"), "must hold at least one region")
	}
	regions, zones := names{}, names{}
	for i, r := range c.doc.Regions {
		path := entryPath("regions", i)
		c.newName(regions, path.in("name"), r.Name)
		if len(r.Zones) == 0 {
			c.add(path.in("zones"), "must hold at least one availability zone")
		}
		for j, z := range r.Zones {
			c.newName(zones, path.in("zones").at(j), z)
		}
	}
}

func (c *checker) accelerators() {
	seen := names{}
	for i, a := range c.doc.Accelerators {
		path := entryPath("accelerators", i)
		c.newName(seen, path.in("kind"), a.Kind)
		c.whole(path.in("memory_bytes"), a.MemoryBytes, 1, maxBytes)
		c.positive(path.in("layer_tokens_per_second"), a.LayerTokensPerSecond, maxRate)
		c.number(path.in("prefill_speedup"), a.PrefillSpeedup, 1, maxPrefillRatio)
		c.number(path.in("step_factor"), a.StepFactor, 0, maxPrefillRatio)
		c.number(path.in("prompt_factor"), a.PromptFactor, 0, maxPrefillRatio)
	}
}

func (c *checker) links() {
	seen := names{}
	for i, l := range c.doc.Links {
		path := entryPath("links", i)
		c.known(path.in("from"), "availability zone", l.From, c.zones[l.From])
		c.known(path.in("to"), "availability zone", l.To, c.zones[l.To])
		c.unique(seen, path, l.entryKey())
		c.positive(path.in("bytes_per_second"), l.BytesPerSecond, maxRate)
		c.duration(path.in("latency"), l.Latency, 0, maxLatency)
	}
}

func (c *checker) models() {
	seen := names{}
	for i, m := range c.doc.Models {
		path := entryPath("models", i)
		c.newName(seen, path.in("name"), m.Name)
		c.versions(path, m)
		c.uniqueNames(path.in("adapters"), m.Adapters)
		c.whole(path.in("layers"), int64(m.Layers), 1, maxLayers)
		c.whole(path.in("bytes_per_layer"), m.BytesPerLayer, 1, maxBytes)
		c.whole(path.in("activation_bytes"), m.ActivationBytes, 1, maxBytes)
		c.whole(path.in("kv_bytes_per_token_layer"), m.KVBytesPerTokenLayer, 1, maxBytes)
		c.whole(path.in("context_tokens"), int64(m.ContextTokens), 1, maxContextTokens)
		c.relaying(path, m)
	}
}

// relaying checks the optional members about engines that relay by themselves.
func (c *checker) relaying(path docPath, m Model) {
	c.whole(path.in("slots"), int64(m.Slots), 0, maxConcurrency)
	c.duration(path.in("step_time"), m.StepTime, 0, maxTimeout)
	c.duration(path.in("request_step_time"), m.RequestStepTime, 0, maxTimeout)
	c.duration(path.in("context_step_time"), m.ContextStepTime, 0, maxTimeout)
	c.number(path.in("prompt_tokens_per_second"), m.PromptTokensPerSecond, 0, maxRate)
	c.duration(path.in("load_time"), m.LoadTime, 0, maxTimeout)
	c.whole(path.in("concurrent_loads"), int64(m.ConcurrentLoads), 0, maxConcurrency)
	c.number(path.in("prompt_tokens"), m.PromptTokens, 0, maxContextTokens)
	c.number(path.in("answer_tokens"), m.AnswerTokens, 0, maxContextTokens)
}

func (c *checker) versions(path docPath, m Model) {
	if len(m.Versions) == 0 {
		c.add(path.in("versions"), "must hold at least one version")
	}
	c.uniqueNames(path.in("versions"), m.Versions)
	c.known(path.in("serving"), "version in versions", m.ServingVersion, slices.Contains(m.Versions, m.ServingVersion))
}

func (c *checker) uniqueNames(path docPath, values []string) {
	seen := names{}
	for i, v := range values {
		c.newName(seen, path.at(i), v)
	}
}

func (c *checker) services() {
	seen := names{}
	for i, s := range c.doc.Services {
		path := entryPath("services", i)
		c.newName(seen, path.in("name"), s.Name)
		if slices.Contains(reservedServiceNames, s.Name) {
			c.add(path.in("name"), "%q is a path of the callers' interface; choose another name", s.Name)
		}
		c.callRules(path.in("idempotent"), s.Idempotent)
		c.duration(path.in("timeout"), s.Timeout, minTimeout, maxTimeout)
		c.duration(path.in("key_window"), s.IdempotencyKeyTTL, minKeyWindow, maxKeyWindow)
		if s.IdempotencyKeyTTL >= minKeyWindow && s.Timeout <= maxTimeout && s.IdempotencyKeyTTL < s.Timeout {
			c.add(path.in("key_window"), "is %v; must not be shorter than the timeout of %v", s.IdempotencyKeyTTL, s.Timeout)
		}
		oneOf(c, path.in("on_log_outage"), s.OnLogOutage, RefuseDuringOutage, RunDuringOutage)
		c.whole(path.in("max_body_bytes"), s.MaxBodyBytes, 1, maxBodyBytes)
		c.whole(path.in("max_connections"), int64(s.MaxConnections), 0, maxConcurrency)
	}
}

func (c *checker) callRules(path docPath, rules []CallRule) {
	seen := names{}
	for i, r := range rules {
		at := path.at(i)
		oneOf(c, at.in("method"), r.Method, callMethods...)
		if !strings.HasPrefix(r.PathPrefix, "/") {
			c.add(at.in("path_prefix"), "%q must start with '/'", r.PathPrefix)
		}
		c.unique(seen, at, r.Method+" "+r.PathPrefix)
	}
}

func (c *checker) servers() {
	seen := make(names, len(c.doc.Servers))
	for i, s := range c.doc.Servers {
		path := entryPath("servers", i)
		c.newName(seen, path.in("id"), s.ID)
		c.known(path.in("zone"), "availability zone", s.Zone, c.zones[s.Zone])
		switch {
		case s.Model != "" && s.Service != "":
			c.add(path, "must name either a model or a service, not both")
		case s.Model != "":
			c.engine(path, s)
		case s.Service != "":
			c.plainServer(path, s)
		default:
			c.add(path, "must name a model or a service")
		}
	}
}

func (c *checker) engine(path docPath, s Server) {
	model, kind := c.model[s.Model], c.accelerator[s.Accelerator]
	c.known(path.in("model"), "model", s.Model, model != nil)
	c.known(path.in("accelerator"), "accelerator", s.Accelerator, kind != nil)
	oneOf(c, path.in("fencing"), s.Fencing, FencingChecks, FencingIgnores)
	if model != nil && kind != nil && model.BytesPerLayer > kind.MemoryBytes {
		c.add(path.in("accelerator"), "%q has %d bytes of memory, too few for one layer of %q (%d bytes)",
			s.Accelerator, kind.MemoryBytes, s.Model, model.BytesPerLayer)
	}
}

func (c *checker) plainServer(path docPath, s Server) {
	c.known(path.in("service"), "service", s.Service, c.serviceNames[s.Service])
	if s.Accelerator != "" {
		c.add(path.in("accelerator"), "applies to engines only; leave it out for a plain server")
	}
	if s.Fencing != "" {
		c.add(path.in("fencing"), "applies to engines only; leave it out for a plain server")
	}
}

func (c *checker) teams() {
	seen, hashes := make(names, len(c.doc.Teams)), make(names, len(c.doc.Teams))
	for i, t := range c.doc.Teams {
		path := entryPath("teams", i)
		c.newName(seen, path.in("name"), t.Name)
		c.keyHashes(hashes, path.in("key_hashes"), t.KeyHashes)
		c.positive(path.in("weight"), t.Weight, maxWeight)
		c.whole(path.in("priority"), int64(t.Priority), 0, maxPriority)
		c.references(path.in("models"), "model", t.Models, func(n string) bool { return c.model[n] != nil })
		c.references(path.in("services"), "service", t.Services, func(n string) bool { return c.serviceNames[n] })
		c.number(path.in("requests_per_second"), t.RequestsPerSecond, 0, maxRate)
		c.whole(path.in("concurrency"), int64(t.Concurrency), 0, maxConcurrency)
	}
}

// keyHashes checks the form, and that no two teams share a key: a key has to
// identify one team.
func (c *checker) keyHashes(seen names, path docPath, hashes []string) {
	for i, h := range hashes {
		at := path.at(i)
		if !isHash(h) {
			c.add(at, "must be the SHA-256 hash of a key as 64 lower-case hexadecimal digits")
			continue
		}
		c.unique(seen, at, h)
	}
}

func (c *checker) references(path docPath, kind string, values []string, known func(string) bool) {
	seen := names{}
	for i, v := range values {
		at := path.at(i)
		c.known(at, kind, v, known(v))
		c.unique(seen, at, v)
	}
}

func (c *checker) objectives() {
	seen := names{}
	for i, o := range c.doc.Objectives {
		path := entryPath("objectives", i)
		c.newName(seen, path.in("name"), o.Name)
		c.objectiveSubject(path, o)
		if o.Team != "" {
			c.known(path.in("team"), "team", o.Team, c.teamNames[o.Team])
		}
		c.objectiveMeasure(path, o)
		if !(o.Target > 0 && o.Target < 1) {
			c.add(path.in("target"), "is %v; must be above 0 and below 1", o.Target)
		}
	}
}

func (c *checker) objectiveSubject(path docPath, o Objective) {
	switch {
	case o.Model != "" && o.Service != "":
		c.add(path, "must name either a model or a service, not both")
	case o.Model != "":
		c.known(path.in("model"), "model", o.Model, c.model[o.Model] != nil)
	case o.Service != "":
		c.known(path.in("service"), "service", o.Service, c.serviceNames[o.Service])
	default:
		c.add(path, "must name a model or a service")
	}
}

func (c *checker) objectiveMeasure(path docPath, o Objective) {
	oneOf(c, path.in("measure"), o.Measure, MeasureTimeToFirstToken, MeasureInterTokenLatency, MeasureAvailability, MeasureLatency)
	tokens := o.Measure == MeasureTimeToFirstToken || o.Measure == MeasureInterTokenLatency
	if tokens && o.Service != "" {
		c.add(path.in("measure"), "%q applies to models only", string(o.Measure))
	}
	if o.Measure == MeasureAvailability {
		if o.Threshold != 0 {
			c.add(path.in("threshold"), "is unused for availability; leave it out")
		}
		return
	}
	c.duration(path.in("threshold"), o.Threshold, time.Microsecond, maxThreshold)
}

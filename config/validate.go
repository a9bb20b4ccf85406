package config

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/sapphirefield/sapphirefield/finding"
)

// Limits of single values. They are far above what the largest intended
// deployment (3,100 engines, 4,600 teams) needs, so that they catch wrong units
// without rejecting a real deployment.
const (
	maxNameBytes         = 64
	maxLayers            = 10_000
	maxContextTokens     = 100_000_000
	maxBytes             = 1 << 50
	maxRate              = 1e15
	maxLatency           = 10 * time.Second
	minTimeout           = time.Millisecond
	maxTimeout           = time.Hour
	minIdempotencyKeyTTL = time.Minute
	// maxIdempotencyKeyTTL is below the shortest retention expected of the log service.
	maxIdempotencyKeyTTL = 7 * 24 * time.Hour
	maxBodyBytes         = 1 << 30
	maxWeight            = 1e6
	maxPriority          = 1000
	maxConcurrency       = 1_000_000
	maxThreshold         = time.Hour
	maxFactor            = 1e6
)

// Patterns in the published schema. isName and isHash check the same with loops:
// for the largest intended document, regular expressions took a third of the
// time of validation, which runs for every configuration record.
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

// reservedServiceNames are path prefixes of the client API.
var reservedServiceNames = []string{"v1"}

var allowedMethods = []string{"GET", "HEAD", "OPTIONS", "POST", "PUT", "PATCH", "DELETE"}

// Validate checks all rules that concern a single document and returns every
// finding. Paths address entries by index, as in "teams[2].weight".
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

// checker collects findings. It indexes the entries by name to check references.
type checker struct {
	doc               *Document
	findings          finding.List
	zones             map[string]bool
	acceleratorByKind map[string]*Accelerator
	modelByName       map[string]*Model
	serviceNames      map[string]bool
	teamNames         map[string]bool
}

func newChecker(doc *Document) *checker {
	c := &checker{
		doc:               doc,
		zones:             map[string]bool{},
		acceleratorByKind: map[string]*Accelerator{},
		modelByName:       map[string]*Model{},
		serviceNames:      map[string]bool{},
		teamNames:         map[string]bool{},
	}
	for _, r := range doc.Regions {
		for _, z := range r.Zones {
			c.zones[z] = true
		}
	}
	for i := range doc.Accelerators {
		c.acceleratorByKind[doc.Accelerators[i].Kind] = &doc.Accelerators[i]
	}
	for i := range doc.Models {
		c.modelByName[doc.Models[i].Name] = &doc.Models[i]
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

// firstUses maps a name to the path of its first use, to report duplicates.
type firstUses map[string]docPath

func (c *checker) unique(seen firstUses, path docPath, value string) {
	if value == "" {
		return
	}
	if first, ok := seen[value]; ok {
		c.add(path, "%q is already used at %s", shortenHash(value), first)
		return
	}
	seen[value] = path
}

// shortenHash truncates key hashes, so that messages contain no whole hash. It
// returns other values unchanged.
func shortenHash(value string) string {
	if isHash(value) {
		return value[:8] + "..."
	}
	return value
}

func (c *checker) uniqueName(seen firstUses, path docPath, value string) {
	c.name(path, value)
	c.unique(seen, path, value)
}

// number checks that low <= value <= high. It rejects NaN.
func (c *checker) number(path docPath, value, low, high float64) {
	if !(value >= low && value <= high) {
		c.add(path, "is %s; must be from %s to %s", formatNumber(value), formatNumber(low), formatNumber(high))
	}
}

// formatNumber formats a number without an exponent.
func formatNumber(f float64) string { return strconv.FormatFloat(f, 'f', -1, 64) }

func (c *checker) positive(path docPath, value, high float64) {
	if !(value > 0 && value <= high) {
		c.add(path, "is %s; must be above 0 and at most %s", formatNumber(value), formatNumber(high))
	}
}

func (c *checker) integer(path docPath, value, low, high int64) {
	if value < low || value > high {
		c.add(path, "is %d; must be from %d to %d", value, low, high)
	}
}

func (c *checker) duration(path docPath, value, low, high time.Duration) {
	if value < low || value > high {
		c.add(path, "is %v; must be from %v to %v", value, low, high)
	}
}

func (c *checker) reference(path docPath, kind, value string, exists bool) {
	switch {
	case value == "":
		c.add(path, "must name a %s", kind)
	case !exists:
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
	regions, zones := firstUses{}, firstUses{}
	for i, r := range c.doc.Regions {
		path := entryPath("regions", i)
		c.uniqueName(regions, path.field("name"), r.Name)
		if len(r.Zones) == 0 {
			c.add(path.field("zones"), "must hold at least one availability zone")
		}
		for j, z := range r.Zones {
			c.uniqueName(zones, path.field("zones").elem(j), z)
		}
	}
}

func (c *checker) accelerators() {
	seen := firstUses{}
	for i, a := range c.doc.Accelerators {
		path := entryPath("accelerators", i)
		c.uniqueName(seen, path.field("kind"), a.Kind)
		c.integer(path.field("memory_bytes"), a.MemoryBytes, 1, maxBytes)
		c.positive(path.field("layer_tokens_per_second"), a.LayerTokensPerSecond, maxRate)
		c.number(path.field("prefill_speedup"), a.PrefillSpeedup, 1, maxFactor)
		c.number(path.field("step_factor"), a.StepFactor, 0, maxFactor)
		c.number(path.field("prompt_factor"), a.PromptFactor, 0, maxFactor)
	}
}

func (c *checker) links() {
	seen := firstUses{}
	for i, l := range c.doc.Links {
		path := entryPath("links", i)
		c.reference(path.field("from"), "availability zone", l.From, c.zones[l.From])
		c.reference(path.field("to"), "availability zone", l.To, c.zones[l.To])
		c.unique(seen, path, l.entryKey())
		c.positive(path.field("bytes_per_second"), l.BytesPerSecond, maxRate)
		c.duration(path.field("latency"), l.Latency, 0, maxLatency)
	}
}

func (c *checker) models() {
	seen := firstUses{}
	for i, m := range c.doc.Models {
		path := entryPath("models", i)
		c.uniqueName(seen, path.field("name"), m.Name)
		c.versions(path, m)
		c.uniqueNames(path.field("adapters"), m.Adapters)
		c.integer(path.field("layers"), int64(m.Layers), 1, maxLayers)
		c.integer(path.field("bytes_per_layer"), m.BytesPerLayer, 1, maxBytes)
		c.integer(path.field("activation_bytes"), m.ActivationBytes, 1, maxBytes)
		c.integer(path.field("kv_bytes_per_token_layer"), m.KVBytesPerTokenLayer, 1, maxBytes)
		c.integer(path.field("context_tokens"), int64(m.ContextTokens), 1, maxContextTokens)
		c.relayMembers(path, m)
	}
}

// relayMembers checks the optional members for engines that forward activations
// to the next stage directly.
func (c *checker) relayMembers(path docPath, m Model) {
	c.integer(path.field("slots"), int64(m.Slots), 0, maxConcurrency)
	c.duration(path.field("step_time"), m.StepTime, 0, maxTimeout)
	c.duration(path.field("request_step_time"), m.RequestStepTime, 0, maxTimeout)
	c.duration(path.field("context_step_time"), m.ContextStepTime, 0, maxTimeout)
	c.number(path.field("prompt_tokens_per_second"), m.PromptTokensPerSecond, 0, maxRate)
	c.duration(path.field("load_time"), m.LoadTime, 0, maxTimeout)
	c.integer(path.field("concurrent_loads"), int64(m.ConcurrentLoads), 0, maxConcurrency)
	c.number(path.field("prompt_tokens"), m.PromptTokens, 0, maxContextTokens)
	c.number(path.field("answer_tokens"), m.AnswerTokens, 0, maxContextTokens)
}

func (c *checker) versions(path docPath, m Model) {
	if len(m.Versions) == 0 {
		c.add(path.field("versions"), "must hold at least one version")
	}
	c.uniqueNames(path.field("versions"), m.Versions)
	c.reference(path.field("serving"), "version in versions", m.ServingVersion, slices.Contains(m.Versions, m.ServingVersion))
}

func (c *checker) uniqueNames(path docPath, values []string) {
	seen := firstUses{}
	for i, v := range values {
		c.uniqueName(seen, path.elem(i), v)
	}
}

func (c *checker) services() {
	seen := firstUses{}
	for i, s := range c.doc.Services {
		path := entryPath("services", i)
		c.uniqueName(seen, path.field("name"), s.Name)
		if slices.Contains(reservedServiceNames, s.Name) {
			c.add(path.field("name"), "%q is a path of the callers' interface; choose another name", s.Name)
		}
		c.callRules(path.field("idempotent"), s.Idempotent)
		c.duration(path.field("timeout"), s.Timeout, minTimeout, maxTimeout)
		c.duration(path.field("key_window"), s.IdempotencyKeyTTL, minIdempotencyKeyTTL, maxIdempotencyKeyTTL)
		if s.IdempotencyKeyTTL >= minIdempotencyKeyTTL && s.Timeout <= maxTimeout && s.IdempotencyKeyTTL < s.Timeout {
			c.add(path.field("key_window"), "is %v; must not be shorter than the timeout of %v", s.IdempotencyKeyTTL, s.Timeout)
		}
		oneOf(c, path.field("on_log_outage"), s.OnLogOutage, RefuseDuringOutage, RunDuringOutage)
		c.integer(path.field("max_body_bytes"), s.MaxBodyBytes, 1, maxBodyBytes)
		c.integer(path.field("max_connections"), int64(s.MaxConnections), 0, maxConcurrency)
	}
}

func (c *checker) callRules(path docPath, rules []CallRule) {
	seen := firstUses{}
	for i, r := range rules {
		elemPath := path.elem(i)
		oneOf(c, elemPath.field("method"), r.Method, allowedMethods...)
		if !strings.HasPrefix(r.PathPrefix, "/") {
			c.add(elemPath.field("path_prefix"), "%q must start with '/'", r.PathPrefix)
		}
		c.unique(seen, elemPath, r.Method+" "+r.PathPrefix)
	}
}

func (c *checker) servers() {
	seen := make(firstUses, len(c.doc.Servers))
	for i, s := range c.doc.Servers {
		path := entryPath("servers", i)
		c.uniqueName(seen, path.field("id"), s.ID)
		c.reference(path.field("zone"), "availability zone", s.Zone, c.zones[s.Zone])
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
	model, accelerator := c.modelByName[s.Model], c.acceleratorByKind[s.Accelerator]
	c.reference(path.field("model"), "model", s.Model, model != nil)
	c.reference(path.field("accelerator"), "accelerator", s.Accelerator, accelerator != nil)
	oneOf(c, path.field("fencing"), s.Fencing, FencingChecks, FencingIgnores)
	if model != nil && accelerator != nil && model.BytesPerLayer > accelerator.MemoryBytes {
		c.add(path.field("accelerator"), "%q has %d bytes of memory, too few for one layer of %q (%d bytes)",
			s.Accelerator, accelerator.MemoryBytes, s.Model, model.BytesPerLayer)
	}
}

func (c *checker) plainServer(path docPath, s Server) {
	c.reference(path.field("service"), "service", s.Service, c.serviceNames[s.Service])
	if s.Accelerator != "" {
		c.add(path.field("accelerator"), "applies to engines only; leave it out for a plain server")
	}
	if s.Fencing != "" {
		c.add(path.field("fencing"), "applies to engines only; leave it out for a plain server")
	}
}

func (c *checker) teams() {
	seen, hashes := make(firstUses, len(c.doc.Teams)), make(firstUses, len(c.doc.Teams))
	for i, t := range c.doc.Teams {
		path := entryPath("teams", i)
		c.uniqueName(seen, path.field("name"), t.Name)
		c.keyHashes(hashes, path.field("key_hashes"), t.KeyHashes)
		c.positive(path.field("weight"), t.Weight, maxWeight)
		c.integer(path.field("priority"), int64(t.Priority), 0, maxPriority)
		c.references(path.field("models"), "model", t.Models, func(n string) bool { return c.modelByName[n] != nil })
		c.references(path.field("services"), "service", t.Services, func(n string) bool { return c.serviceNames[n] })
		c.number(path.field("requests_per_second"), t.RequestsPerSecond, 0, maxRate)
		c.integer(path.field("concurrency"), int64(t.Concurrency), 0, maxConcurrency)
	}
}

// keyHashes checks the format, and that no two teams share an API key, because a
// key must identify one team.
func (c *checker) keyHashes(seen firstUses, path docPath, hashes []string) {
	for i, h := range hashes {
		elemPath := path.elem(i)
		if !isHash(h) {
			c.add(elemPath, "must be the SHA-256 hash of a key as 64 lower-case hexadecimal digits")
			continue
		}
		c.unique(seen, elemPath, h)
	}
}

func (c *checker) references(path docPath, kind string, values []string, exists func(string) bool) {
	seen := firstUses{}
	for i, v := range values {
		elemPath := path.elem(i)
		c.reference(elemPath, kind, v, exists(v))
		c.unique(seen, elemPath, v)
	}
}

func (c *checker) objectives() {
	seen := firstUses{}
	for i, o := range c.doc.Objectives {
		path := entryPath("objectives", i)
		c.uniqueName(seen, path.field("name"), o.Name)
		c.objectiveSubject(path, o)
		if o.Team != "" {
			c.reference(path.field("team"), "team", o.Team, c.teamNames[o.Team])
		}
		c.objectiveMeasure(path, o)
		if !(o.Target > 0 && o.Target < 1) {
			c.add(path.field("target"), "is %v; must be above 0 and below 1", o.Target)
		}
	}
}

func (c *checker) objectiveSubject(path docPath, o Objective) {
	switch {
	case o.Model != "" && o.Service != "":
		c.add(path, "must name either a model or a service, not both")
	case o.Model != "":
		c.reference(path.field("model"), "model", o.Model, c.modelByName[o.Model] != nil)
	case o.Service != "":
		c.reference(path.field("service"), "service", o.Service, c.serviceNames[o.Service])
	default:
		c.add(path, "must name a model or a service")
	}
}

func (c *checker) objectiveMeasure(path docPath, o Objective) {
	oneOf(c, path.field("measure"), o.Measure, MeasureTimeToFirstToken, MeasureInterTokenLatency, MeasureAvailability, MeasureLatency)
	tokenMeasure := o.Measure == MeasureTimeToFirstToken || o.Measure == MeasureInterTokenLatency
	if tokenMeasure && o.Service != "" {
		c.add(path.field("measure"), "%q applies to models only", string(o.Measure))
	}
	if o.Measure == MeasureAvailability {
		if o.Threshold != 0 {
			c.add(path.field("threshold"), "is unused for availability; leave it out")
		}
		return
	}
	c.duration(path.field("threshold"), o.Threshold, time.Microsecond, maxThreshold)
}

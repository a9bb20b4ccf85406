package entry

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/sapphirefield/sapphirefield/admission"
	"github.com/sapphirefield/sapphirefield/config"
	"github.com/sapphirefield/sapphirefield/pipeline"
	"github.com/sapphirefield/sapphirefield/problem"
	"github.com/sapphirefield/sapphirefield/wire"
)

const (
	// tokenInterval is the assumed time between two tokens of a stream. A
	// pipeline's token rate times tokenInterval is the number of its concurrent streams.
	tokenInterval = 27 * time.Millisecond
	// defaultFirstTokenLimit is the deadline for the first token if no objective sets one.
	defaultFirstTokenLimit = 5 * time.Second
	// maxCallsPerServer is the number of concurrent unary calls per backend server.
	maxCallsPerServer = 64
)

// admitter runs one admission controller per model and per service. The
// controllers decide; the admitter holds the waiting requests and the timers.
type admitter struct {
	mu     sync.Mutex
	random *rand.Rand
	pools  map[string]*pool
}

// pool is the admission controller of one model or service, with its waiting
// requests.
type pool struct {
	owner      *admitter
	controller *admission.Controller
	waiting    map[string]chan admission.Decision
	timer      *time.Timer
	loads      map[string]admission.Load
}

func newAdmitter(seed uint64) *admitter {
	return &admitter{random: rand.New(rand.NewPCG(seed, 0)), pools: make(map[string]*pool)}
}

// pool must be called with a.mu held.
func (a *admitter) pool(name string) *pool {
	p := a.pools[name]
	if p == nil {
		p = &pool{
			owner: a, controller: admission.New(admission.DefaultOptions(), a.random),
			waiting: make(map[string]chan admission.Decision), loads: make(map[string]admission.Load),
		}
		a.pools[name] = p
	}
	return p
}

// setCapacity sets the capacity of a pool and the number of entries that share it.
func (a *admitter) setCapacity(name string, units float64, entries int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	p := a.pool(name)
	p.controller.SetCapacity(now(), admission.Capacity{Units: units, Entries: entries})
	p.tick()
}

// observeLoad records the load report of one sidecar.
func (a *admitter) observeLoad(name, instance string, load admission.Load) {
	a.mu.Lock()
	defer a.mu.Unlock()
	p := a.pool(name)
	p.loads[instance] = load
	var sum admission.Load
	for _, l := range p.loads {
		sum.Running += l.Running
		sum.Queued += l.Queued
	}
	p.controller.ObserveLoad(now(), sum)
	p.tick()
}

// retainLoads drops the load reports of sidecars that are no longer usable.
func (a *admitter) retainLoads(name string, usable map[string]bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	p := a.pool(name)
	for instance := range p.loads {
		if !usable[instance] {
			delete(p.loads, instance)
		}
	}
}

// acquire waits until a request is admitted. It returns a function to call with
// the outcome of the request, or the problem to return if the request is shed.
func (a *admitter) acquire(ctx context.Context, name string, req admission.Request) (func(admission.Outcome), *problem.Problem) {
	a.mu.Lock()
	p := a.pool(name)
	decision := p.controller.Offer(now(), req)
	var wait chan admission.Decision
	if decision.Verdict == admission.Queue {
		wait = make(chan admission.Decision, 1)
		p.waiting[req.ID] = wait
	}
	p.tick()
	a.mu.Unlock()
	if wait != nil {
		select {
		case decision = <-wait:
		case <-ctx.Done():
			return nil, p.cancelWait(req.ID)
		}
	}
	if decision.Verdict == admission.Shed {
		return nil, shedProblem(decision)
	}
	return func(outcome admission.Outcome) { p.release(req.ID, outcome) }, nil
}

// cancelWait removes a waiting request whose context is done.
func (p *pool) cancelWait(id string) *problem.Problem {
	p.owner.mu.Lock()
	defer p.owner.mu.Unlock()
	delete(p.waiting, id)
	p.controller.Cancel(now(), id)
	p.tick()
	return problem.NotExecuted(problem.DeadlineExceeded, "the request ended while it waited for capacity")
}

func (p *pool) release(id string, outcome admission.Outcome) {
	p.owner.mu.Lock()
	defer p.owner.mu.Unlock()
	p.controller.Done(now(), id, outcome)
	p.tick()
}

// tick delivers the decisions that are due and sets the timer for the next one.
// It must be called with p.owner.mu held.
func (p *pool) tick() {
	for _, decision := range p.controller.Tick(now()) {
		if wait := p.waiting[decision.ID]; wait != nil {
			delete(p.waiting, decision.ID)
			wait <- decision
		}
	}
	if p.timer != nil {
		p.timer.Stop()
	}
	next, due := p.controller.NextTick(now())
	if !due {
		return
	}
	p.timer = time.AfterFunc(time.Until(next), func() {
		p.owner.mu.Lock()
		defer p.owner.mu.Unlock()
		p.tick()
	})
}

func shedProblem(decision admission.Decision) *problem.Problem {
	code := problem.Overloaded
	detail := "there is no capacity for the request in time"
	switch decision.Reason {
	case admission.RateLimited:
		code, detail = problem.RateLimited, "the team is over its rate of requests"
	case admission.ConcurrencyLimited:
		code, detail = problem.RateLimited, "the team is over its number of requests at once"
	case admission.NoCapacity:
		code, detail = problem.NoBackend, "no backend server is available"
	}
	p := problem.NotExecuted(code, detail)
	p.RetryAfter = decision.RetryAfter
	return p
}

// firstTokenLimit returns the time within which a model's first token, or a
// service's response, is useful: the objective's threshold if there is one.
func firstTokenLimit(doc *config.Document, model, service string) time.Duration {
	for _, o := range doc.Objectives {
		matches := o.Model == model && o.Service == service && o.Team == ""
		if matches && o.Threshold > 0 && (o.Measure == config.MeasureTimeToFirstToken || o.Measure == config.MeasureLatency) {
			return o.Threshold
		}
	}
	return defaultFirstTokenLimit
}

func admissionRequest(doc *config.Document, team *config.Team, id, model, service string) admission.Request {
	return admission.Request{
		ID: id, Team: team.Name, Weight: team.Weight, Priority: team.Priority,
		Deadline: now().Add(firstTokenLimit(doc, model, service)), Cost: 1,
		RatePerSecond: team.RequestsPerSecond, Concurrency: team.Concurrency,
	}
}

// A model and a service may have the same name, so the keys of their pools differ.
func modelPoolKey(model string) string { return "model " + model }

func servicePoolKey(service string) string { return "service " + service }

// updateCapacity sets the capacity of the pools from the usable peers.
func (s *Server) updateCapacity(doc *config.Document, stages map[string][]pipeline.Stage) {
	for i := range doc.Models {
		model := &doc.Models[i]
		streams := pipelineTokenRate(model.Layers, stages[model.Name]) * tokenInterval.Seconds()
		usable := make(map[string]bool, len(stages[model.Name]))
		for _, stage := range stages[model.Name] {
			usable[stage.Instance] = true
		}
		s.admitter.updatePool(modelPoolKey(model.Name), streams, usable, s.sharingEntries(usable))
	}
	servers := s.usableServers()
	for i := range doc.Services {
		name := doc.Services[i].Name
		units := float64(len(servers[name]) * maxCallsPerServer)
		s.admitter.updatePool(servicePoolKey(name), units, servers[name], s.sharingEntries(servers[name]))
	}
}

func (a *admitter) updatePool(name string, units float64, usable map[string]bool, entries int) {
	a.retainLoads(name, usable)
	a.setCapacity(name, units, entries)
}

// sharingEntries returns how many entries share a usable instance on average.
// Each entry counts only the capacity of the instances it is connected to, so
// it shares this capacity with the entries connected to the same instances.
func (s *Server) sharingEntries(usable map[string]bool) int {
	total, reports := 0, 0
	for _, p := range s.peers.all() {
		if n := p.connectedEntries(); usable[p.id] && n > 0 {
			total += n
			reports++
		}
	}
	if reports == 0 {
		return 1
	}
	return (total + reports/2) / reports
}

// usableServers returns the usable instances of each non-pipeline service.
func (s *Server) usableServers() map[string]map[string]bool {
	servers := make(map[string]map[string]bool)
	for _, p := range s.peers.all() {
		hello, _, _ := p.info()
		service := hello.GetService()
		if service == "" || !p.usable() {
			continue
		}
		if servers[service] == nil {
			servers[service] = make(map[string]bool)
		}
		servers[service][p.id] = true
	}
	return servers
}

// pipelineTokenRate returns the token rate of the stages together, which is that
// of the layer with the lowest rate.
func pipelineTokenRate(layers int, stages []pipeline.Stage) float64 {
	rates := make([]float64, layers)
	for _, stage := range stages {
		for layer := stage.First; layer < min(stage.Limit, layers); layer++ {
			rates[layer] += stage.Weight
		}
	}
	if len(rates) == 0 {
		return 0
	}
	return slices.Min(rates)
}

// observeLoad passes a sidecar's load report to the admitter and the choosers.
func (s *Server) observeLoad(instance string, hello *wire.Hello, load *wire.Load) {
	report := admission.Load{Running: float64(load.Running), Queued: float64(load.Queued)}
	switch {
	case hello.GetService() != "":
		s.admitter.observeLoad(servicePoolKey(hello.Service), instance, report)
	case hello.GetModel() != "":
		s.models.observeLoad(hello.Model, instance, hello.Zone, load)
		// Every request runs on exactly one first stage, so the loads of these
		// engines count each request once.
		if hello.GetLayers().GetFirst() == 0 {
			s.admitter.observeLoad(modelPoolKey(hello.Model), instance, report)
		}
	}
}

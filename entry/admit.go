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
	// tokenInterval is the time between two tokens that a stream is admitted
	// for; a pipeline of a given token rate carries that many streams at once.
	tokenInterval = 27 * time.Millisecond
	// defaultFirstToken is the latest useful first token where no objective states one.
	defaultFirstToken = 5 * time.Second
	// callsPerServer is how many calls one plain server takes at once.
	callsPerServer = 64
)

// admitter runs one admission controller for each model and each service. The
// controllers decide; the admitter holds the waiting requests and the timer.
type admitter struct {
	mu     sync.Mutex
	random *rand.Rand
	pools  map[string]*pool
}

// pool is the controller of one set of backend servers.
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

// pool must be called with the lock held.
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

// setCapacity tells what all entries together may use of a pool.
func (a *admitter) setCapacity(name string, units float64, entries int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	p := a.pool(name)
	p.controller.SetCapacity(now(), admission.Capacity{Units: units, Entries: entries})
	p.tick()
}

// observe takes the load report of one sidecar.
func (a *admitter) observe(name, instance string, load admission.Load) {
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

// retain drops the load of sidecars that are no longer usable.
func (a *admitter) retain(name string, usable map[string]bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	p := a.pool(name)
	for instance := range p.loads {
		if !usable[instance] {
			delete(p.loads, instance)
		}
	}
}

// acquire waits until a request may run. It returns the function that ends
// the request, or the answer for one that is shed.
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
			return nil, p.abandon(req.ID)
		}
	}
	if decision.Verdict == admission.Shed {
		return nil, shedProblem(decision)
	}
	return func(outcome admission.Outcome) { p.release(req.ID, outcome) }, nil
}

// abandon ends the wait of a request whose caller is gone.
func (p *pool) abandon(id string) *problem.Problem {
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

// tick hands out decisions that are due and sets the timer for the next one.
// It must be called with the owner's lock held.
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

// firstTokenLimit is the time within which a model's first token, or a
// service's answer, is useful: the objective's threshold where there is one.
func firstTokenLimit(doc *config.Document, model, service string) time.Duration {
	for _, o := range doc.Objectives {
		matches := o.Model == model && o.Service == service && o.Team == ""
		if matches && o.Threshold > 0 && (o.Measure == config.MeasureTimeToFirstToken || o.Measure == config.MeasureLatency) {
			return o.Threshold
		}
	}
	return defaultFirstToken
}

func admissionRequest(doc *config.Document, team *config.Team, id, model, service string) admission.Request {
	return admission.Request{
		ID: id, Team: team.Name, Weight: team.Weight, Priority: team.Priority,
		Deadline: now().Add(firstTokenLimit(doc, model, service)), Cost: 1,
		RatePerSecond: team.RequestsPerSecond, Concurrency: team.Concurrency,
	}
}

// Pools of models and services may share a name, so their keys differ.
func modelPool(model string) string { return "model " + model }

func servicePool(service string) string { return "service " + service }

// updateCapacity derives what the pools can run at once from the usable peers.
func (s *Server) updateCapacity(doc *config.Document, stages map[string][]pipeline.Stage) {
	for i := range doc.Models {
		model := &doc.Models[i]
		streams := chainRate(model.Layers, stages[model.Name]) * tokenInterval.Seconds()
		usable := make(map[string]bool, len(stages[model.Name]))
		for _, stage := range stages[model.Name] {
			usable[stage.Instance] = true
		}
		s.admitter.setPool(modelPool(model.Name), streams, usable, s.sharingEntries(usable))
	}
	servers := s.usableServers()
	for i := range doc.Services {
		name := doc.Services[i].Name
		units := float64(len(servers[name]) * callsPerServer)
		s.admitter.setPool(servicePool(name), units, servers[name], s.sharingEntries(servers[name]))
	}
}

func (a *admitter) setPool(name string, units float64, usable map[string]bool, entries int) {
	a.retain(name, usable)
	a.setCapacity(name, units, entries)
}

// sharingEntries is how many entries share the usable instances, on average.
// Each entry counts only the capacity that it is connected to, so the entries
// connected to the same instances are those it shares with.
func (s *Server) sharingEntries(usable map[string]bool) int {
	total, reports := 0, 0
	for _, p := range s.peers.all() {
		if n := p.entries(); usable[p.id] && n > 0 {
			total += n
			reports++
		}
	}
	if reports == 0 {
		return 1
	}
	return (total + reports/2) / reports
}

// usableServers returns the instances of each plain service that take work.
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

// chainRate is the token rate that the stages can carry together: that of the
// layer with the least.
func chainRate(layers int, stages []pipeline.Stage) float64 {
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

// observeLoad passes a sidecar's load report to the decisions that use it.
func (s *Server) observeLoad(instance string, hello *wire.Hello, load *wire.Load) {
	report := admission.Load{Running: float64(load.Running), Queued: float64(load.Queued)}
	switch {
	case hello.GetService() != "":
		s.admitter.observe(servicePool(hello.Service), instance, report)
	case hello.GetModel() != "":
		s.models.observe(hello.Model, instance, hello.Zone, load)
		// Every request runs once on a first stage, so these engines count each request once.
		if hello.GetLayers().GetFirst() == 0 {
			s.admitter.observe(modelPool(hello.Model), instance, report)
		}
	}
}

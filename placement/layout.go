package placement

import (
	"cmp"
	"math"
	"slices"
)

// class is a set of interchangeable engines. Searching over classes instead of
// engines keeps the search small for thousands of engines.
type class struct {
	zone   int
	rate   float64
	memory int64
}

func classOf(e Engine, w topology) class {
	return class{zone: w.index[e.Zone], rate: e.LayerTokensPerSecond, memory: e.MemoryBytes}
}

func compareClasses(a, b class) int {
	return cmp.Or(cmp.Compare(a.zone, b.zone), cmp.Compare(a.rate, b.rate), cmp.Compare(a.memory, b.memory))
}

func sortedClasses[V any](set map[class]V) []class {
	classes := make([]class, 0, len(set))
	for c := range set {
		classes = append(classes, c)
	}
	slices.SortFunc(classes, compareClasses)
	return classes
}

// problem is the placement of a model on one group of zones.
type problem struct {
	model   Model
	opts    Options
	net     topology
	zones   []int
	classes []class
	size    []int
	// fit is the most layers with which an engine of the class has any capacity.
	fit []int
	// capacity is indexed by class and number of layers.
	capacity [][]float64
	// target is the bound on the group's flow.
	target  float64
	out, in []float64
}

func newProblem(engines []Engine, m Model, opts Options, w topology, zones []int) *problem {
	p := &problem{model: m, opts: opts.withDefaults(), net: w, zones: zones}
	members := map[class]int{}
	for _, e := range engines {
		members[classOf(e, w)]++
	}
	p.classes = sortedClasses(members)
	for _, c := range p.classes {
		e := Engine{MemoryBytes: c.memory, LayerTokensPerSecond: c.rate}
		p.size = append(p.size, members[c])
		rates := make([]float64, m.Layers+1)
		fit := 0
		for n := 1; n <= m.Layers; n++ {
			rates[n] = Capacity(e, m, opts, n)
			if rates[n] > 0 {
				fit = n
			}
		}
		p.fit = append(p.fit, fit)
		p.capacity = append(p.capacity, rates)
		p.target += float64(members[c]) * bestWork(e, m, opts) / float64(m.Layers)
	}
	p.crossings()
	return p
}

// crossings sums the links between the group's zones.
func (p *problem) crossings() {
	p.out = make([]float64, len(p.net.zones))
	p.in = make([]float64, len(p.net.zones))
	for _, i := range p.zones {
		for _, j := range p.zones {
			if i != j {
				p.out[i] += p.net.rate[i][j]
				p.in[j] += p.net.rate[i][j]
			}
		}
	}
}

func (p *problem) classIndex(c class) int {
	i, found := slices.BinarySearchFunc(p.classes, c, compareClasses)
	if !found {
		return -1
	}
	return i
}

// layout is a division of the layers into segments and the number of engines
// of each class in each segment. Every engine of a segment holds all of its
// layers, so any engine of one segment can follow any engine of the one before.
type layout struct {
	*problem
	lengths []int
	// count is indexed by class and segment.
	count [][]int
	// idle counts the engines of each class outside all segments.
	idle []int
	// flow is the capacity of each segment by zone, sum the total of each segment.
	flow [][]float64
	sum  []float64
}

func (p *problem) empty(lengths []int) *layout {
	l := &layout{problem: p, lengths: slices.Clone(lengths), idle: slices.Clone(p.size)}
	for range p.classes {
		l.count = append(l.count, make([]int, len(lengths)))
	}
	for range lengths {
		l.flow = append(l.flow, make([]float64, len(p.net.zones)))
	}
	l.sum = make([]float64, len(lengths))
	return l
}

// add changes the number of engines of a class in a segment. It leaves idle alone.
func (l *layout) add(c, segment, n int) {
	l.count[c][segment] += n
	delta := float64(n) * l.capacity[c][l.lengths[segment]]
	l.flow[segment][l.classes[c].zone] += delta
	l.sum[segment] += delta
}

// place takes an idle engine into a segment.
func (l *layout) place(c, segment int) {
	l.idle[c]--
	l.add(c, segment, 1)
}

// rebuild recomputes capacities after lengths have changed.
func (l *layout) rebuild() {
	for s := range l.lengths {
		clear(l.flow[s])
		l.sum[s] = 0
		for c := range l.classes {
			n := l.count[c][s]
			if n > 0 {
				l.flow[s][l.classes[c].zone] += float64(n) * l.capacity[c][l.lengths[s]]
				l.sum[s] += float64(n) * l.capacity[c][l.lengths[s]]
			}
		}
	}
}

// shortfall measures how far the layout is from the target: squared relative
// lack of capacity over all segments, plus the slowest segment's lack, plus
// the part of the flow between zones that exceeds the links. It falls with
// every improvement of a segment, where the flow itself would be flat until
// the slowest segment improves.
func (l *layout) shortfall() float64 {
	total := 0.0
	slowest := math.Inf(1)
	for _, sum := range l.sum {
		lack := max(0, 1-sum/l.target)
		total += lack * lack
		slowest = min(slowest, sum)
	}
	total += max(0, 1-slowest/l.target)
	if len(l.zones) > 1 && slowest > 0 {
		total += l.excess(slowest) / l.target
	}
	return total
}

// excess is the flow by which zones exceed their links when every segment
// carries the given flow in proportion to its capacities.
func (l *layout) excess(flow float64) float64 {
	over := 0.0
	for _, z := range l.zones {
		out, in := 0.0, 0.0
		for s := 1; s < len(l.lengths); s++ {
			step := flow * (l.flow[s-1][z]/l.sum[s-1] - l.flow[s][z]/l.sum[s])
			out += max(0, step)
			in += max(0, -step)
		}
		over += max(0, out-linkUse*l.out[z]) + max(0, in-linkUse*l.in[z])
	}
	return over
}

// fits tells whether an engine of a class can serve a segment.
func (l *layout) fits(c, segment int) bool {
	return l.capacity[c][l.lengths[segment]] > 0
}

// slowest is the least capacity of a segment; 0 means that layers are not covered.
func (l *layout) slowest() float64 {
	return slices.Min(l.sum)
}

func (l *layout) bounds() []int {
	bounds := make([]int, len(l.lengths)+1)
	for s, n := range l.lengths {
		bounds[s+1] = bounds[s] + n
	}
	return bounds
}

package placement

import (
	"cmp"
	"math"
	"slices"
)

// class identifies engines with the same zone, rate and memory, which are
// interchangeable. Searching over classes instead of engines keeps the search
// small for thousands of engines.
type class struct {
	zone   int
	rate   float64
	memory int64
}

func classOf(e Engine, topo topology) class {
	return class{zone: topo.index[e.Zone], rate: e.LayerTokensPerSecond, memory: e.MemoryBytes}
}

func compareClasses(a, b class) int {
	return cmp.Or(cmp.Compare(a.zone, b.zone), cmp.Compare(a.rate, b.rate), cmp.Compare(a.memory, b.memory))
}

func sortedClasses[V any](byClass map[class]V) []class {
	classes := make([]class, 0, len(byClass))
	for c := range byClass {
		classes = append(classes, c)
	}
	slices.SortFunc(classes, compareClasses)
	return classes
}

// problem is the task of placing a model on the engines of one group of zones.
type problem struct {
	model     Model
	opts      Options
	topo      topology
	zones     []int
	classes   []class
	classSize []int
	// usableLayers is the most layers with which an engine of each class has any capacity.
	usableLayers []int
	// capacity is that of one engine in tokens/s, indexed by class and number of layers.
	capacity [][]float64
	// target is an upper bound on the group's flow, in tokens/s.
	target float64
	// outRate and inRate are the total rates of the links from and to each zone
	// within the group.
	outRate, inRate []float64
}

func newProblem(engines []Engine, m Model, opts Options, topo topology, zones []int) *problem {
	p := &problem{model: m, opts: opts.withDefaults(), topo: topo, zones: zones}
	engineCount := map[class]int{}
	for _, e := range engines {
		engineCount[classOf(e, topo)]++
	}
	p.classes = sortedClasses(engineCount)
	for _, c := range p.classes {
		e := Engine{MemoryBytes: c.memory, LayerTokensPerSecond: c.rate}
		p.classSize = append(p.classSize, engineCount[c])
		rates := make([]float64, m.Layers+1)
		usable := 0
		for n := 1; n <= m.Layers; n++ {
			rates[n] = Capacity(e, m, opts, n)
			if rates[n] > 0 {
				usable = n
			}
		}
		p.usableLayers = append(p.usableLayers, usable)
		p.capacity = append(p.capacity, rates)
		p.target += float64(engineCount[c]) * maxLayerExecutionRate(e, m, opts) / float64(m.Layers)
	}
	p.sumLinkRates()
	return p
}

// sumLinkRates sets outRate and inRate.
func (p *problem) sumLinkRates() {
	p.outRate = make([]float64, len(p.topo.zones))
	p.inRate = make([]float64, len(p.topo.zones))
	for _, i := range p.zones {
		for _, j := range p.zones {
			if i != j {
				p.outRate[i] += p.topo.rate[i][j]
				p.inRate[j] += p.topo.rate[i][j]
			}
		}
	}
}

// classIndex returns the index of a class, or -1.
func (p *problem) classIndex(c class) int {
	i, found := slices.BinarySearchFunc(p.classes, c, compareClasses)
	if !found {
		return -1
	}
	return i
}

// layout divides the layers into segments and states the number of engines of
// each class in each segment. Every engine of a segment holds all of its layers,
// so any engine of one segment can follow any engine of the previous one.
type layout struct {
	*problem
	// lengths are the numbers of layers of the segments.
	lengths []int
	// count is the number of engines, indexed by class and segment.
	count [][]int
	// idle is the number of engines of each class that are in no segment.
	idle []int
	// zoneCapacity is indexed by segment and zone, segmentCapacity by segment; both
	// are in tokens/s.
	zoneCapacity    [][]float64
	segmentCapacity []float64
}

// newLayout returns a layout in which all engines are idle.
func (p *problem) newLayout(lengths []int) *layout {
	l := &layout{problem: p, lengths: slices.Clone(lengths), idle: slices.Clone(p.classSize)}
	for range p.classes {
		l.count = append(l.count, make([]int, len(lengths)))
	}
	for range lengths {
		l.zoneCapacity = append(l.zoneCapacity, make([]float64, len(p.topo.zones)))
	}
	l.segmentCapacity = make([]float64, len(lengths))
	return l
}

// addEngines changes the number of engines of a class in a segment by n without
// adjusting idle.
func (l *layout) addEngines(c, segment, n int) {
	l.count[c][segment] += n
	delta := float64(n) * l.capacity[c][l.lengths[segment]]
	l.zoneCapacity[segment][l.classes[c].zone] += delta
	l.segmentCapacity[segment] += delta
}

// placeIdle moves an idle engine to a segment.
func (l *layout) placeIdle(c, segment int) {
	l.idle[c]--
	l.addEngines(c, segment, 1)
}

// recomputeCapacities sets the capacities from lengths and count. Changes of
// lengths require it.
func (l *layout) recomputeCapacities() {
	for s := range l.lengths {
		clear(l.zoneCapacity[s])
		l.segmentCapacity[s] = 0
		for c := range l.classes {
			n := l.count[c][s]
			if n > 0 {
				l.zoneCapacity[s][l.classes[c].zone] += float64(n) * l.capacity[c][l.lengths[s]]
				l.segmentCapacity[s] += float64(n) * l.capacity[c][l.lengths[s]]
			}
		}
	}
}

// shortfall measures how far the layout is from the target flow. It is the sum of
// the squared relative capacity deficits of all segments, the relative deficit of
// the slowest segment, and the relative flow between zones that exceeds the
// links. Unlike the flow itself, which changes only with the slowest segment, it
// decreases with every improvement of a segment below the target.
func (l *layout) shortfall() float64 {
	total := 0.0
	slowest := math.Inf(1)
	for _, sum := range l.segmentCapacity {
		deficit := max(0, 1-sum/l.target)
		total += deficit * deficit
		slowest = min(slowest, sum)
	}
	total += max(0, 1-slowest/l.target)
	if len(l.zones) > 1 && slowest > 0 {
		total += l.linkOverload(slowest) / l.target
	}
	return total
}

// linkOverload returns the flow by which zones exceed their links when each
// segment divides the given flow among zones in proportion to their capacities.
func (l *layout) linkOverload(flow float64) float64 {
	overload := 0.0
	for _, z := range l.zones {
		out, in := 0.0, 0.0
		for s := 1; s < len(l.lengths); s++ {
			netOutflow := flow * (l.zoneCapacity[s-1][z]/l.segmentCapacity[s-1] - l.zoneCapacity[s][z]/l.segmentCapacity[s])
			out += max(0, netOutflow)
			in += max(0, -netOutflow)
		}
		overload += max(0, out-maxLinkUtilization*l.outRate[z]) + max(0, in-maxLinkUtilization*l.inRate[z])
	}
	return overload
}

// canServe reports whether an engine of a class can serve a segment.
func (l *layout) canServe(c, segment int) bool {
	return l.capacity[c][l.lengths[segment]] > 0
}

// bottleneck returns the least capacity of any segment; 0 means that some layers
// are not covered.
func (l *layout) bottleneck() float64 {
	return slices.Min(l.segmentCapacity)
}

// boundaries returns the first layer of each segment, followed by the number of layers.
func (l *layout) boundaries() []int {
	boundaries := make([]int, len(l.lengths)+1)
	for s, n := range l.lengths {
		boundaries[s+1] = boundaries[s] + n
	}
	return boundaries
}

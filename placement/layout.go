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

// problem is the placement of a model on one group of zones.
type problem struct {
	model     Model
	opts      Options
	topo      topology
	zones     []int
	classes   []class
	classSize []int
	// usableLayers is the most layers with which an engine of the class has any capacity.
	usableLayers []int
	// capacity is indexed by class and number of layers.
	capacity [][]float64
	// target is the bound on the group's flow.
	target          float64
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

// sumLinkRates sums the links between the group's zones.
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
	// zoneCapacity is the capacity of each segment by zone, sum the total of each segment.
	zoneCapacity    [][]float64
	segmentCapacity []float64
}

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

// addEngines changes the number of engines of a class in a segment. It leaves idle alone.
func (l *layout) addEngines(c, segment, n int) {
	l.count[c][segment] += n
	delta := float64(n) * l.capacity[c][l.lengths[segment]]
	l.zoneCapacity[segment][l.classes[c].zone] += delta
	l.segmentCapacity[segment] += delta
}

// placeIdle takes an idle engine into a segment.
func (l *layout) placeIdle(c, segment int) {
	l.idle[c]--
	l.addEngines(c, segment, 1)
}

// recomputeCapacities recomputes capacities after lengths have changed.
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

// shortfall measures how far the layout is from the target: squared relative
// lack of capacity over all segments, plus the slowest segment's lack, plus
// the part of the flow between zones that exceeds the links. It falls with
// every improvement of a segment, where the flow itself would be flat until
// the slowest segment improves.
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

// linkOverload is the flow by which zones exceed their links when every segment
// carries the given flow in proportion to its capacities.
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

// canServe tells whether an engine of a class can serve a segment.
func (l *layout) canServe(c, segment int) bool {
	return l.capacity[c][l.lengths[segment]] > 0
}

// bottleneck is the least capacity of a segment; 0 means that layers are not covered.
func (l *layout) bottleneck() float64 {
	return slices.Min(l.segmentCapacity)
}

func (l *layout) bounds() []int {
	bounds := make([]int, len(l.lengths)+1)
	for s, n := range l.lengths {
		bounds[s+1] = bounds[s] + n
	}
	return bounds
}

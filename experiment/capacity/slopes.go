// Package capacity measures what each decision and each kind of state costs at
// three sizes or more, so that the cost at another size can be worked out.
package capacity

import (
	"fmt"
	"io"
	"runtime"
	"text/tabwriter"
	"time"

	"gonum.org/v1/gonum/stat"
)

// sample is the cost of one mechanism at one size.
type sample struct {
	size int
	// bytes is the memory that the state keeps.
	bytes int64
	// perOp is the processor time of one operation.
	perOp time.Duration
}

// mechanism is something whose cost depends on a size.
type mechanism struct {
	name string
	// unit is what the size counts, operation what perOp times.
	unit, operation string
	sizes           []int
	// build makes the state for a size and returns one operation on it. The
	// state must stay reachable from the operation.
	build func(size int) (operation func(i int))
	// target is the size at which docs/CAPACITY.md needs the cost.
	target int
}

// line is a least-squares fit of cost against size.
type line struct {
	base, slope float64
}

func (l line) at(size int) float64 { return l.base + l.slope*float64(size) }

func fit(samples []sample, value func(sample) float64) line {
	xs := make([]float64, len(samples))
	ys := make([]float64, len(samples))
	for i, s := range samples {
		xs[i], ys[i] = float64(s.size), value(s)
	}
	base, slope := stat.LinearRegression(xs, ys, nil, false)
	return line{base: base, slope: slope}
}

// minDuration is how long an operation is repeated for one reading.
const minDuration = 100 * time.Millisecond

func measure(m mechanism, size int) sample {
	before := heapBytes()
	operation := m.build(size)
	s := sample{size: size, bytes: heapBytes() - before}
	operation(0)
	n := 1
	for {
		began := time.Now()
		for i := range n {
			operation(i + 1)
		}
		took := time.Since(began)
		if took >= minDuration {
			s.perOp = took / time.Duration(n)
			break
		}
		n *= 2
	}
	runtime.KeepAlive(operation)
	return s
}

// heapBytes returns the memory that is reachable now.
func heapBytes() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// Run measures all mechanisms and writes a table with a row for each size and
// a row with the fit at the target size.
func Run(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "mechanism\tsize\tstate bytes\toperation\ttime/op")
	for _, m := range mechanisms() {
		var samples []sample
		for _, size := range m.sizes {
			s := measure(m, size)
			samples = append(samples, s)
			fmt.Fprintf(w, "%s\t%d %s\t%d\t%s\t%s\n", m.name, size, m.unit, s.bytes, m.operation, s.perOp)
		}
		state := fit(samples, func(s sample) float64 { return float64(s.bytes) })
		cost := fit(samples, func(s sample) float64 { return float64(s.perOp) })
		fmt.Fprintf(w, "%s\tfit %d\t%.0f (%.0f a unit)\t%s\t%s (%s a unit)\n", m.name, m.target,
			state.at(m.target), state.slope, m.operation, time.Duration(cost.at(m.target)).Round(10*time.Nanosecond),
			time.Duration(cost.slope).Round(time.Nanosecond))
	}
	return w.Flush()
}

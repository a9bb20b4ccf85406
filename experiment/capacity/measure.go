// Package capacity measures the memory and time that decisions and their state
// take at three or more sizes, to extrapolate to other sizes.
package capacity

import (
	"fmt"
	"io"
	"runtime"
	"text/tabwriter"
	"time"

	"gonum.org/v1/gonum/stat"
)

// measurement is the result of one benchmark at one size.
type measurement struct {
	size int
	// bytes is the heap memory that the state retains.
	bytes int64
	// perOp is the time of one operation.
	perOp time.Duration
}

// benchmark measures an operation and its state, whose costs depend on a size.
type benchmark struct {
	name string
	// unit names what size counts, operation what perOp measures.
	unit, operation string
	sizes           []int
	// build creates the state for a size and returns the operation on it. The
	// operation must keep the state reachable.
	build func(size int) (operation func(i int))
	// target is the size at which docs/CAPACITY.md needs the cost.
	target int
}

// linearFit is a least-squares linear fit of cost as a function of size.
type linearFit struct {
	intercept, slope float64
}

func (l linearFit) at(size int) float64 { return l.intercept + l.slope*float64(size) }

func fitLine(samples []measurement, value func(measurement) float64) linearFit {
	xs := make([]float64, len(samples))
	ys := make([]float64, len(samples))
	for i, s := range samples {
		xs[i], ys[i] = float64(s.size), value(s)
	}
	intercept, slope := stat.LinearRegression(xs, ys, nil, false)
	return linearFit{intercept: intercept, slope: slope}
}

// minMeasureTime is the minimum time for which an operation is repeated in one measurement.
const minMeasureTime = 100 * time.Millisecond

func measure(b benchmark, size int) measurement {
	before := heapBytes()
	operation := b.build(size)
	m := measurement{size: size, bytes: heapBytes() - before}
	operation(0)
	n := 1
	for {
		start := time.Now()
		for i := range n {
			operation(i + 1)
		}
		took := time.Since(start)
		if took >= minMeasureTime {
			m.perOp = took / time.Duration(n)
			break
		}
		n *= 2
	}
	runtime.KeepAlive(operation)
	return m
}

// heapBytes returns the size of the live heap.
func heapBytes() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// Run runs all benchmarks and writes a table with a row for each size and, for
// each benchmark, the cost extrapolated to the target size.
func Run(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "mechanism\tsize\tstate bytes\toperation\ttime/op")
	for _, b := range benchmarks() {
		var samples []measurement
		for _, size := range b.sizes {
			m := measure(b, size)
			samples = append(samples, m)
			fmt.Fprintf(w, "%s\t%d %s\t%d\t%s\t%s\n", b.name, size, b.unit, m.bytes, b.operation, m.perOp)
		}
		state := fitLine(samples, func(s measurement) float64 { return float64(s.bytes) })
		cost := fitLine(samples, func(s measurement) float64 { return float64(s.perOp) })
		fmt.Fprintf(w, "%s\tfit %d\t%.0f (%.0f a unit)\t%s\t%s (%s a unit)\n", b.name, b.target,
			state.at(b.target), state.slope, b.operation, time.Duration(cost.at(b.target)).Round(10*time.Nanosecond),
			time.Duration(cost.slope).Round(time.Nanosecond))
	}
	return w.Flush()
}

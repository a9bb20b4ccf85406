// Package machine divides the memory and the sockets of a machine among their uses in a
// process that serves clients, so that no crowd of clients exhausts it.
package machine

import (
	"math"
	"runtime/debug"
	"syscall"
)

// Machine is what a process may use; 0 means that there is no limit.
type Machine struct {
	// Memory is in bytes.
	Memory  int64
	Sockets int
}

const (
	// heapShare of the memory without programMemory is for the Go runtime. The rest is for
	// bytes in the sockets' buffers, and for what the runtime takes beyond its limit for a
	// moment. programMemory is for the program's text.
	heapShare     = 0.9
	programMemory = 24 << 20
	// connShare is for the connections of clients with their ordinary headers, headShare
	// for larger headers, and 1/bodyDivisor for bodies. What remains of heapShare is for
	// the rest of the process.
	connShare   = 0.3
	headShare   = 0.1
	bodyDivisor = 8
	// connMemory is the memory of a connection of a client: the buffers and stacks that
	// serve it, and an ordinary header.
	connMemory = 56 << 10
	// clientSocketDivisor leaves sockets to servers, the store and peers: a request in
	// progress takes up to one beside its client's.
	clientSocketDivisor = 2
	// idleSocketDivisor is the part for idle connections to servers.
	idleSocketDivisor = 4
	// minHeap in bytes and minClientConns keep a process at work however small its machine is.
	minHeap        = 32 << 20
	minClientConns = 16
)

// HeapLimit returns the memory limit of the Go runtime in bytes. The garbage between two
// collections would otherwise grow with what is in use.
func (m Machine) HeapLimit() int64 {
	if m.Memory <= 0 {
		return math.MaxInt64
	}
	return max(int64(float64(m.Memory)*heapShare)-programMemory, minHeap)
}

// ClientConns returns how many connections of clients may be open at once, or 0 for any number.
func (m Machine) ClientConns() int {
	limit := math.MaxInt
	if m.Memory > 0 {
		limit = int(float64(m.Memory) * connShare / connMemory)
	}
	if m.Sockets > 0 {
		limit = min(limit, m.Sockets/clientSocketDivisor)
	}
	if limit == math.MaxInt {
		return 0
	}
	return max(limit, minClientConns)
}

// IdleServerConns returns how many connections to servers may be idle, or 0 for any number.
func (m Machine) IdleServerConns() int { return m.Sockets / idleSocketDivisor }

// HeadMemory returns the memory in bytes that all headers share which are larger than
// ordinary ones, or 0 for any amount.
func (m Machine) HeadMemory() int64 { return int64(float64(m.Memory) * headShare) }

// BodyMemory returns the memory in bytes for all request bodies together, or 0 for any amount.
func (m Machine) BodyMemory() int64 { return m.Memory / bodyDivisor }

// Local returns the machine that the process runs on, before LimitHeap. A memory limit that
// the environment sets for the Go runtime (GOMEMLIMIT) is taken for all that the process
// may use.
func Local() Machine {
	var m Machine
	if limit := debug.SetMemoryLimit(-1); limit != math.MaxInt64 {
		m.Memory = limit
	} else {
		var info syscall.Sysinfo_t
		if err := syscall.Sysinfo(&info); err == nil {
			m.Memory = int64(info.Totalram) * int64(info.Unit)
		}
	}
	var files syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &files); err == nil && files.Cur < math.MaxInt32 {
		m.Sockets = int(files.Cur)
	}
	return m
}

// LimitHeap sets the memory limit of the Go runtime.
func (m Machine) LimitHeap() { debug.SetMemoryLimit(m.HeapLimit()) }

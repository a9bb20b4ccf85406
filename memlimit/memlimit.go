// Package memlimit bounds the memory that many requests hold together. Broken servers and
// slow clients would otherwise exhaust the process.
package memlimit

import "sync/atomic"

// Counter counts the bytes that are held. Its zero value holds none; it is safe for
// concurrent use.
type Counter struct{ used atomic.Int64 }

// Resize changes what one holder has, from and to a number of bytes, and reports whether
// all holders together have at most limit bytes then. To give back always succeeds.
func (c *Counter) Resize(from, to, limit int64) bool {
	if c.used.Add(to-from) <= limit || to <= from {
		return true
	}
	c.used.Add(from - to)
	return false
}

// Used returns the number of bytes that are held.
func (c *Counter) Used() int64 { return c.used.Load() }

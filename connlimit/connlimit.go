// Package connlimit decides which connections of clients a process keeps when there are
// too many of them, and which headers may use memory when there is too little. It answers
// crowds of clients that open connections or send headers and never come to a request.
//
// Whoever is closest to a whole and admitted request keeps its connection the longest.
package connlimit

import (
	"container/list"
	"sync"
)

// Phase says how far a connection has come. Connections of an earlier phase are given up
// first, and among those of one phase the ones that have been in it the longest.
type Phase int

// The phases of a connection.
const (
	// Refused connections are kept only until their client has read the refusal.
	Refused Phase = iota
	// Arriving connections are new, or have sent a part of a header.
	Arriving
	// Idle connections wait for a request and have had none that was admitted.
	Idle
	// Unadmitted connections have sent a whole header, and their request is not
	// admitted yet: its body may still arrive.
	Unadmitted
	// IdleAdmitted connections wait for a request and have had one that was admitted.
	IdleAdmitted
	// Busy connections have an admitted request in progress. They are never given up.
	Busy
	phaseCount
)

// Limits bound what clients hold; 0 means no limit.
type Limits struct {
	// Conns is the number of connections.
	Conns int
	// HeadMemory is the memory in bytes for the parts of all headers that are beyond
	// what each header has for itself.
	HeadMemory int64
}

// endingDivisor bounds the connections that have been given up and are not closed yet, as
// a part of all: those that are given up faster than they close would otherwise add up.
const endingDivisor = 8

// Table holds the open connections. It is safe for concurrent use.
type Table struct {
	limits Limits
	mu     sync.Mutex
	// phases hold the connections that may be kept, oldest first.
	phases [phaseCount]list.List
	kept   int
	ending int
	// holders are the arriving connections that hold memory, oldest first.
	holders list.List
	held    int64
	givenUp int64
}

// NewTable returns a table without connections.
func NewTable(limits Limits) *Table { return &Table{limits: limits} }

// Conn is a connection in a table.
type Conn struct {
	table *Table
	// end ends the connection, soon after it is called.
	end     func()
	phase   Phase
	element *list.Element // in the table's phases; nil once the connection is given up
	holder  *list.Element // in the table's holders; nil unless it is among them
	held    int64
	// admitted is set once the connection has had a request that was admitted.
	admitted, closed bool
}

// Open adds a connection, whose phase is Arriving, and gives up others if there are too
// many. It returns false if there are none to give up: the new one must be closed then.
func (t *Table) Open(onGiveUp func()) (*Conn, bool) {
	t.mu.Lock()
	victims, ok := t.makeRoom()
	var c *Conn
	if ok {
		c = &Conn{table: t, end: onGiveUp, phase: Arriving}
		t.kept++
		c.element = t.phases[Arriving].PushBack(c)
	}
	t.mu.Unlock()
	end(victims)
	return c, ok
}

// makeRoom gives up connections until there is room for another one, and reports whether
// there is. t.mu is held.
func (t *Table) makeRoom() (victims []*Conn, ok bool) {
	limit := t.limits.Conns
	for limit > 0 && t.kept >= limit {
		victim := t.firstToGiveUp()
		if victim == nil || t.ending > limit/endingDivisor {
			return victims, false
		}
		t.giveUp(victim)
		victims = append(victims, victim)
	}
	return victims, true
}

// firstToGiveUp returns the connection that is the farthest from an admitted request, or nil
// if all have one. t.mu is held.
func (t *Table) firstToGiveUp() *Conn {
	for phase := Refused; phase < Busy; phase++ {
		if oldest := t.phases[phase].Front(); oldest != nil {
			return oldest.Value.(*Conn)
		}
	}
	return nil
}

// giveUp removes a connection from those that are kept. t.mu is held.
func (t *Table) giveUp(c *Conn) {
	t.remove(c)
	t.ending++
	t.givenUp++
}

// remove takes a connection out of the lists. t.mu is held.
func (t *Table) remove(c *Conn) {
	t.phases[c.phase].Remove(c.element)
	c.element = nil
	t.kept--
	t.release(c)
}

// release ends what a connection holds. t.mu is held.
func (t *Table) release(c *Conn) {
	t.held -= c.held
	c.held = 0
	if c.holder != nil {
		t.holders.Remove(c.holder)
		c.holder = nil
	}
}

// Admit records that the request of the connection is admitted. It returns false if the
// connection has been given up before: the request must be refused then.
func (c *Conn) Admit() bool {
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	c.setPhase(Busy)
	return c.element != nil
}

// SetPhase records how far the connection has come.
func (c *Conn) SetPhase(phase Phase) {
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	c.setPhase(phase)
}

// setPhase does the work of SetPhase. The table's lock is held.
func (c *Conn) setPhase(phase Phase) {
	t := c.table
	if phase == Busy {
		c.admitted = true
	}
	if phase == Idle && c.admitted {
		phase = IdleAdmitted
	}
	if c.closed || c.element != nil && c.phase == phase {
		return
	}
	if c.element != nil {
		t.phases[c.phase].Remove(c.element)
	} else if phase == Refused {
		// It was given up, and waits for its client now.
		t.ending--
		t.kept++
	} else {
		return
	}
	c.phase = phase
	c.element = t.phases[phase].PushBack(c)
	if phase != Arriving {
		t.release(c)
	}
}

// Hold makes the connection hold bytes of memory for a header that arrives. Headers that
// have been arriving for longer are given up for it if there is too little. It returns false if
// that is not enough: the header must be refused.
func (c *Conn) Hold(bytes int64) bool {
	t := c.table
	t.mu.Lock()
	if c.element == nil {
		t.mu.Unlock()
		return false
	}
	victims, ok := t.reserve(bytes-c.held, c)
	if ok {
		c.held = bytes
		if c.holder == nil && bytes > 0 {
			c.holder = t.holders.PushBack(c)
		}
	}
	t.mu.Unlock()
	end(victims)
	return ok
}

// HoldRequest reserves bytes of memory for the header of a request that is whole, until
// ReleaseRequest. It returns false if the request must be refused.
func (t *Table) HoldRequest(bytes int64) bool {
	t.mu.Lock()
	victims, ok := t.reserve(bytes, nil)
	t.mu.Unlock()
	end(victims)
	return ok
}

// ReleaseRequest gives back the memory of a request.
func (t *Table) ReleaseRequest(bytes int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.held -= bytes
}

// reserve adds bytes to the memory that is held, and returns the connections other than
// keep that are given up for it. t.mu is held.
func (t *Table) reserve(bytes int64, keep *Conn) (victims []*Conn, ok bool) {
	limit := t.limits.HeadMemory
	if limit == 0 || bytes <= 0 {
		t.held += bytes
		return nil, true
	}
	for t.held+bytes > limit {
		victim := t.oldestHolder(keep)
		if victim == nil {
			return victims, false
		}
		t.giveUp(victim)
		victims = append(victims, victim)
	}
	t.held += bytes
	return victims, true
}

// oldestHolder returns the connection other than keep whose header has been arriving the
// longest, among those that hold memory. t.mu is held.
func (t *Table) oldestHolder(keep *Conn) *Conn {
	for e := t.holders.Front(); e != nil; e = e.Next() {
		if c := e.Value.(*Conn); c != keep {
			return c
		}
	}
	return nil
}

func end(conns []*Conn) {
	for _, c := range conns {
		c.end()
	}
}

// Close removes the connection.
func (c *Conn) Close() {
	t := c.table
	t.mu.Lock()
	defer t.mu.Unlock()
	if c.closed {
		return
	}
	c.closed = true
	if c.element == nil {
		t.ending--
		return
	}
	t.remove(c)
}

// Counts are the numbers of connections that are open, and that were given up in all.
type Counts struct {
	Open    int
	GivenUp int64
}

// Counts returns the current numbers.
func (t *Table) Counts() Counts {
	t.mu.Lock()
	defer t.mu.Unlock()
	return Counts{Open: t.kept + t.ending, GivenUp: t.givenUp}
}

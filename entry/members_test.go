package entry

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sapphirefield/sapphirefield/membership"
)

func instanceList(ids ...string) []membership.Instance {
	var instances []membership.Instance
	for _, id := range ids {
		instances = append(instances, membership.Instance{ID: id, Service: "orders", Zone: "z", Address: "127.0.0.1:1"})
	}
	return instances
}

// Guards against an outage when the platform's instance list is empty by mistake.
func TestEmptyListKeepsLastGoodSet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := testServer(t, testDocument())
		s.members.view.ObserveList(now(), instanceList("a", "b", "c"))
		s.members.view.ObserveList(now(), nil)
		time.Sleep(time.Minute)
		s.members.view.ObserveList(now(), nil)
		assert.Equal(t, len(s.members.candidates("orders")), 3)
	})
}

// Guards against sending work to an instance that drains: even if the instance list
// lags behind and still contains it, it is no candidate until a new process of it
// says hello.
func TestDrainingInstanceIsNoCandidate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := testServer(t, testDocument())
		s.members.view.ObserveList(now(), instanceList("a", "b", "c"))
		s.observeHello("a", "first")
		s.observeEvidence("a", membership.Draining)
		_, candidate := s.members.candidates("orders")["a"]
		assert.Assert(t, !candidate)
		s.observeHello("a", "second")
		weight := s.members.candidates("orders")["a"]
		assert.Assert(t, weight > 0 && weight < 1, "a new process is warmed up, weight %v", weight)
	})
}

package queue_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"geraniumhollow/internal/route/queue"
)

// full returns the queue of the only node, all of whose slots are taken by requests that take long.
func full(now time.Time, slots int) *queue.Queue {
	q := queue.New(now, rand.New(rand.NewPCG(1, 2)))
	q.SetCapacity(queue.Capacity{Slots: float64(slots), Nodes: 1})
	for range slots {
		q.RequestSent()
	}
	return q
}

// patient returns a request without an objective whose caller waits for a minute.
func patient(id uint64, now time.Time) queue.Request {
	r := request(id, 0, now)
	r.Objective, r.Deadline, r.StartTime = 0, now.Add(time.Minute), 0
	return r
}

// Guards against requests that are refused at once because no request has ended for a moment, though they have a minute, and against
// accepting many more than can be served in that time.
func TestLongDeadlineWaitsForSlot(t *testing.T) {
	t.Parallel()
	q := full(start, 8)
	accepted := 0
	for id := range uint64(30) {
		now := start.Add(time.Duration(id) * 100 * time.Millisecond)
		if q.Arrive(now, patient(id, now)) == nil {
			accepted++
		}
		if next, ok := q.Next(now, none); ok {
			q.Sent(now, next)
			q.RequestSent()
		}
	}
	if accepted < 8 || accepted > 16 {
		t.Errorf("%d requests of 30 were accepted", accepted)
	}
	now := start.Add(10 * time.Second)
	for range 10 {
		q.RequestEnded(now, true)
	}
	if _, ok := q.Next(now.Add(time.Second), none); !ok {
		t.Error("nothing is sent though slots are free")
	}
}

// Guards against a loop without pause when hardly any request ends: the time until the next one may be sent exceeds the range of a
// Duration then, and its conversion gave a time in the past.
func TestWakeupWhenNothingEnds(t *testing.T) {
	t.Parallel()
	q := full(start, 9)
	q.SetCapacity(queue.Capacity{Slots: 8, Nodes: 1})
	q.RequestEnded(start, true)
	now := start.Add(time.Minute)
	for id := range uint64(4) {
		q.Arrive(now, patient(id, now))
		if next, ok := q.Next(now, none); ok {
			q.Sent(now, next)
		}
	}
	if at, ok := q.Wakeup(now); !ok || at.Sub(now) < 10*time.Millisecond {
		t.Errorf("wakeup after %v, requests wait: %v", at.Sub(now), ok)
	}
}

// Guards against a request that loses its place to one that is refused itself.
func TestRefusedRequestTakesNoPlace(t *testing.T) {
	t.Parallel()
	q := saturated(start, 200, 50, 10)
	exhaust(t, q, start)
	for id := range uint64(queue.MaxWaiting) {
		r := request(id, 0, start)
		r.Deadline, r.Objective = start.Add(time.Hour), time.Hour
		q.Arrive(start, r)
	}
	if q.Len() != queue.MaxWaiting {
		t.Fatalf("%d requests wait", q.Len())
	}
	for id := range uint64(5) {
		r := request(5000+id, 0, start)
		r.StartTime = r.Objective - time.Millisecond
		if q.Arrive(start, r) == nil {
			t.Fatal("a request with a millisecond left was accepted")
		}
	}
	if x := q.Expired(start); len(x) > 0 {
		t.Errorf("%d waiting requests were refused for others that were refused as well", len(x))
	}
}

// Guards against the only node acting on its own requests as of some time ago, and so sending more than the slots.
func TestOnlyNodeKnowsItsRequests(t *testing.T) {
	t.Parallel()
	q := queue.New(start, rand.New(rand.NewPCG(1, 2)))
	q.SetCapacity(queue.Capacity{Slots: 8, Nodes: 1})
	q.SetFleet(start, q.Totals(start))
	now := start.Add(400 * time.Millisecond)
	for range 8 {
		q.RequestSent()
	}
	if s := q.Status(now); s.Occupancy != 1 {
		t.Errorf("occupancy %v with all slots taken", s.Occupancy)
	}
}

// Guards against messages that circulate without pause while three nodes follow each other in a circle.
func TestTotalsDoNotCirculateWithoutPause(t *testing.T) {
	t.Parallel()
	list := []queue.ModelTotals{{Model: "m", Totals: queue.Totals{Nodes: 1, InFlight: 2}}}
	tree := queue.NewTree()
	tree.Below(start, "below", list)
	passed := 0
	for i := range 1000 {
		passed += len(tree.Upstream(start.Add(time.Duration(i)*100*time.Microsecond), "above", "above", list))
	}
	if passed == 0 || passed > 4 {
		t.Errorf("passed on %d times within 100 ms", passed)
	}
}

// Guards against refusals while slots are free, where one node of several has all requests and the totals of the others are not there.
func TestNodeWithAllRequests(t *testing.T) {
	t.Parallel()
	q := queue.New(start, rand.New(rand.NewPCG(1, 2)))
	q.SetCapacity(queue.Capacity{Slots: 100, Nodes: 10})
	id := uint64(0)
	for i := range 200 {
		now := start.Add(time.Duration(i) * 50 * time.Millisecond)
		q.SetCapacity(queue.Capacity{Slots: 100, Nodes: 10})
		id++
		if x := q.Arrive(now, request(id, int(id%3), now)); x != nil {
			t.Fatalf("request %d refused (%v) while %d of 100 slots are taken", i, x.Reason, min(i, 20))
		}
		next, ok := q.Next(now, none)
		if !ok {
			t.Fatalf("request %d held back while %d of 100 slots are taken", i, min(i, 20))
		}
		q.Sent(now, next)
		q.RequestSent()
		if i >= 20 {
			q.RequestEnded(now, true)
		}
		q.ObserveLoad(now, min(i, 20)/5, 20)
	}
}

// Guards against refusals while slots are free, where nodes without requests are missing in the totals.
func TestTotalsWithoutIdleNodes(t *testing.T) {
	t.Parallel()
	q := queue.New(start, rand.New(rand.NewPCG(1, 2)))
	q.SetCapacity(queue.Capacity{Slots: 100, Nodes: 10})
	for range 10 {
		q.RequestSent()
	}
	for range 5 {
		q.ObserveLoad(start, 12, 20)
	}
	totals := queue.Totals{Nodes: 6, InFlight: 60, Ended: 20, Demand: [queue.Levels]float64{10, 10}}
	q.SetFleet(start, totals)
	if s := q.Status(start); s.Occupancy > 0.85 {
		t.Errorf("occupancy %v with 60 of 100 slots taken", s.Occupancy)
	}
	// Nodes of an earlier build send no totals, but their requests show in the loads of servers.
	for range 50 {
		q.ObserveLoad(start, 20, 20)
	}
	if s := q.Status(start); s.Occupancy < 0.95 {
		t.Errorf("occupancy %v while servers report to be full", s.Occupancy)
	}
}

// Guards against refusing some of several requests that arrive together at the only node, although slots are free for all.
func TestOnlyNodeFillsItsSlots(t *testing.T) {
	t.Parallel()
	q := queue.New(start, rand.New(rand.NewPCG(1, 2)))
	q.SetCapacity(queue.Capacity{Slots: 8, Nodes: 1})
	for id := range uint64(8) {
		if x := q.Arrive(start, request(id, int(id%3), start)); x != nil {
			t.Fatalf("request %d was refused (%v)", id, x.Reason)
		}
		next, ok := q.Next(start, none)
		if !ok {
			t.Fatalf("request %d was held back with %d of 8 slots taken", id, id)
		}
		q.Sent(start, next)
		q.RequestSent()
	}
	sent := 0
	for id := uint64(8); id < 16; id++ {
		q.Arrive(start, request(id, 0, start))
		if next, ok := q.Next(start, none); ok {
			q.Sent(start, next)
			q.RequestSent()
			sent++
		}
	}
	if sent > 2 {
		t.Errorf("%d more requests were sent than there are slots", sent)
	}
}

// Guards against refusing late requests while most slots are free, where one node of several has all requests.
func TestLateRequestsOfNodeWithAll(t *testing.T) {
	t.Parallel()
	q := queue.New(start, rand.New(rand.NewPCG(1, 2)))
	q.SetCapacity(queue.Capacity{Slots: 100, Nodes: 10})
	for range 30 {
		q.RequestSent()
	}
	for range 100 {
		q.ObserveLoad(start, 6, 20)
	}
	sent := 0
	for id := range uint64(100) {
		now := start.Add(time.Duration(id) * 20 * time.Millisecond)
		r := request(id, 0, now.Add(-2*time.Second))
		q.Expired(now)
		q.Arrive(now, r)
		if next, ok := q.Next(now, none); ok {
			q.Sent(now, next)
			sent++
		}
	}
	if sent < 90 {
		t.Errorf("%d of 100 late requests in 2 s were sent though 70 of 100 slots are free", sent)
	}
}

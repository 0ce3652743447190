package duty_test

import (
	"fmt"
	"testing"
	"time"

	"geraniumhollow/internal/fleet/duty"
	"geraniumhollow/internal/plat/table"
	"pgregory.net/rapid"
)

const key = "duty/groups"

// row is the stored row of the duty.
type row struct {
	value    []byte
	revision uint64
}

// node is one candidate with its clock.
type node struct {
	d      *duty.Decider
	paused time.Duration
}

// run has a node make its calls against the row; lost says that answers of commits are lost.
func (r *row) run(n *node, now time.Duration, lost bool) {
	op, ok := n.d.Next(now)
	if !ok {
		return
	}
	if op.Read {
		if r.revision == 0 {
			n.d.ReadDone(now, table.Row{}, table.ErrNotFound)
			return
		}
		n.d.ReadDone(now, table.Row{Key: key, Value: r.value, Revision: r.revision}, nil)
		return
	}
	if op.Txn.Conditions[0].Revision != r.revision {
		n.d.CommitDone(now, op, 0, table.ErrConflict)
		return
	}
	r.revision++
	r.value = op.Txn.Puts[0].Value
	if lost {
		n.d.CommitDone(now, op, 0, table.ErrUnknown)
		return
	}
	n.d.CommitDone(now, op, r.revision, nil)
}

const step = 50 * time.Millisecond

// Guards against a duty that nobody takes, and one that moves while its holder lives.
func TestOneHolder(t *testing.T) {
	t.Parallel()
	var r row
	nodes := []*node{{d: duty.New("a", key)}, {d: duty.New("b", key)}}
	first := ""
	for now := time.Second; now < 20*time.Second; now += step {
		for _, n := range nodes {
			r.run(n, now, false)
		}
		if first == "" && now > 2*time.Second {
			first = nodes[0].d.Holder()
		}
	}
	if first == "" || nodes[1].d.Holder() != first {
		t.Errorf("holder was %q and is %q", first, nodes[1].d.Holder())
	}
}

// Guards against a lost holder that is replaced late: after its lifetime where it was not heard, at once where
// another process has its place, and soon where it was heard and fell silent.
func TestTakeover(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		loss   func(b *duty.Decider, now time.Duration)
		within time.Duration
	}{
		"not heard":            {func(*duty.Decider, time.Duration) {}, duty.Lifetime + duty.Look + 2*step},
		"replaced":             {func(b *duty.Decider, now time.Duration) { b.Replaced(now, "a") }, 3 * step},
		"refused by the store": {func(b *duty.Decider, now time.Duration) { b.Offered(now, 1) }, 3 * step},
		"silent": {func(b *duty.Decider, now time.Duration) {
			b.Linked(true)
			b.Heard(now, 1)
		}, duty.Silence + 3*step},
		"silent over another node": {func(b *duty.Decider, now time.Duration) {
			b.Linked(true)
			b.Relayed(now, 1)
		}, duty.Silence + duty.Lifetime + duty.Look + 3*step},
	}
	for name, tt := range tests {
		var r row
		a, b := &node{d: duty.New("a", key)}, &node{d: duty.New("b", key)}
		now := time.Second
		for ; now < 4*time.Second; now += step {
			r.run(a, now, false)
			if _, held := a.d.Holds(now); held {
				r.run(b, now, false)
			}
		}
		lost := now
		tt.loss(b.d, now)
		for ; now < lost+10*time.Second; now += step {
			r.run(b, now, false)
			if fence, held := b.d.Holds(now); held {
				if fence != 2 {
					t.Errorf("%s: fence %d, want 2", name, fence)
				}
				break
			}
		}
		if now-lost > tt.within {
			t.Errorf("%s: taken over after %v, want within %v", name, now-lost, tt.within)
		}
		// The first holder may not know yet; its last renewal was sent before it was lost.
		if _, held := a.d.Holds(lost + duty.Tenure); held {
			t.Errorf("%s: the first holder believes that it holds the duty after its tenure", name)
		}
	}
}

// Guards against reads of the row by each of many nodes that hear the holder through others, and against one that takes
// the duty because the node that passed the word on has ended.
func TestRelayed(t *testing.T) {
	t.Parallel()
	var r row
	a, b := &node{d: duty.New("a", key)}, &node{d: duty.New("b", key)}
	reads := 0
	const heard, all = 20 * time.Second, 25 * time.Second
	for now := time.Second; now < all; now += step {
		r.run(a, now, false)
		if _, held := a.d.Holds(now); !held {
			continue
		}
		b.d.Linked(true)
		if now < heard && now%duty.Beat == 0 {
			b.d.Relayed(now, 1)
		}
		if op, ok := b.d.Next(now); ok {
			if !op.Read {
				t.Fatalf("at %v: the duty is taken from a holder that renews it", now)
			}
			if now < heard {
				reads++
			}
			b.d.ReadDone(now, table.Row{Key: key, Value: r.value, Revision: r.revision}, nil)
		}
	}
	if reads > 3 {
		t.Errorf("%d reads in 20 s of a node that hears the holder, want 3 or fewer", reads)
	}
}

// Guards against a holder that the store refuses and that tells nobody.
func TestFailing(t *testing.T) {
	t.Parallel()
	var r row
	a := &node{d: duty.New("a", key)}
	now := time.Second
	for ; now < 3*time.Second; now += step {
		r.run(a, now, false)
	}
	if a.d.Failing() {
		t.Error("renewals fail while the store takes them")
	}
	refused := now
	for ; now < refused+duty.Renew+step && !a.d.Failing(); now += step {
		if op, ok := a.d.Next(now); ok {
			a.d.CommitDone(now, op, 0, table.ErrUnavailable)
		}
	}
	if !a.d.Failing() {
		t.Error("a refused renewal is not told")
	}
	for ; now < refused+2*time.Second; now += step {
		r.run(a, now, false)
	}
	if a.d.Failing() {
		t.Error("renewals fail after the store took one")
	}
}

// Guards against a store that is called by each of many nodes, twice a second, while it is away (grown strygekurv
// trouble-3: 115 of these calls a second), and a duty that is taken late when it is back.
func TestStoreAway(t *testing.T) {
	t.Parallel()
	const outage = 12 * time.Second
	var r row
	a := &node{d: duty.New("a", key)}
	now, calls := time.Second, 0
	r.run(a, now, false) // It reads the row.
	back := now + outage
	for ; now < back; now += step {
		if op, ok := a.d.Next(now); ok {
			calls++
			a.d.CommitDone(now, op, 0, table.ErrUnavailable)
		}
	}
	if most := 2 + int(outage/(4*duty.Look)); calls > most {
		t.Errorf("%d calls in %v, want at most %d", calls, outage, most)
	}
	for ; now < back+4*duty.Look+step; now += step {
		r.run(a, now, false)
	}
	if _, held := a.d.Holds(now); !held {
		t.Errorf("the duty is not taken %v after the store's return", now-back)
	}
}

// Guards against a planned stop after which nobody keeps the duty.
func TestYield(t *testing.T) {
	t.Parallel()
	var r row
	a, b := &node{d: duty.New("a", key)}, &node{d: duty.New("b", key)}
	now := time.Second
	for ; now < 3*time.Second; now += step {
		r.run(a, now, false)
	}
	a.d.Yield()
	yielded := now
	for ; now < yielded+time.Second; now += step {
		r.run(a, now, false)
		r.run(b, now, false)
	}
	if _, held := b.d.Holds(now); !held {
		t.Error("nobody took the duty after it was yielded")
	}
	if _, held := a.d.Holds(now); held {
		t.Error("the node that yielded holds it still")
	}
}

// Guards against two tenures with one fencing number, whatever is lost or stands still.
func TestInterleavedFences(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(rt *rapid.T) {
		var r row
		nodes := []*node{{d: duty.New("a", key)}, {d: duty.New("b", key)}, {d: duty.New("c", key)}}
		holders := make(map[uint64]string)
		for now := time.Second; now < 30*time.Second; now += step {
			for i, n := range nodes {
				if now < n.paused {
					continue
				}
				if rapid.IntRange(0, 60).Draw(rt, "pause") == 0 {
					n.paused = now + time.Duration(rapid.IntRange(1, 4000).Draw(rt, "ms"))*time.Millisecond
				}
				r.run(n, now, rapid.IntRange(0, 9).Draw(rt, "lost") == 0)
				fence, held := n.d.Holds(now)
				if !held {
					continue
				}
				name := fmt.Sprint(i)
				if h, ok := holders[fence]; ok && h != name {
					rt.Fatalf("nodes %s and %s both held fence %d", h, name, fence)
				}
				holders[fence] = name
			}
		}
	})
}

// Guards against a duty that every node of a large fleet reads and tries to take, one that a node without the right to
// stand by never takes, and a holder whose name only those know that read the row.
func TestReserve(t *testing.T) {
	t.Parallel()
	var r row
	a, b := &node{d: duty.New("a", key)}, &node{d: duty.New("b", key)}
	now := time.Second
	b.d.StandBy(now, false)
	const lost = 20 * time.Second
	for ; now < lost; now += step {
		r.run(a, now, false)
		if fence, held := a.d.Holds(now); held && now%duty.Beat == 0 {
			b.d.Relayed(now, fence)
			b.d.Told(fence, "a")
		}
		if op, ok := b.d.Next(now); ok {
			t.Fatalf("at %v: a node that does not stand by calls the store (read %v)", now, op.Read)
		}
	}
	if got := b.d.Holder(); got != "a" {
		t.Errorf("the holder is %q, want the one that was told", got)
	}
	for ; now < lost+3*duty.Reserve; now += step {
		r.run(b, now, false)
		if _, held := b.d.Holds(now); held {
			break
		}
	}
	if _, held := b.d.Holds(now); !held {
		t.Errorf("nobody has taken the duty %v after its holder was lost", now-lost)
	}
	if now < lost+duty.Reserve {
		t.Errorf("taken %v after the last word, want the nodes that stand by to have %v", now-lost, duty.Reserve)
	}
}

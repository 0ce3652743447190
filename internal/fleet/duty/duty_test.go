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

// storedRow is the duty's row in the store.
type storedRow struct {
	value    []byte
	revision table.Revision
}

// candidate is a node, which can be paused.
type candidate struct {
	decider     *duty.Decider
	pausedUntil time.Duration
}

// run makes the call of a node that is due, if any. With loseResult the result of a commit is unknown to the
// node.
func (r *storedRow) run(n *candidate, now time.Duration, loseResult bool) {
	op, ok := n.decider.Next(now)
	if !ok {
		return
	}
	if op.Read {
		if r.revision == table.Absent {
			n.decider.ReadDone(now, table.Row{}, table.ErrNotFound)
			return
		}
		n.decider.ReadDone(now, table.Row{Key: key, Value: r.value, Revision: r.revision}, nil)
		return
	}
	if op.Txn.Conditions[0].Revision != r.revision {
		n.decider.CommitDone(now, op, table.Absent, table.ErrConflict)
		return
	}
	r.revision.Number++
	r.value = op.Txn.Puts[0].Value
	if loseResult {
		n.decider.CommitDone(now, op, table.Absent, table.ErrUnknown)
		return
	}
	n.decider.CommitDone(now, op, r.revision, nil)
}

const step = 50 * time.Millisecond

// Guards against a duty without a holder, and one that moves while its holder renews it.
func TestOneHolder(t *testing.T) {
	t.Parallel()
	var r storedRow
	nodes := []*candidate{{decider: duty.New("a", key)}, {decider: duty.New("b", key)}}
	first := ""
	for now := time.Second; now < 20*time.Second; now += step {
		for _, n := range nodes {
			r.run(n, now, false)
		}
		if first == "" && now > 2*time.Second {
			first = nodes[0].decider.Holder()
		}
	}
	if first == "" || nodes[1].decider.Holder() != first {
		t.Errorf("holder was %q and is %q", first, nodes[1].decider.Holder())
	}
}

// Guards against a duty that stays with a node whose orders do not arrive, although only nodes that are no standbys reach
// servers, and against one that such a node claims back.
func TestIsolatedHolder(t *testing.T) {
	t.Parallel()
	var r storedRow
	a, b := &candidate{decider: duty.New("a", key)}, &candidate{decider: duty.New("b", key)}
	b.decider.SetStandby(0, false)
	const lost, restored, end = 4 * time.Second, 10 * time.Second, 20 * time.Second
	moved := time.Duration(0)
	for now := time.Second; now < end; now += step {
		a.decider.SetSuspended(now, now >= lost && now < restored)
		fence, _ := a.decider.Holds(now)
		if a.decider.Holder() == "a" && moved == 0 {
			b.decider.HeartbeatReceived(now, fence)
			if b.decider.HolderIsolated(now, fence, now >= lost) {
				b.decider.HolderFailing(now, fence)
			}
		}
		r.run(a, now, false)
		r.run(b, now, false)
		if _, holds := b.decider.Holds(now); holds && moved == 0 {
			moved = now
		} else if !holds && moved > 0 {
			t.Fatalf("the duty has left the node that reaches servers at %v", now)
		}
	}
	if moved == 0 || moved > lost+3*time.Second {
		t.Errorf("the duty has moved at %v, the holder was isolated at %v", moved, lost)
	}
}

// Guards against a slow failover. The time allowed depends on how the failure shows: Lifetime if the holder
// was not heard directly, HeartbeatTimeout if it was, and the next call if another process replaced it or it
// reported failing renewals.
func TestTakeover(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		failure func(b *duty.Decider, now time.Duration)
		within  time.Duration
	}{
		"no heartbeats":    {func(*duty.Decider, time.Duration) {}, duty.Lifetime + duty.ReadInterval + 2*step},
		"replaced":         {func(b *duty.Decider, now time.Duration) { b.HolderReplaced(now, "a") }, 3 * step},
		"renewals failing": {func(b *duty.Decider, now time.Duration) { b.HolderFailing(now, 1) }, 3 * step},
		"direct heartbeats stop": {func(b *duty.Decider, now time.Duration) {
			b.SetHasOtherPeers(true)
			b.HeartbeatReceived(now, 1)
		}, duty.HeartbeatTimeout + 3*step},
		"relayed heartbeats stop": {func(b *duty.Decider, now time.Duration) {
			b.SetHasOtherPeers(true)
			b.RelayedHeartbeatReceived(now, 1)
		}, duty.HeartbeatTimeout + duty.Lifetime + duty.ReadInterval + 3*step},
	}
	for name, tt := range tests {
		var r storedRow
		a, b := &candidate{decider: duty.New("a", key)}, &candidate{decider: duty.New("b", key)}
		now := time.Second
		for ; now < 4*time.Second; now += step {
			r.run(a, now, false)
			if _, held := a.decider.Holds(now); held {
				r.run(b, now, false)
			}
		}
		lostAt := now
		tt.failure(b.decider, now)
		for ; now < lostAt+10*time.Second; now += step {
			r.run(b, now, false)
			if fence, held := b.decider.Holds(now); held {
				if fence != 2 {
					t.Errorf("%s: fence %d, want 2", name, fence)
				}
				break
			}
		}
		if now-lostAt > tt.within {
			t.Errorf("%s: claimed after %v, want within %v", name, now-lostAt, tt.within)
		}
		// The first holder may not have noticed; its last renewal was sent before the failure.
		if _, held := a.decider.Holds(lostAt + duty.HoldTime); held {
			t.Errorf("%s: the first holder holds the duty past the end of its tenure", name)
		}
	}
}

// Guards against frequent reads by nodes that hear the holder only through relays, of which a large fleet has
// many, and against a claim from a live holder because the relaying node failed.
func TestRelayedHeartbeats(t *testing.T) {
	t.Parallel()
	var r storedRow
	a, b := &candidate{decider: duty.New("a", key)}, &candidate{decider: duty.New("b", key)}
	reads := 0
	const heardUntil, end = 20 * time.Second, 25 * time.Second
	for now := time.Second; now < end; now += step {
		r.run(a, now, false)
		if _, held := a.decider.Holds(now); !held {
			continue
		}
		b.decider.SetHasOtherPeers(true)
		if now < heardUntil && now%duty.HeartbeatInterval == 0 {
			b.decider.RelayedHeartbeatReceived(now, 1)
		}
		if op, ok := b.decider.Next(now); ok {
			if !op.Read {
				t.Fatalf("at %v: the duty is claimed from a holder that renews it", now)
			}
			if now < heardUntil {
				reads++
			}
			b.decider.ReadDone(now, table.Row{Key: key, Value: r.value, Revision: r.revision}, nil)
		}
	}
	if reads > 3 {
		t.Errorf("%d reads in 20 s by a node that hears the holder, want at most 3", reads)
	}
}

// Guards against a holder that does not report that the store rejects its renewals.
func TestRenewalFailure(t *testing.T) {
	t.Parallel()
	var r storedRow
	a := &candidate{decider: duty.New("a", key)}
	now := time.Second
	for ; now < 3*time.Second; now += step {
		r.run(a, now, false)
	}
	if a.decider.RenewalFailing() {
		t.Error("Failing() is true while the store accepts renewals")
	}
	refusedAt := now
	for ; now < refusedAt+duty.RenewInterval+step && !a.decider.RenewalFailing(); now += step {
		if op, ok := a.decider.Next(now); ok {
			a.decider.CommitDone(now, op, table.Absent, table.ErrUnavailable)
		}
	}
	if !a.decider.RenewalFailing() {
		t.Error("Failing() is false after a failed renewal")
	}
	for ; now < refusedAt+2*time.Second; now += step {
		r.run(a, now, false)
	}
	if a.decider.RenewalFailing() {
		t.Error("Failing() is true after the store accepted a renewal")
	}
}

// Guards against excess load in a store outage, when every node called the store twice a second (115 calls a
// second in an enlarged run of strygekurv trouble-3), and against a duty that is claimed late after the outage.
func TestStoreOutage(t *testing.T) {
	t.Parallel()
	const outage = 12 * time.Second
	var r storedRow
	a := &candidate{decider: duty.New("a", key)}
	now, calls := time.Second, 0
	r.run(a, now, false) // The first call reads the row.
	restoredAt := now + outage
	for ; now < restoredAt; now += step {
		if op, ok := a.decider.Next(now); ok {
			calls++
			a.decider.CommitDone(now, op, table.Absent, table.ErrUnavailable)
		}
	}
	if maxCalls := 2 + int(outage/(4*duty.ReadInterval)); calls > maxCalls {
		t.Errorf("%d calls in %v, want at most %d", calls, outage, maxCalls)
	}
	for ; now < restoredAt+4*duty.ReadInterval+step; now += step {
		r.run(a, now, false)
	}
	if _, held := a.decider.Holds(now); !held {
		t.Errorf("the duty is not held %v after the end of the outage", now-restoredAt)
	}
}

// Guards against a planned stop that leaves the duty without a holder.
func TestYieldHandover(t *testing.T) {
	t.Parallel()
	var r storedRow
	a, b := &candidate{decider: duty.New("a", key)}, &candidate{decider: duty.New("b", key)}
	now := time.Second
	for ; now < 3*time.Second; now += step {
		r.run(a, now, false)
	}
	a.decider.ReleaseDuty()
	yieldedAt := now
	for ; now < yieldedAt+time.Second; now += step {
		r.run(a, now, false)
		r.run(b, now, false)
	}
	if _, held := b.decider.Holds(now); !held {
		t.Error("no node holds the duty after it was yielded")
	}
	if _, held := a.decider.Holds(now); held {
		t.Error("the node that yielded the duty still holds it")
	}
}

// Guards against two holders with the same fencing number, whatever results are lost or nodes paused.
func TestFenceHasOneHolder(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(rt *rapid.T) {
		var r storedRow
		nodes := []*candidate{{decider: duty.New("a", key)}, {decider: duty.New("b", key)}, {decider: duty.New("c", key)}}
		holders := make(map[uint64]string)
		for now := time.Second; now < 30*time.Second; now += step {
			for i, n := range nodes {
				if now < n.pausedUntil {
					continue
				}
				if rapid.IntRange(0, 60).Draw(rt, "pause") == 0 {
					n.pausedUntil = now + time.Duration(rapid.IntRange(1, 4000).Draw(rt, "ms"))*time.Millisecond
				}
				r.run(n, now, rapid.IntRange(0, 9).Draw(rt, "lost") == 0)
				fence, held := n.decider.Holds(now)
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

// Guards against a holder that counts the tenures before its own as ended while one of them lasts, so that two nodes give orders:
// with lost results, paused nodes, heartbeats that do not arrive, and holders that offer the duty.
func TestEarlierTenuresHaveEnded(t *testing.T) {
	t.Parallel()
	early := 0
	rapid.Check(t, func(rt *rapid.T) {
		var r storedRow
		nodes := []*candidate{{decider: duty.New("a", key)}, {decider: duty.New("b", key)}, {decider: duty.New("c", key)}}
		for now := time.Second; now < 30*time.Second; now += step {
			for i, n := range nodes {
				if now < n.pausedUntil {
					continue
				}
				if rapid.IntRange(0, 60).Draw(rt, "pause") == 0 {
					n.pausedUntil = now + time.Duration(rapid.IntRange(1, 4000).Draw(rt, "ms"))*time.Millisecond
				}
				n.decider.SetHasOtherPeers(true)
				r.run(n, now, rapid.IntRange(0, 9).Draw(rt, "lost") == 0)
				fence, held := n.decider.Holds(now)
				if !held {
					continue
				}
				for j, o := range nodes {
					if i == j {
						continue
					}
					switch rapid.IntRange(0, 9).Draw(rt, "heartbeat") {
					case 0:
					case 1:
						o.decider.HolderFailing(now, fence)
					default:
						o.decider.HeartbeatReceived(now, fence)
					}
					lower, holds := o.decider.Holds(now)
					if !holds || lower >= fence {
						continue
					}
					early++
					if n.decider.PredecessorEnd() <= now {
						rt.Fatalf("at %v: node %d holds fence %d and counts earlier tenures as ended, node %d holds fence %d", now, i, fence, j, lower)
					}
				}
			}
		}
	})
	if early == 0 {
		t.Error("no tenures overlapped, so nothing was shown")
	}
}

// Guards against reads and claims by every node of a large fleet, a duty that nodes other than standbys never
// claim, and a holder known only to the nodes that read the row.
func TestNonStandbyNode(t *testing.T) {
	t.Parallel()
	var r storedRow
	a, b := &candidate{decider: duty.New("a", key)}, &candidate{decider: duty.New("b", key)}
	now := time.Second
	b.decider.SetStandby(now, false)
	const lostAt = 20 * time.Second
	for ; now < lostAt; now += step {
		r.run(a, now, false)
		if fence, held := a.decider.Holds(now); held && now%duty.HeartbeatInterval == 0 {
			b.decider.RelayedHeartbeatReceived(now, fence)
			b.decider.HolderReported(fence, "a")
		}
		if op, ok := b.decider.Next(now); ok {
			t.Fatalf("at %v: a node that is not a standby calls the store (read %v)", now, op.Read)
		}
	}
	if got := b.decider.Holder(); got != "a" {
		t.Errorf("the holder is %q, want the reported one", got)
	}
	for ; now < lostAt+3*duty.NonStandbyDelay; now += step {
		r.run(b, now, false)
		if _, held := b.decider.Holds(now); held {
			break
		}
	}
	if _, held := b.decider.Holds(now); !held {
		t.Errorf("no node holds the duty %v after its holder failed", now-lostAt)
	}
	if now < lostAt+duty.NonStandbyDelay {
		t.Errorf("claimed %v after the last heartbeat, want at least %v for the standby nodes", now-lostAt, duty.NonStandbyDelay)
	}
}

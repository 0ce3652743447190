package duty_test

import (
	"fmt"
	"testing"
	"time"

	"geraniumhollow/internal/fleet/duty"
	"geraniumhollow/internal/plat/table"
	"pgregory.net/rapid"
)

// runRestored is run for a store that was restored: a node that has the row of an earlier era does not know that its
// number was given out again.
func (r *storedRow) runRestored(n *candidate, now time.Duration, loseResult bool) {
	op, ok := n.decider.Next(now)
	if !ok {
		return
	}
	switch {
	case op.Read && r.revision.Number == 0:
		n.decider.ReadDone(now, table.Row{}, table.ErrNotFound)
	case op.Read:
		n.decider.ReadDone(now, table.Row{Key: key, Value: r.value, Revision: r.revision}, nil)
	case op.Txn.Conditions[0].Revision.Number != r.revision.Number:
		n.decider.CommitDone(now, op, table.Absent, table.ErrConflict)
	default:
		basis := op.Txn.Conditions[0].Revision
		r.revision.Number++
		r.value = op.Txn.Puts[0].Value
		if loseResult || basis != table.Absent && basis.Era != r.revision.Era {
			n.decider.CommitDone(now, op, table.Absent, table.ErrUnknown)
			return
		}
		n.decider.CommitDone(now, op, r.revision, nil)
	}
}

// Guards against a fencing number that a restored store gives out again, to another node or for another tenure.
func TestFenceHasOneHolderAfterRestoration(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(rt *rapid.T) {
		r := storedRow{revision: table.Revision{Era: 1}}
		copies := []storedRow{r}
		nodes := []*candidate{{decider: duty.New("a", key)}, {decider: duty.New("b", key)}, {decider: duty.New("c", key)}}
		holders, eras := make(map[uint64]string), make(map[uint64]uint64)
		for now := time.Second; now < 30*time.Second; now += step {
			if rapid.IntRange(0, 100).Draw(rt, "restore") == 0 {
				era := r.revision.Era
				r = copies[rapid.IntRange(0, len(copies)-1).Draw(rt, "copy")]
				r.revision.Era = era + uint64(rapid.IntRange(1, 2).Draw(rt, "eras"))
			}
			copies = append(copies, r)
			for i, n := range nodes {
				if now < n.pausedUntil {
					continue
				}
				if rapid.IntRange(0, 60).Draw(rt, "pause") == 0 {
					n.pausedUntil = now + time.Duration(rapid.IntRange(1, 4000).Draw(rt, "ms"))*time.Millisecond
				}
				before, had := n.decider.Holds(now)
				r.runRestored(n, now, rapid.IntRange(0, 9).Draw(rt, "lost") == 0)
				fence, held := n.decider.Holds(now)
				if !held || had && before == fence {
					continue
				}
				name := fmt.Sprint(i)
				if h, ok := holders[fence]; ok && (h != name || eras[fence] != r.revision.Era) {
					rt.Fatalf("at %v fence %d is given out to node %s, and was to %s", now, fence, name, h)
				}
				for f, era := range eras {
					if era < r.revision.Era && f >= fence {
						rt.Fatalf("at %v fence %d of era %d follows %d of era %d", now, fence, r.revision.Era, f, era)
					}
				}
				holders[fence], eras[fence] = name, r.revision.Era
			}
		}
	})
}

// Guards against a duty that nobody takes, or that moves from a live holder without need, when the store comes back from a
// copy from before its tenure.
func TestHolderReclaimsAfterRestoration(t *testing.T) {
	t.Parallel()
	r := storedRow{revision: table.Revision{Era: 1}}
	a, b := &candidate{decider: duty.New("a", key)}, &candidate{decider: duty.New("b", key)}
	b.decider.SetHasOtherPeers(true)
	now := time.Second
	earlier, changed := r, time.Duration(0)
	for ; now < 30*time.Second; now += step {
		if now == 4*time.Second {
			earlier = r
			a.pausedUntil = 8 * time.Second // The duty moves to b, and back.
		}
		if now == 10*time.Second {
			b.pausedUntil = 14 * time.Second
		}
		if now == 20*time.Second {
			r.value, r.revision = earlier.value, table.Revision{Era: 2, Number: earlier.revision.Number}
			changed = now
		}
		for _, n := range []*candidate{a, b} {
			if now >= n.pausedUntil {
				r.runRestored(n, now, false)
			}
		}
		if fence, held := a.decider.Holds(now); held && now >= b.pausedUntil && now%duty.HeartbeatInterval == 0 {
			b.decider.HeartbeatReceived(now, fence)
			b.decider.HolderReported(fence, "a")
		}
		if _, held := b.decider.Holds(now); held && changed > 0 {
			t.Fatalf("at %v the duty has moved from its live holder", now)
		}
	}
	if fence, held := a.decider.Holds(now); !held || fence <= duty.FirstOfEra(2) {
		t.Errorf("the holder has fence %d, held %v, want one of era 2", fence, held)
	}
}

// Guards against a keeper that cannot take over a plan because its own row of the duty was replaced by an older one.
func TestNewerPlan(t *testing.T) {
	t.Parallel()
	var r storedRow
	a := &candidate{decider: duty.New("a", key)}
	now := time.Second
	for ; now < 3*time.Second; now += step {
		r.run(a, now, false)
	}
	a.decider.NewerPlan(7)
	if _, held := a.decider.Holds(now); held {
		t.Error("a tenure that is older than that of the plan goes on")
	}
	for end := now + duty.RenewInterval; now < end; now += step {
		r.run(a, now, false)
	}
	if fence, held := a.decider.Holds(now); !held || fence <= 7 {
		t.Errorf("fence %d, held %v, want one above that of the plan", fence, held)
	}
}

// Guards against a duty that goes to a node without the lost state although the last holder is there.
func TestLastHolderClaimsFirstAfterOutage(t *testing.T) {
	t.Parallel()
	r := storedRow{revision: table.Revision{Era: 1}}
	a, b := &candidate{decider: duty.New("a", key)}, &candidate{decider: duty.New("b", key)}
	b.decider.SetHasOtherPeers(true)
	now := time.Second
	for ; now < 3*time.Second; now += step {
		r.runRestored(a, now, false)
		if fence, held := a.decider.Holds(now); held {
			b.decider.HeartbeatReceived(now, fence)
		}
	}
	for ; now < 10*time.Second; now += step {
		for n, err := range map[*candidate]error{a: table.ErrUnavailable, b: table.ErrUnknown} {
			if op, ok := n.decider.Next(now); ok && op.Read {
				n.decider.ReadDone(now, table.Row{}, table.ErrUnavailable)
			} else if ok {
				n.decider.CommitDone(now, op, table.Absent, err)
			}
		}
	}
	r.revision = table.Revision{Era: 2, Number: 1}
	back := now
	for ; now < back+2*duty.ReadInterval; now += step {
		r.runRestored(b, now, false)
		r.runRestored(b, now, false)
		if now-back > duty.ReadInterval { // The last holder waits for an earlier call.
			r.runRestored(a, now, false)
		}
	}
	if _, held := a.decider.Holds(now); !held {
		t.Errorf("the last holder does not hold the duty %v after the outage", now-back)
	}
}

package keeper

import (
	"context"
	"strings"
	"time"

	"geraniumhollow/internal/core/clock"
	"geraniumhollow/internal/core/tasks"
	"geraniumhollow/internal/fleet/duty"
)

// Holds reports whether this node holds the duty to keep the groups.
func (k *Keeper) Holds() bool {
	_, ok := k.holds()
	return ok
}

// Holder returns the last known holder of the duty.
func (k *Keeper) Holder() string {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.duty.Holder()
}

// ReleaseDuty releases the duty as soon as it may move to another node, because this node is stopping. The node does not acquire
// it again.
func (k *Keeper) ReleaseDuty() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.duty.ReleaseDuty()
}

// HandleHolderReport processes an announcement of the duty holder.
func (k *Keeper) HandleHolderReport(w duty.HolderReport) {
	standby := k.cfg.IsStandby()
	k.mu.Lock()
	defer k.mu.Unlock()
	now := clock.Since()
	k.duty.HolderReported(w.Fence, w.Holder)
	overdue := k.duty.HolderIsolated(now, w.Fence, w.Isolated)
	switch {
	case w.Failing && standby || overdue:
		k.duty.HolderFailing(now, w.Fence)
	case w.Relayed:
		k.duty.RelayedHeartbeatReceived(now, w.Fence)
	default:
		k.duty.HeartbeatReceived(now, w.Fence)
	}
}

// PeerConnected records the incarnation of the process at a node's address. A duty holder that has the same address and another
// incarnation has ended.
func (k *Keeper) PeerConnected(address, incarnation string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	holder := k.duty.Holder()
	if addr, inc, _ := strings.Cut(holder, "/"); addr == address && inc != incarnation {
		k.duty.HolderReplaced(clock.Since(), holder)
	}
}

// runDuty acquires and renews the duty until ctx ends, and announces it while this node holds it.
func (k *Keeper) runDuty(ctx context.Context) error {
	announced, wasIsolated := time.Duration(0), false
	for wait := stepInterval / 2; tasks.Sleep(ctx, wait); {
		now := clock.Since()
		standby := k.cfg.IsStandby()
		fence, holds := k.holds()
		wait = idleInterval
		if standby || holds {
			wait = stepInterval / 2
		}
		isolated := k.cfg.Isolated()
		// An isolated holder goes on to say so when its tenure has ended, until another node has the duty.
		announces := holds || isolated && k.Holder() == k.cfg.Node
		if announces && (now-announced >= duty.HeartbeatInterval || isolated && !wasIsolated) {
			announced = now
			k.cfg.Announce(duty.HolderReport{Fence: fence, Failing: isolated || k.renewalsFail(), Isolated: isolated})
		}
		wasIsolated = isolated
		k.mu.Lock()
		k.duty.SetSuspended(now, isolated)
		addr, _, _ := strings.Cut(k.duty.Holder(), "/")
		k.duty.SetHasOtherPeers(k.cfg.HasPeerExcept(addr))
		k.duty.SetStandby(now, standby)
		op, ok := k.duty.Next(now)
		k.mu.Unlock()
		if !ok {
			continue
		}
		k.callStore(ctx, op)
		k.Wake()
	}
	return nil
}

// callStore makes a store call for the duty decider and passes on the result.
func (k *Keeper) callStore(ctx context.Context, op duty.Op) {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	if op.Read {
		row, err := k.cfg.Table.Get(ctx, dutyKey)
		k.mu.Lock()
		defer k.mu.Unlock()
		k.duty.ReadDone(clock.Since(), row, err)
		return
	}
	rev, err := k.cfg.Table.Commit(ctx, op.Txn)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.duty.CommitDone(clock.Since(), op, rev, err)
}

// renewalsFail reports whether the renewals of the duty by this node fail.
func (k *Keeper) renewalsFail() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.duty.RenewalFailing()
}

// holds returns the fencing number and whether this node holds the duty.
func (k *Keeper) holds() (uint64, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.duty.Holds(clock.Since())
}

// Tenure returns the current tenure of this node, and whether it holds the duty.
func (k *Keeper) Tenure() (duty.Tenure, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.duty.Tenure(clock.Since())
}

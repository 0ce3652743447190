package keeper

import (
	"context"
	"strings"
	"time"

	"geraniumhollow/internal/core/clock"
	"geraniumhollow/internal/core/tasks"
	"geraniumhollow/internal/fleet/duty"
)

// Holds reports whether this node keeps the groups.
func (k *Keeper) Holds() bool {
	_, ok := k.holds()
	return ok
}

// Holder returns the node that keeps the groups, as far as is known.
func (k *Keeper) Holder() string {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.duty.Holder()
}

// Yield gives the duty up, for a node that stops.
func (k *Keeper) Yield() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.duty.Yield()
}

// Heard takes a holder's word.
func (k *Keeper) Heard(w duty.Word) {
	stands := k.cfg.StandsBy()
	k.mu.Lock()
	defer k.mu.Unlock()
	now := clock.Since()
	k.duty.Told(w.Fence, w.Holder)
	switch {
	case w.Failing && stands:
		k.duty.Offered(now, w.Fence)
	case w.Relayed:
		k.duty.Relayed(now, w.Fence)
	default:
		k.duty.Heard(now, w.Fence)
	}
}

// Met notes a process at the address of a node. If the holder of the duty had that address as another
// process, it has ended.
func (k *Keeper) Met(address, incarnation string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	holder := k.duty.Holder()
	if at, inc, _ := strings.Cut(holder, "/"); at == address && inc != incarnation {
		k.duty.Replaced(clock.Since(), holder)
	}
}

// keepDuty renews or takes the duty.
func (k *Keeper) keepDuty(ctx context.Context) error {
	announced := time.Duration(0)
	for pause := tick / 2; tasks.Sleep(ctx, pause); {
		now := clock.Since()
		stands := k.cfg.StandsBy()
		fence, holds := k.holds()
		pause = idleTick
		if stands || holds {
			pause = tick / 2
		}
		if holds && now-announced >= duty.Beat {
			announced = now
			k.cfg.Announce(fence, k.failing())
		}
		k.mu.Lock()
		at, _, _ := strings.Cut(k.duty.Holder(), "/")
		k.duty.Linked(k.cfg.Linked(at))
		k.duty.StandBy(now, stands)
		op, ok := k.duty.Next(now)
		k.mu.Unlock()
		if !ok {
			continue
		}
		k.callDuty(ctx, op)
		k.Wake()
	}
	return nil
}

func (k *Keeper) callDuty(ctx context.Context, op duty.Op) {
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

func (k *Keeper) failing() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.duty.Failing()
}

// holds returns the fencing number while the node has the duty.
func (k *Keeper) holds() (uint64, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.duty.Holds(clock.Since())
}

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

// Heard notes that another node, to which there is a link, says that it holds the duty.
func (k *Keeper) Heard(fence uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.duty.Heard(clock.Since(), fence)
}

// Relayed notes that another node has passed on the holder's word.
func (k *Keeper) Relayed(fence uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.duty.Relayed(clock.Since(), fence)
}

// Offered notes that the store does not take the renewals of a holder, to which there is a link.
func (k *Keeper) Offered(fence uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.duty.Offered(clock.Since(), fence)
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
	for tasks.Sleep(ctx, tick/2) {
		now := clock.Since()
		if fence, ok := k.holds(); ok && now-announced >= duty.Beat {
			announced = now
			k.cfg.Announce(fence, k.failing())
		}
		k.mu.Lock()
		at, _, _ := strings.Cut(k.duty.Holder(), "/")
		k.duty.Linked(k.cfg.Linked(at))
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

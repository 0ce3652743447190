package keeper

import (
	"context"
	"time"

	"geraniumhollow/internal/plan/group"
	"github.com/cockroachdb/errors"
)

// sendOrder sends an order of a decider to a backend server, unless the tenure with the given fencing number has ended or
// another decider has taken its place.
func (k *Keeper) sendOrder(ctx context.Context, fence uint64, from *group.Decider, o group.Order) {
	if now, ok := k.holds(); !ok || now != fence {
		return
	}
	k.mu.Lock()
	replaced := k.decider != from
	k.mu.Unlock()
	if replaced {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	start := time.Now()
	outcome, err := k.cfg.Engines.Order(ctx, o)
	k.cfg.Metrics.Order(string(o.Kind), string(outcome))
	k.cfg.Log.Info("gave an order", "kind", o.Kind, "server", o.Server, "group", o.Group, "epoch", o.Epoch,
		"model", o.Model, "outcome", outcome, "ms", time.Since(start).Milliseconds(), "error", err)
	k.mu.Lock()
	if k.decider != nil {
		k.decider.OrderDone(time.Now(), o, outcome)
	}
	k.mu.Unlock()
	k.Wake()
}

// probe asks a backend server for its state and passes the answer to the decider.
func (k *Keeper) probe(ctx context.Context, p group.Probe) {
	select {
	case k.probes <- struct{}{}:
		defer func() { <-k.probes }()
	case <-ctx.Done():
		return
	}
	probeCtx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	start := time.Now()
	r, err := k.cfg.Engines.Report(probeCtx, p)
	took := time.Since(start)
	// A probe that ends after its timeout shows how late this process was.
	late := max(0, took-probeTimeout)
	switch {
	case err == nil:
		k.cfg.Heard(p.Server)
	case !k.cfg.Confirm(ctx):
		k.cfg.Log.Info("discarded a failed probe, as this node may have lost all servers", "server", p.Server, "error", err)
		k.mu.Lock()
		defer k.mu.Unlock()
		if k.decider != nil {
			k.decider.ProbeDiscarded(p.Server)
		}
		return
	}
	k.cfg.Log.Info("probed a server", "server", p.Server, "state", r.Member.State, "pace", r.Slowdown,
		"ms", took.Milliseconds(), "late_ms", late.Milliseconds(), "error", err)
	k.mu.Lock()
	if k.decider != nil {
		if err == nil {
			k.decider.ProbeAnswered(time.Now(), p.Server, r)
		} else {
			k.decider.ProbeFailed(p.Server, errors.Is(err, ErrProcessEnded))
		}
	}
	k.mu.Unlock()
	k.Wake()
}

// readHeartbeats reads the registrations of all servers while this node holds the duty.
func (k *Keeper) readHeartbeats(ctx context.Context) {
	if _, ok := k.holds(); !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, heartbeatReadInterval)
	defer cancel()
	start := time.Now()
	beats, err := k.cfg.ReadHeartbeats(ctx)
	if err != nil {
		k.cfg.Log.Debug("cannot read the registrations of servers", "error", err)
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.decider != nil {
		k.decider.ApplyHeartbeats(start, beats)
	}
}

// probeFromPeers asks other nodes whether they reach a server and passes the answers to the decider.
func (k *Keeper) probeFromPeers(ctx context.Context, p group.Probe) {
	asked, reached := k.cfg.ProbeFromPeers(ctx, p)
	k.cfg.Log.Info("asked other nodes whether they reach a server", "server", p.Server, "asked", asked, "reached", reached)
	k.mu.Lock()
	if k.decider != nil {
		k.decider.PeerProbesDone(p.Server, asked, reached)
	}
	k.mu.Unlock()
	k.Wake()
}

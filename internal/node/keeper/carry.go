package keeper

import (
	"context"
	"time"

	"geraniumhollow/internal/core/tasks"
	"geraniumhollow/internal/fleet/server"
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

// answer is the result of a probe.
type answer struct {
	report server.Report
	err    error
}

// probe asks a backend server for its state and passes the answer to the decider. After probeTimeout it counts as missed, but an
// answer until maxProbeTime still shows that the server runs.
func (k *Keeper) probe(ctx context.Context, p group.Probe) {
	select {
	case k.probes <- struct{}{}:
	case <-ctx.Done():
		return
	}
	probeCtx, cancel := context.WithTimeout(ctx, maxProbeTime)
	defer cancel()
	start := time.Now()
	answers, timeout := make(chan answer, 1), make(chan time.Duration, 1)
	g := tasks.New(probeCtx)
	g.Go("report", func(ctx context.Context) error {
		r, err := k.cfg.Engines.Report(ctx, p)
		answers <- answer{report: r, err: err}
		return nil
	})
	g.Go("timeout", func(ctx context.Context) error {
		if late, ok := tasks.SleepRunning(ctx, k.cfg.Sleep, probeTimeout, maxProbeTime); ok {
			timeout <- late
		}
		return nil
	})
	select {
	case a := <-answers:
		<-k.probes
		k.probeDone(ctx, p, a, time.Since(start))
		cancel()
	case late := <-timeout:
		<-k.probes
		k.observerLate(late)
		g.Go("connect", func(ctx context.Context) error { k.connect(ctx, p); return nil })
		k.probeDone(ctx, p, answer{err: errProbeTimeout}, time.Since(start))
		if a := <-answers; a.err == nil || errors.Is(a.err, ErrProcessEnded) {
			k.lateAnswer(p, a, time.Since(start))
		}
	}
	if err := g.Wait(); err != nil {
		k.cfg.Log.Warn("probe failed", "server", p.Server, "error", err)
	}
}

// errProbeTimeout is the error of a probe that is not answered in time.
var errProbeTimeout = errors.New("no answer in time")

// observerLate tells the decider that a timer of a probe was late, if it was.
func (k *Keeper) observerLate(late time.Duration) {
	if late < minObserverLag {
		return
	}
	k.cfg.Log.Info("this process was not scheduled during a probe", "late_ms", late.Milliseconds())
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.decider != nil {
		k.decider.ObserverLate(time.Now())
	}
}

// probeDone passes the result of a probe to the decider.
func (k *Keeper) probeDone(ctx context.Context, p group.Probe, a answer, took time.Duration) {
	r, err := a.report, a.err
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
	k.cfg.Log.Info("probed a server", "server", p.Server, "state", r.Member.State, "pace", r.Slowdown, "ms", took.Milliseconds(), "error", err)
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

// connect checks whether the host of a silent server accepts connections.
func (k *Keeper) connect(ctx context.Context, p group.Probe) {
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	err := k.cfg.Engines.Try(ctx, p, func() {
		k.mu.Lock()
		defer k.mu.Unlock()
		if k.decider != nil {
			k.decider.HostConnected(time.Now(), p.Server)
		}
		cancel()
	})
	if err != nil {
		k.cfg.Log.Debug("a silent server did not answer on a new connection either", "server", p.Server, "error", err)
	}
}

// lateAnswer passes the result of a probe that counts as missed to the decider.
func (k *Keeper) lateAnswer(p group.Probe, a answer, took time.Duration) {
	k.cfg.Log.Info("a server answered a probe late", "server", p.Server, "ms", took.Milliseconds(), "error", a.err)
	if a.err == nil {
		k.cfg.Heard(p.Server)
	}
	k.mu.Lock()
	if k.decider != nil {
		if a.err == nil {
			k.decider.AnsweredLate(time.Now(), p.Server, a.report.StartedAt)
		} else {
			k.decider.ProbeFailed(p.Server, true)
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

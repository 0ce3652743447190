package share

import (
	"context"
	"math/rand/v2"
	"strings"
	"time"

	"geraniumhollow/internal/core/tasks"
	"geraniumhollow/internal/plat/engine"
	"geraniumhollow/internal/route/budget"
	"geraniumhollow/internal/wire/frame"
	"github.com/cockroachdb/errors"
	"golang.org/x/sync/semaphore"
)

// Intervals and limits of the background work.
const (
	// stepInterval is how often duties, routes and expired asks are checked.
	stepInterval = 100 * time.Millisecond
	pollInterval = 500 * time.Millisecond
	// pollTimeout leaves time for another poll within the maximum report age of 3 s.
	pollTimeout = time.Second
	// maxPolls limits the concurrent polls of a node that temporarily owns all 600 servers.
	maxPolls       = 64
	digestInterval = time.Second
	releaseRetry   = time.Second
	releaseSenders = 4
)

// Run polls the owned servers, sends digests and releases and applies changes of leases and configuration
// until ctx ends.
func (s *Shares) Run(ctx context.Context) error {
	g := tasks.New(ctx)
	polls := semaphore.NewWeighted(maxPolls)
	g.Go("shares", func(ctx context.Context) error {
		t := time.NewTicker(stepInterval)
		defer t.Stop()
		for {
			s.step(g, polls)
			select {
			case <-ctx.Done():
				return nil
			case <-t.C:
			}
		}
	})
	for range releaseSenders {
		g.Go("releases", s.sendReleases)
	}
	g.Go("release retries", s.retryReleases)
	if err := g.Wait(); err != nil {
		return errors.Newf("shared budgets: %w", err)
	}
	return nil
}

func (s *Shares) step(g *tasks.Group, polls *semaphore.Weighted) {
	now := time.Now()
	s.configure(now)
	s.syncTenures(now)
	watchers := s.watchers()
	for _, o := range s.sortedServers() {
		s.pollIfDue(g, polls, o, now)
		s.digestIfDue(o, now, watchers[o.name])
	}
	s.closeStaleRoutes(now)
	s.holderMu.Lock()
	defer s.holderMu.Unlock()
	for _, r := range s.holder.Expire(now) {
		s.queueRelease(r)
	}
}

// syncTenures updates the owners to the duties that the node holds. It consents to the loss of a duty once
// none of the grants issued under it is in use, and yields a duty that is due to move to another node for
// balance.
func (s *Shares) syncTenures(now time.Time) {
	tenures := make(map[string]budget.Tenure)
	lost := make(map[string]bool)
	for _, t := range s.deps.Leases.Tenures() {
		if !strings.HasPrefix(t.Duty, dutyPrefix) {
			// Other kinds of duties are handled by other packages.
			continue
		}
		if t.Lost {
			lost[t.Duty] = true
			continue
		}
		bt := budget.Tenure{Fence: t.Fence, Depth: t.Depth, Continued: t.Continued, Previous: t.Previous, Clean: t.Clean}
		for _, e := range t.Earlier {
			bt.Earlier = append(bt.Earlier, budget.EarlierOwner{ID: e.Node + "/" + e.Incarnation, Depth: e.Depth})
		}
		tenures[t.Duty] = bt
	}
	idle := make(map[string]bool, len(lost))
	for d := range lost {
		idle[d] = true
	}
	for _, o := range s.sortedServers() {
		t, held := tenures[o.duty]
		if !o.applyTenure(now, t, held) {
			idle[o.duty] = false
		}
	}
	for d := range lost {
		if idle[d] {
			s.deps.Leases.ConfirmUnused(d)
		}
	}
	if d, ok := s.deps.Leases.DueToMove(dutyPrefix); ok {
		s.ReleaseDuty(d)
	}
}

// applyTenure applies a tenure, or its end if held is false. It reports whether none of the owner's grants is
// in use.
func (o *serverBudget) applyTenure(now time.Time, t budget.Tenure, held bool) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	switch {
	case !held:
		o.owner.EndTenure()
	case o.owner.Fence() != t.Fence:
		o.owner.StartTenure(now, t)
	default:
		o.owner.Update(now, t)
	}
	return o.owner.Idle()
}

// ReleaseDuty stops granting under a duty and releases it. Draining nodes yield every duty they hold.
func (s *Shares) ReleaseDuty(duty string) {
	clean := true
	for _, o := range s.sortedServers() {
		if o.duty != duty {
			continue
		}
		o.mu.Lock()
		o.owner.EndTenure()
		clean = clean && o.owner.Clean()
		o.mu.Unlock()
	}
	s.deps.Leases.ReleaseDuty(duty, clean)
}

// pollIfDue starts a poll of a server that the node owns or has outstanding grants for. Polls of one server
// don't overlap, so its reports are applied in order.
func (s *Shares) pollIfDue(g *tasks.Group, polls *semaphore.Weighted, o *serverBudget, now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.polling || now.Before(o.nextPoll) || (!o.owner.Owning() && o.owner.Idle()) || !polls.TryAcquire(1) {
		return
	}
	o.polling = true
	o.nextPoll = now.Add(pollInterval*9/10 + rand.N(pollInterval/5)) //nolint:gosec // Jitter needs no secret.
	srv := o.server
	g.Go("poll "+o.name, func(ctx context.Context) error {
		defer polls.Release(1)
		ctx, cancel := context.WithTimeout(ctx, pollTimeout)
		defer cancel()
		sent := time.Now()
		r, err := s.deps.Load(ctx, srv)
		o.mu.Lock()
		defer o.mu.Unlock()
		o.polling = false
		if err != nil {
			s.deps.Log.Debug("load report poll failed", "backend_server", o.name, "error", err)
			s.reportRoute(o, RouteChange{Open: time.Now().Before(o.openUntil), Reason: RouteNoReport})
			return nil
		}
		s.reportRoute(o, o.applyReport(sent, time.Now(), r))
		return nil
	})
}

// ageResolution is the resolution of ages in reports; the true age may be greater by up to this much.
const ageResolution = time.Millisecond

// applyReport applies a report and returns the resulting state of the route. The caller must hold mu.
func (o *serverBudget) applyReport(sent, now time.Time, r engine.Report) RouteChange {
	age := time.Duration(r.AgeMs)*time.Millisecond + ageResolution
	c, oldest := o.checkMembers(r)
	complete := c.Open
	o.report = r
	o.reportMadeAt = sent.Add(-age - oldest)
	o.openUntil = time.Time{}
	if complete {
		o.openUntil = o.reportMadeAt.Add(budget.DefaultReportAge)
	}
	o.owner.Report(sent, now, budget.Report{
		Instance: r.Instance, State: stateOf(r.State), Running: r.Running + r.Waiting, Age: age, GroupComplete: complete,
	})
	return c
}

// checkMembers returns an open route when every host of the configured group has reported the group and all
// have reported the same generation. The second result is the age of the oldest member report relative to
// the load report.
func (o *serverBudget) checkMembers(r engine.Report) (RouteChange, time.Duration) {
	members := make(map[string]engine.Member, len(r.Members))
	for _, m := range r.Members {
		members[m.Host] = m
	}
	var oldest time.Duration
	for _, h := range o.server.Hosts {
		m, ok := members[h]
		switch {
		case !ok:
			return RouteChange{Reason: RouteMemberMissing, Host: h}, 0
		case m.Group != o.server.Name:
			return RouteChange{Reason: RouteOtherGroup, Host: h}, 0
		case m.Generation != r.Members[0].Generation:
			return RouteChange{Reason: RouteOtherGeneration, Host: h}, 0
		}
		oldest = max(oldest, time.Duration(m.AgeMs)*time.Millisecond)
	}
	return RouteChange{Open: len(o.server.Hosts) > 0, Reason: RouteComplete}, oldest
}

// digest returns the load digest of the server from its last report. The caller must hold mu.
func (o *serverBudget) digest(now time.Time, valid bool) *frame.LoadDigest {
	free := 0
	if o.owner.Ready(now) == budget.Granted {
		free = o.owner.Available(now, valid).Requests
	}
	return &frame.LoadDigest{
		Server: o.name, Inst: o.report.Instance, State: string(o.report.State), Run: o.report.Running,
		Wait: o.report.Waiting, Held: o.report.TokensHeld, Cap: o.report.TokenCapacity, Free: free,
		Open: now.Before(o.openUntil), AgeMs: int(now.Sub(o.reportMadeAt).Milliseconds()),
	}
}

// HandleAsk handles an ask of the process with the given incarnation, which comes from the hello message of
// its connection.
func (s *Shares) HandleAsk(incarnation string, a frame.GrantAsk) frame.GrantReply {
	o, ok := s.findServer(a.Server)
	if !ok || a.Tokens < 0 {
		return frame.GrantReply{Id: a.Id, Status: frame.GrantReplyStatusNotOwner}
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	now := time.Now()
	valid := s.deps.Leases.Holds(o.duty, o.owner.Fence())
	rep := budget.Reply{Status: budget.Closed}
	if now.Before(o.openUntil) || !o.owner.Owning() {
		key := budget.Key{Holder: incarnation, ID: uint64(a.Id)} //nolint:gosec // Any number names a grant.
		rep = o.owner.Ask(now, valid, budget.Ask{Key: key, Tokens: a.Tokens})
	}
	out := frame.GrantReply{Id: a.Id, Status: replyStatuses[rep.Status]}
	if rep.Status == budget.NotOwner {
		return out
	}
	out.Load = o.digest(now, valid)
	out.Fence = int(o.owner.Fence()) //nolint:gosec // Counts up from 1.
	if rep.Status == budget.Granted {
		out.Inst, out.TtlMs = rep.Instance, int(rep.TTL.Milliseconds())
	}
	return out
}

// HandleRelease applies a release of the process with the given incarnation. It is idempotent.
func (s *Shares) HandleRelease(incarnation string, r frame.GrantRelease) {
	o, ok := s.findServer(r.Server)
	if !ok {
		return
	}
	end := budget.EndUnknown
	switch r.Proof {
	case proofEnded:
		end = budget.EndConfirmed
	case proofUnused:
		end = budget.EndNotStarted
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.owner.Release(time.Now(), budget.Release{
		Key: budget.Key{Holder: incarnation, ID: uint64(r.Id)}, End: end, //nolint:gosec // Any number names a grant.
		Instance: r.Inst, State: stateOf(engine.State(r.State)),
	})
}

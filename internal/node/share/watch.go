package share

import (
	"context"
	"time"

	"geraniumhollow/internal/conf/view"
	"geraniumhollow/internal/core/tasks"
	"geraniumhollow/internal/route/budget"
	"geraniumhollow/internal/wire/frame"
)

// watchers returns the names of the nodes that watch each backend server.
func (s *Shares) watchers() map[string][]string {
	v := s.deps.View()
	nodes := s.deps.Nodes()
	if s.watcherCache.matches(v, nodes) {
		return s.watcherCache.byServer
	}
	out := make(map[string][]string)
	for _, m := range v.Document().Models {
		for _, n := range nodes {
			for _, srv := range Watched(n, v.Servers(m.Name)) {
				out[srv.Name] = append(out[srv.Name], n.Name)
			}
		}
	}
	s.watcherCache = watcherCache{version: v.Version, nodes: nodes, byServer: out}
	return out
}

// watcherCache caches the watchers, because sorting 600 servers for each of 380 nodes is too expensive for
// every step. Only the step loop uses it.
type watcherCache struct {
	version  uint64
	nodes    []Node
	byServer map[string][]string
}

func (w *watcherCache) matches(v *view.View, nodes []Node) bool {
	if w.byServer == nil || w.version != v.Version || len(w.nodes) != len(nodes) {
		return false
	}
	for i := range nodes {
		if nodes[i] != w.nodes[i] {
			return false
		}
	}
	return true
}

// digestIfDue sends the digest of an owned server to its watchers every digestInterval, and immediately when
// its route has closed.
func (s *Shares) digestIfDue(o *serverBudget, now time.Time, watchers []string) {
	o.mu.Lock()
	owning := o.owner.Owning()
	closed := o.lastDigestOpen && !now.Before(o.openUntil)
	if !owning || o.reportMadeAt.IsZero() || (now.Before(o.nextDigest) && !closed) {
		o.mu.Unlock()
		return
	}
	valid := s.deps.Leases.Holds(o.duty, o.owner.Fence())
	d := o.digest(now, valid)
	o.nextDigest = now.Add(digestInterval)
	o.lastDigestOpen = d.Open
	o.mu.Unlock()
	for _, n := range watchers {
		if n == s.cfg.Node {
			s.HandleDigest(*d)
		} else {
			s.deps.Peers.Digest(n, *d)
		}
	}
}

// HandleDigest applies a digest. The digest expires when its age, counted on from the time of receipt,
// exceeds the maximum report age.
func (s *Shares) HandleDigest(d frame.LoadDigest) {
	now := time.Now()
	s.deps.DigestReceived(d, now)
	until := now.Add(budget.DefaultReportAge - time.Duration(d.AgeMs)*time.Millisecond)
	open := d.Open && now.Before(until)
	s.holderMu.Lock()
	wasOpen := s.routes[d.Server].open
	s.routes[d.Server] = watchedRoute{openUntil: until, open: open}
	s.holderMu.Unlock()
	if wasOpen != open {
		reason := RouteByOwner
		if d.Open && !open {
			reason = RouteStale
		}
		s.deps.RouteChanged(RouteChange{Server: d.Server, Open: open, Reason: reason})
	}
	if wasOpen && !open {
		s.deps.RouteClosed(d.Server)
	}
}

// Open reports whether the route of a server is open according to the last digest.
func (s *Shares) Open(server string) bool {
	s.holderMu.Lock()
	defer s.holderMu.Unlock()
	r := s.routes[server]
	return r.open && time.Now().Before(r.openUntil)
}

// closeStaleRoutes closes the routes whose last digests have expired.
func (s *Shares) closeStaleRoutes(now time.Time) {
	var closed []string
	s.holderMu.Lock()
	for name, r := range s.routes {
		if r.open && !now.Before(r.openUntil) {
			s.routes[name] = watchedRoute{}
			closed = append(closed, name)
		}
	}
	s.holderMu.Unlock()
	for _, name := range closed {
		s.deps.RouteChanged(RouteChange{Server: name, Reason: RouteStale})
		s.deps.RouteClosed(name)
	}
}

// sendReleases sends each queued release once.
func (s *Shares) sendReleases(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case r := <-s.releaseQueue:
			s.sendRelease(ctx, r)
		}
	}
}

// retryReleases resends releases that their owners have not acknowledged. Releases to nodes that are not live
// any more are dropped: an owner whose process has ended doesn't need them.
func (s *Shares) retryReleases(ctx context.Context) error {
	return tasks.Every(ctx, releaseRetry, func(ctx context.Context) {
		for _, r := range s.dueReleases() {
			s.sendRelease(ctx, r)
		}
	})
}

// dueReleases returns the unacknowledged releases after dropping those to nodes that are not live.
func (s *Shares) dueReleases() []*budget.PendingRelease {
	live := map[string]bool{s.cfg.Node: true}
	for _, n := range s.deps.Nodes() {
		live[n.Name] = true
	}
	s.holderMu.Lock()
	defer s.holderMu.Unlock()
	due := make([]*budget.PendingRelease, 0, len(s.pendingReleases))
	for id, r := range s.pendingReleases {
		if !live[r.Owner] {
			delete(s.pendingReleases, id)
			continue
		}
		due = append(due, r)
	}
	return due
}

func (s *Shares) sendRelease(ctx context.Context, r *budget.PendingRelease) {
	m := frame.GrantRelease{
		Id: int(r.Release.Key.ID), Server: r.Server, Inst: r.Release.Instance, //nolint:gosec // Counts up from 1.
	}
	switch r.Release.State {
	case budget.Cold:
		m.State = "cold"
	case budget.Warm:
		m.State = "warm"
	case budget.Unknown:
	}
	switch r.Release.End {
	case budget.EndConfirmed:
		m.Proof = proofEnded
	case budget.EndNotStarted:
		m.Proof = proofUnused
	case budget.EndUnknown:
	}
	if r.Owner == s.cfg.Node {
		s.HandleRelease(s.cfg.Incarnation, m)
	} else {
		ctx, cancel := context.WithTimeout(ctx, releaseRetry)
		defer cancel()
		if err := s.deps.Peers.Release(ctx, r.Owner, m); err != nil {
			s.deps.Log.Debug("release not delivered", "node", r.Owner, "error", err)
			return
		}
	}
	s.holderMu.Lock()
	defer s.holderMu.Unlock()
	if s.pendingReleases[r.Release.Key.ID] == r {
		delete(s.pendingReleases, r.Release.Key.ID)
	}
}

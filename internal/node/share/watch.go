package share

import (
	"context"
	"time"

	"geraniumhollow/internal/conf/view"
	"geraniumhollow/internal/core/tasks"
	"geraniumhollow/internal/route/budget"
	"geraniumhollow/internal/wire/frame"
)

// watchers returns the nodes that watch each server that this node owns.
func (s *Shares) watchers() map[string][]string {
	v := s.deps.View()
	nodes := s.deps.Nodes()
	if s.watch.same(v, nodes) {
		return s.watch.byServer
	}
	out := make(map[string][]string)
	for _, m := range v.Document().Models {
		for _, n := range nodes {
			for _, srv := range Watched(n, v.Servers(m.Name)) {
				out[srv.Name] = append(out[srv.Name], n.Name)
			}
		}
	}
	s.watch = watchList{version: v.Version, nodes: nodes, byServer: out}
	return out
}

// watchList remembers the watchers, because the order of 600 servers for 380 nodes is too much work
// for every step. Only the step loop uses it.
type watchList struct {
	version  uint64
	nodes    []Node
	byServer map[string][]string
}

func (w *watchList) same(v *view.View, nodes []Node) bool {
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

// digestIfDue sends the digest of an owned server to its watchers once a second, and at once when its
// route has closed.
func (s *Shares) digestIfDue(o *owned, now time.Time, watchers []string) {
	o.mu.Lock()
	owning := o.owner.Owning()
	closed := o.sentOpen && !now.Before(o.openUntil)
	if !owning || o.made.IsZero() || (now.Before(o.digestAt) && !closed) {
		o.mu.Unlock()
		return
	}
	valid := s.deps.Leases.Holds(o.duty, o.owner.Fence())
	d := o.digest(now, valid)
	o.digestAt = now.Add(digestInterval)
	o.sentOpen = d.Open
	o.mu.Unlock()
	for _, n := range watchers {
		if n == s.cfg.Node {
			s.HandleDigest(*d)
		} else {
			s.deps.Peers.Digest(n, *d)
		}
	}
}

// HandleDigest takes a digest. Its age counts on from the receipt.
func (s *Shares) HandleDigest(d frame.LoadDigest) {
	now := time.Now()
	s.deps.Heard(d, now)
	until := now.Add(budget.DefaultReportAge - time.Duration(d.AgeMs)*time.Millisecond)
	open := d.Open && now.Before(until)
	s.holdMu.Lock()
	was := s.routes[d.Server].open
	s.routes[d.Server] = route{openUntil: until, open: open}
	s.holdMu.Unlock()
	if was != open {
		why := RouteByOwner
		if d.Open && !open {
			why = RouteStale
		}
		s.deps.Route(RouteChange{Server: d.Server, Open: open, Reason: why})
	}
	if was && !open {
		s.deps.Closed(d.Server)
	}
}

// Open reports whether the route of a server is open as far as this node knows.
func (s *Shares) Open(server string) bool {
	s.holdMu.Lock()
	defer s.holdMu.Unlock()
	r := s.routes[server]
	return r.open && time.Now().Before(r.openUntil)
}

// closeRoutes closes the routes whose digests have grown too old.
func (s *Shares) closeRoutes(now time.Time) {
	var closed []string
	s.holdMu.Lock()
	for name, r := range s.routes {
		if r.open && !now.Before(r.openUntil) {
			s.routes[name] = route{}
			closed = append(closed, name)
		}
	}
	s.holdMu.Unlock()
	for _, name := range closed {
		s.deps.Route(RouteChange{Server: name, Reason: RouteStale})
		s.deps.Closed(name)
	}
}

// sendReleases makes the first try of each release.
func (s *Shares) sendReleases(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case r := <-s.sending:
			s.send(ctx, r)
		}
	}
}

// retryReleases sends releases again that their owners have not taken. An owner whose process has
// ended needs none, so a node that is not listed any more is given up.
func (s *Shares) retryReleases(ctx context.Context) error {
	return tasks.Every(ctx, releaseRetry, func(ctx context.Context) {
		for _, r := range s.dueReleases() {
			s.send(ctx, r)
		}
	})
}

// dueReleases returns the releases that have not been taken, and drops those that nobody needs.
func (s *Shares) dueReleases() []*budget.Returned {
	listed := map[string]bool{s.cfg.Node: true}
	for _, n := range s.deps.Nodes() {
		listed[n.Name] = true
	}
	s.holdMu.Lock()
	defer s.holdMu.Unlock()
	due := make([]*budget.Returned, 0, len(s.back))
	for id, r := range s.back {
		if !listed[r.Owner] {
			delete(s.back, id)
			continue
		}
		due = append(due, r)
	}
	return due
}

func (s *Shares) send(ctx context.Context, r *budget.Returned) {
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
	case budget.Ended:
		m.Proof = proofEnded
	case budget.Unused:
		m.Proof = proofUnused
	case budget.Unsure:
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
	s.holdMu.Lock()
	defer s.holdMu.Unlock()
	if s.back[r.Release.Key.ID] == r {
		delete(s.back, r.Release.Key.ID)
	}
}

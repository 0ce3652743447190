package share

import (
	"context"
	"slices"
	"time"

	"geraniumhollow/internal/conf/view"
	"geraniumhollow/internal/core/fault"
	"geraniumhollow/internal/node/relay"
	"geraniumhollow/internal/plat/engine"
	"geraniumhollow/internal/route/budget"
	"geraniumhollow/internal/route/quota"
	"geraniumhollow/internal/wire/frame"
	"github.com/cockroachdb/errors"
	"github.com/zeebo/xxh3"
)

// Proofs of a GrantRelease.
const (
	proofEnded  = "ended"
	proofUnused = "unused"
)

// retryAfter is when a caller may come back after a refusal.
const retryAfter = time.Second

// statuses maps the answers of a budget to those of the wire.
var statuses = map[budget.Status]frame.GrantReplyStatus{
	budget.Granted:  frame.GrantReplyStatusGranted,
	budget.Busy:     frame.GrantReplyStatusBusy,
	budget.NotOwner: frame.GrantReplyStatusNotOwner,
	budget.Waiting:  frame.GrantReplyStatusWaiting,
	budget.Closed:   frame.GrantReplyStatusClosed,
}

// refusals maps the answers of the wire to errors.
var refusals = map[frame.GrantReplyStatus]error{
	frame.GrantReplyStatusBusy:     ErrBusy,
	frame.GrantReplyStatusNotOwner: ErrNoOwner,
	frame.GrantReplyStatusWaiting:  ErrWaiting,
	frame.GrantReplyStatusClosed:   ErrClosed,
}

// Acquire implements relay.Granter. It returns an error at once when the owner is unknown, and after
// at most the validity of a grant when the owner doesn't answer. A grant must be used before its
// Until, on a connection whose hello named its instance.
func (s *Shares) Acquire(ctx context.Context, srv view.Server, tokens int) (relay.Grant, error) {
	if len(srv.Hosts) == 0 {
		return s.acquireFixed(srv)
	}
	duty := Duty(srv.Name, s.cfg.Shards)
	owner := s.deps.Leases.Holder(duty)
	if owner == "" {
		return relay.Grant{}, refuse(ErrNoOwner)
	}
	now := time.Now()
	s.holdMu.Lock()
	a := s.hold.Ask(now, owner, srv.Name, tokens)
	until := s.hold.Until(a.Key.ID)
	s.holdMu.Unlock()
	ctx, cancel := context.WithDeadline(ctx, until)
	defer cancel()
	rep, err := s.ask(ctx, owner, frame.GrantAsk{Id: int(a.Key.ID), Server: srv.Name, Tokens: tokens}) //nolint:gosec // Counts up from 1.
	if err != nil {
		// The ask expires in Run, which sends a release in case the owner has granted it.
		return relay.Grant{}, refuse(errors.Mark(errors.Newf("ask owner %s: %w", owner, err), ErrNoOwner))
	}
	return s.accept(owner, srv, a, rep, until)
}

// ask asks another node, or this one without a message.
func (s *Shares) ask(ctx context.Context, owner string, a frame.GrantAsk) (frame.GrantReply, error) {
	if owner == s.cfg.Node {
		return s.HandleAsk(s.cfg.Incarnation, a), nil
	}
	return s.deps.Peers.Ask(ctx, owner, a) //nolint:wrapcheck // Wrapped by the caller.
}

func (s *Shares) accept(owner string, srv view.Server, a budget.Ask, rep frame.GrantReply, until time.Time) (relay.Grant, error) {
	now := time.Now()
	if rep.Load != nil {
		s.HandleDigest(*rep.Load)
	}
	r := budget.Reply{Key: a.Key, Instance: rep.Inst, Fence: uint64(rep.Fence), Status: budget.Busy} //nolint:gosec // Never negative.
	if rep.Status == frame.GrantReplyStatusGranted {
		r.Status = budget.Granted
	}
	s.holdMu.Lock()
	defer s.holdMu.Unlock()
	ok, back := s.hold.Reply(now, owner, srv.Name, r)
	if back != nil {
		s.queue(back)
	}
	if !ok {
		if err, known := refusals[rep.Status]; known {
			return relay.Grant{}, refuse(err)
		}
		return relay.Grant{}, refuse(ErrNoOwner)
	}
	// The relay sends at once. From here on only a release with proof frees the grant.
	s.hold.Use(now, a.Key.ID, rep.Inst)
	return relay.Grant{ID: a.Key.ID, Server: srv.Name, Instance: rep.Inst, Fence: r.Fence, Until: until}, nil
}

// refuse turns an error into one for the caller. Nothing has been sent.
func refuse(cause error) error {
	return fault.New(fault.Overloaded, fault.NotRun, "no grant for the backend server").
		WithRetryAfter(retryAfter).WithCause(cause)
}

// ends maps what the relay knows of the end of an attempt to what the budget makes of it.
var ends = map[relay.End]budget.End{
	relay.Unsure: budget.Unsure,
	relay.Unused: budget.Unused,
	relay.Ended:  budget.Ended,
}

// Release implements relay.Granter. An attempt without proof of its end keeps its grant until a later
// report covers it.
func (s *Shares) Release(g relay.Grant, r relay.Result) { s.release(g, ends[r.End], r) }

func (s *Shares) release(g relay.Grant, end budget.End, r relay.Result) {
	s.holdMu.Lock()
	defer s.holdMu.Unlock()
	if g.ID == 0 {
		s.fixed[g.Server] = max(0, s.fixed[g.Server]-1)
		return
	}
	rel := budget.Release{End: end, Instance: r.Instance, State: stateOf(r.State)}
	if back := s.hold.End(time.Now(), g.ID, rel); back != nil {
		s.queue(back)
	}
}

// queue keeps a release until its owner has taken it. holdMu is held.
func (s *Shares) queue(r *budget.Returned) {
	s.back[r.Release.Key.ID] = r
	select {
	case s.sending <- r:
	default:
	}
}

func stateOf(st engine.State) budget.State {
	switch st {
	case engine.Cold:
		return budget.Cold
	case engine.Warm:
		return budget.Warm
	default:
		return budget.Unknown
	}
}

// acquireFixed gives out this node's fixed share of a plain service's limit. Such a server reports no
// load and no instance. The shares of the nodes add up to the limit: each has the same floor, and
// the rest goes to the nodes with the highest rendezvous weight, one each. Nodes that disagree for a
// moment about who is live can exceed the limit by that difference.
func (s *Shares) acquireFixed(srv view.Server) (relay.Grant, error) {
	limit := fixedShare(srv, s.cfg.Node, s.deps.Nodes())
	s.holdMu.Lock()
	defer s.holdMu.Unlock()
	if s.fixed[srv.Name] >= limit {
		return relay.Grant{}, refuse(ErrBusy)
	}
	s.fixed[srv.Name]++
	return relay.Grant{Server: srv.Name}, nil
}

func fixedShare(srv view.Server, self string, nodes []Node) int {
	names := make([]string, 0, len(nodes))
	for _, n := range nodes {
		names = append(names, n.Name)
	}
	return quota.New(self, names, 0).Whole(srv.Capacity.WarmRequests, srv.Name)
}

func weight(node, server string) uint64 { return xxh3.HashString(node + "\x00" + server) }

// maxWatched is how many servers of a model a node watches.
const maxWatched = 24

// Watched returns the servers of a model that a node watches: at most 24, those of its own data centre
// first, then by rendezvous weight.
func Watched(n Node, servers []view.Server) []view.Server {
	out := slices.Clone(servers)
	slices.SortFunc(out, func(a, b view.Server) int {
		if near := a.DataCentre == n.DataCentre; near != (b.DataCentre == n.DataCentre) {
			if near {
				return -1
			}
			return 1
		}
		if weight(n.Name, a.Name) > weight(n.Name, b.Name) {
			return -1
		}
		return 1
	})
	return out[:min(maxWatched, len(out))]
}

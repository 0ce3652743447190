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

// Values of the proof field of a GrantRelease.
const (
	proofEnded  = "ended"
	proofUnused = "unused"
)

// retryAfter is the retry delay that is suggested to a caller after a refusal.
const retryAfter = time.Second

// replyStatuses maps the statuses of a budget to those of the wire protocol.
var replyStatuses = map[budget.Status]frame.GrantReplyStatus{
	budget.Granted:  frame.GrantReplyStatusGranted,
	budget.Busy:     frame.GrantReplyStatusBusy,
	budget.NotOwner: frame.GrantReplyStatusNotOwner,
	budget.Waiting:  frame.GrantReplyStatusWaiting,
	budget.Closed:   frame.GrantReplyStatusClosed,
}

// replyErrors maps the statuses of the wire protocol to errors.
var replyErrors = map[frame.GrantReplyStatus]error{
	frame.GrantReplyStatusBusy:     ErrBusy,
	frame.GrantReplyStatusNotOwner: ErrNoOwner,
	frame.GrantReplyStatusWaiting:  ErrWaiting,
	frame.GrantReplyStatusClosed:   ErrClosed,
}

// Acquire implements relay.Granter. It returns an error at once when the owner is unknown, and after at
// most the validity of a grant when the owner doesn't respond. A grant must be used before its ExpiresAt, on
// a connection whose hello named the grant's instance.
func (s *Shares) Acquire(ctx context.Context, srv view.Server, tokens int) (relay.Grant, error) {
	if len(srv.Hosts) == 0 {
		return s.acquireFixed(srv)
	}
	duty := ShardDuty(srv.Name, s.cfg.Shards)
	owner := s.deps.Leases.Holder(duty)
	if owner == "" {
		return relay.Grant{}, grantError(ErrNoOwner)
	}
	now := time.Now()
	s.holderMu.Lock()
	a := s.holder.Ask(now, owner, srv.Name, tokens)
	until := s.holder.Until(a.Key.ID)
	s.holderMu.Unlock()
	ctx, cancel := context.WithDeadline(ctx, until)
	defer cancel()
	rep, err := s.askOwner(ctx, owner, frame.GrantAsk{Id: int(a.Key.ID), Server: srv.Name, Tokens: tokens}) //nolint:gosec // Counts up from 1.
	if err != nil {
		// The ask expires in step, which queues a release in case the owner has granted it.
		return relay.Grant{}, grantError(errors.Mark(errors.Newf("ask owner %s: %w", owner, err), ErrNoOwner))
	}
	return s.acceptReply(owner, srv, a, rep, until)
}

// askOwner sends an ask to the owner, or handles it directly if the owner is this node.
func (s *Shares) askOwner(ctx context.Context, owner string, a frame.GrantAsk) (frame.GrantReply, error) {
	if owner == s.cfg.Node {
		return s.HandleAsk(s.cfg.Incarnation, a), nil
	}
	return s.deps.Peers.Ask(ctx, owner, a) //nolint:wrapcheck // Wrapped by the caller.
}

// acceptReply turns the reply of an owner into a grant or an error. It queues a release if the owner's grant
// can't be used any more.
func (s *Shares) acceptReply(owner string, srv view.Server, a budget.Ask, rep frame.GrantReply, until time.Time) (relay.Grant, error) {
	now := time.Now()
	if rep.Load != nil {
		s.HandleDigest(*rep.Load)
	}
	r := budget.Reply{Key: a.Key, Instance: rep.Inst, Fence: uint64(rep.Fence), Status: budget.Busy} //nolint:gosec // Never negative.
	if rep.Status == frame.GrantReplyStatusGranted {
		r.Status = budget.Granted
	}
	s.holderMu.Lock()
	defer s.holderMu.Unlock()
	ok, returned := s.holder.Reply(now, owner, srv.Name, r)
	if returned != nil {
		s.queueRelease(returned)
	}
	if !ok {
		if err, known := replyErrors[rep.Status]; known {
			return relay.Grant{}, grantError(err)
		}
		return relay.Grant{}, grantError(ErrNoOwner)
	}
	// The relay sends the request immediately. From here on only a release with proof frees the grant.
	s.holder.Use(now, a.Key.ID, rep.Inst)
	return relay.Grant{ID: a.Key.ID, Server: srv.Name, Instance: rep.Inst, Fence: r.Fence, ExpiresAt: until}, nil
}

// grantError returns the caller's error for a grant that could not be acquired. The request has not been sent.
func grantError(cause error) error {
	return fault.New(fault.Overloaded, fault.NotRun, "no grant for the backend server").
		WithRetryAfter(retryAfter).WithCause(cause)
}

// budgetEnds maps the relay's knowledge of an ended attempt to that of the budget.
var budgetEnds = map[relay.End]budget.End{
	relay.EndUnknown:    budget.EndUnknown,
	relay.EndNotStarted: budget.EndNotStarted,
	relay.EndConfirmed:  budget.EndConfirmed,
}

// Release implements relay.Granter. Without proof that the attempt has ended, its grant stays in use until a
// later load report covers it.
func (s *Shares) Release(g relay.Grant, r relay.Result) { s.release(g, budgetEnds[r.End], r) }

func (s *Shares) release(g relay.Grant, end budget.End, r relay.Result) {
	s.holderMu.Lock()
	defer s.holderMu.Unlock()
	if g.ID == 0 {
		s.fixedInUse[g.Server] = max(0, s.fixedInUse[g.Server]-1)
		return
	}
	rel := budget.Release{End: end, Instance: r.Instance, State: stateOf(r.State)}
	if returned := s.holder.End(time.Now(), g.ID, rel); returned != nil {
		s.queueRelease(returned)
	}
}

// queueRelease stores a release until its owner has acknowledged it. The caller must hold holderMu.
func (s *Shares) queueRelease(r *budget.PendingRelease) {
	s.pendingReleases[r.Release.Key.ID] = r
	select {
	case s.releaseQueue <- r:
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

// acquireFixed grants from this node's fixed share of the limit of a plain HTTP service, which reports no load
// and no instance. The shares of the nodes add up to the limit: each gets the limit divided by the number of
// nodes, rounded down, and the nodes with the highest rendezvous weight get one more each. While nodes
// disagree about which nodes are live, the limit can be exceeded by that difference.
func (s *Shares) acquireFixed(srv view.Server) (relay.Grant, error) {
	limit := fixedShare(srv, s.cfg.Node, s.deps.Nodes())
	s.holderMu.Lock()
	defer s.holderMu.Unlock()
	if s.fixedInUse[srv.Name] >= limit {
		return relay.Grant{}, grantError(ErrBusy)
	}
	s.fixedInUse[srv.Name]++
	return relay.Grant{Server: srv.Name}, nil
}

func fixedShare(srv view.Server, self string, nodes []Node) int {
	names := make([]string, 0, len(nodes))
	for _, n := range nodes {
		names = append(names, n.Name)
	}
	return quota.New(self, names, 0).WholePart(srv.Capacity.WarmRequests, srv.Name)
}

func rendezvousWeight(node, server string) uint64 { return xxh3.HashString(node + "\x00" + server) }

// maxWatchedPerModel is the number of servers of a model that a node watches.
const maxWatchedPerModel = 24

// Watched returns the servers of a model that a node watches, which means that the node receives their load
// digests: at most maxWatchedPerModel, those in its own data centre first, then by rendezvous weight.
func Watched(n Node, servers []view.Server) []view.Server {
	out := slices.Clone(servers)
	slices.SortFunc(out, func(a, b view.Server) int {
		if aLocal := a.DataCentre == n.DataCentre; aLocal != (b.DataCentre == n.DataCentre) {
			if aLocal {
				return -1
			}
			return 1
		}
		if rendezvousWeight(n.Name, a.Name) > rendezvousWeight(n.Name, b.Name) {
			return -1
		}
		return 1
	})
	return out[:min(maxWatchedPerModel, len(out))]
}

package mesh

import (
	"context"
	"slices"
	"time"

	"geraniumhollow/internal/fleet/mirror"
	"geraniumhollow/internal/plat/table"
	"geraniumhollow/internal/wire/frame"
	"geraniumhollow/internal/wire/peer"
	"github.com/cockroachdb/errors"
)

// Peer returns another node's copy of a family, or nil when there is no link. Nodes of other data centres
// are preferred because nodes of the same data centre may follow this one; so are, for the first node of a data centre,
// its standbys, which read the store if this node cannot.
func (m *Mesh) Peer(family string) table.Feed {
	list := m.linked()
	if len(list) == 0 {
		return nil
	}
	m.mu.Lock()
	preferred := slices.IndexFunc(list, func(n string) bool {
		return m.members[n].DataCentre != m.cfg.DataCentre || m.position.leadsDataCentre && m.position.standbys.Has(n)
	})
	m.mu.Unlock()
	return remoteCopy{m: m, node: list[max(0, preferred)], family: family}
}

// handleFollow answers a request of a node that follows a copy of this one.
func (m *Mesh) handleFollow(ctx context.Context, from peer.Peer, a *frame.FollowAsk) *frame.FollowReply {
	c := m.copyOf(a.Family)
	if c == nil {
		return nil
	}
	if a.WaitMs > 0 && c.ComesThrough(from.Node) {
		// The rows of this copy come from the requesting node, so a long poll would only return them to it.
		return &frame.FollowReply{Status: frame.FollowReplyStatusUnavailable}
	}
	after := table.Revision{Era: uint64(a.Era), Number: uint64(a.After)}
	if a.After == 0 {
		s, err := c.Snapshot(ctx, a.Family)
		if err != nil {
			return &frame.FollowReply{Status: frame.FollowReplyStatusUnavailable}
		}
		return &frame.FollowReply{
			Status: frame.FollowReplyStatusRows, Rev: int(s.Revision.Number), Era: int(s.Revision.Era), Rows: EncodeRows(s.Rows), Via: s.Via, Stale: s.Stale,
			AgeMs: int(s.Age.Milliseconds()),
		}
	}
	d, err := c.ChangesFor(ctx, after, ageOf(a.AgeMs), time.Duration(a.WaitMs)*time.Millisecond)
	switch {
	case errors.Is(err, table.ErrHistoryLost):
		return &frame.FollowReply{Status: frame.FollowReplyStatusHistoryLost}
	case err != nil:
		return &frame.FollowReply{Status: frame.FollowReplyStatusUnavailable}
	}
	return &frame.FollowReply{
		Status: frame.FollowReplyStatusRows, Rev: int(d.Revision.Number), Era: int(d.Revision.Era), Rows: EncodeRows(d.Changed), Gone: d.Removed, Via: d.Via,
		AgeMs: int(d.Age.Milliseconds()),
	}
}

// copyOf returns the copy of a family on this node, or nil.
func (m *Mesh) copyOf(family string) *mirror.Copy {
	if family == Family {
		return m.nodes
	}
	return m.cfg.Copies(family)
}

// maxAge bounds the age of rows in messages. A node that has never read a family has rows of any age.
const maxAge = time.Minute

// remoteCopy is another node's copy of a family. It implements table.Feed.
type remoteCopy struct {
	m      *Mesh
	node   string
	family string
}

// Snapshot implements table.Feed.
func (r remoteCopy) Snapshot(ctx context.Context, family string) (table.State, error) {
	reply, rows, err := r.ask(ctx, &frame.FollowAsk{Family: family})
	if err != nil {
		return table.State{}, err
	}
	return table.State{Rows: rows, Revision: revisionOf(reply), Via: reply.Via, Stale: reply.Stale, Age: ageOf(reply.AgeMs)}, nil
}

// Changes implements table.Feed.
func (r remoteCopy) Changes(ctx context.Context, family string, after table.Revision, wait time.Duration) (table.Delta, error) {
	var age time.Duration
	if c := r.m.copyOf(family); c != nil {
		age = min(c.Age(), maxAge)
	}
	reply, rows, err := r.ask(ctx, &frame.FollowAsk{
		Family: family, After: int(after.Number), Era: int(after.Era), WaitMs: int(wait.Milliseconds()), AgeMs: int(age.Milliseconds()),
	})
	if err != nil {
		return table.Delta{}, err
	}
	return table.Delta{Changed: rows, Removed: reply.Gone, Revision: revisionOf(reply), Via: reply.Via, Age: ageOf(reply.AgeMs)}, nil
}

// revisionOf returns the revision of a reply.
func revisionOf(r *frame.FollowReply) table.Revision {
	return table.Revision{Era: uint64(r.Era), Number: uint64(r.Rev)}
}

// ageOf returns the age of rows from a message. Those of a node that does not state it count as confirmed just now.
func ageOf(ms int) time.Duration {
	return time.Duration(min(max(0, ms), int(maxAge.Milliseconds()))) * time.Millisecond
}

// ask sends a request to the node and returns its reply with the decoded rows.
func (r remoteCopy) ask(ctx context.Context, a *frame.FollowAsk) (*frame.FollowReply, []table.Row, error) {
	msg, err := r.m.net.Ask(ctx, r.node, a)
	if err != nil {
		return nil, nil, errors.Mark(errors.Newf("follow %s: %w", r.node, err), table.ErrUnavailable)
	}
	reply, ok := msg.(*frame.FollowReply)
	switch {
	case !ok:
		return nil, nil, errors.Mark(errors.Newf("node %s sent an unexpected reply of type %T", r.node, msg), table.ErrUnavailable)
	case reply.Status == frame.FollowReplyStatusHistoryLost:
		return nil, nil, table.ErrHistoryLost
	case reply.Status != frame.FollowReplyStatusRows:
		return nil, nil, errors.Mark(errors.Mark(errors.Newf("node %s has no source of rows", r.node), table.ErrUnavailable), mirror.ErrNoSource)
	}
	rows, err := DecodeRows(reply.Rows, uint64(reply.Era))
	if err != nil {
		return nil, nil, errors.Mark(errors.Newf("decode rows from %s: %w", r.node, err), table.ErrUnavailable)
	}
	return reply, rows, nil
}

package peers

import (
	"context"
	"fmt"
	"time"

	"geraniumhollow/internal/wire/frame"
	"geraniumhollow/internal/wire/peer"
	"github.com/cockroachdb/errors"
)

// ErrTooFew means that a configuration change is not accepted because fewer than half of the nodes
// send heartbeats to this node or acknowledge its commit notice.
var ErrTooFew = errors.New("fewer than half of the nodes are reachable")

// Notice is the announcement of a commit to the other nodes.
type Notice struct {
	peers *Peers
	msg   frame.CommitNotice
}

// Announce notifies the other nodes that this node is about to commit a version. It returns a Notice
// once at least half of the nodes, including this one, have acknowledged it. The commit must follow
// immediately: the other nodes treat it as not made if it takes effect later than
// watch.MaxCommitDelay after the notice. After the commit, call Refresh to distribute the change.
//
// It returns ErrTooFew, or an error from reading the table. The table is read first because
// announcing a commit that cannot be made would keep the other nodes from serving during the outage.
func (p *Peers) Announce(ctx context.Context, version uint64) (*Notice, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	p.mu.Lock()
	allowed := p.roster.MayCommit(time.Now())
	p.mu.Unlock()
	if !allowed {
		return nil, ErrTooFew
	}
	current, row, err := p.cfg.Configs.Version(ctx)
	if err != nil {
		return nil, errors.Newf("read version before announcing a commit: %w", err)
	}
	p.mu.Lock()
	own, packed := p.watch.Version(), p.packedDocument
	p.mu.Unlock()
	if current < own {
		// The commit must not be based on a version that the table has gone back to.
		p.writeAgain(ctx, row, own, packed)
	}
	n := &Notice{peers: p, msg: frame.CommitNotice{Id: int(p.notices.Add(1)), Ver: int(version)}}
	p.mu.Lock()
	p.watch.CommitAnnounced(time.Now(), noticeKey(p.cfg.Incarnation, &n.msg), version)
	p.mu.Unlock()
	if err := n.collectAcks(ctx); err != nil {
		n.Withdraw()
		return nil, err
	}
	return n, nil
}

// collectAcks sends the notice to every node. It returns nil once at least half of the nodes,
// including this one, have acknowledged it.
func (n *Notice) collectAcks(ctx context.Context) error {
	p := n.peers
	p.mu.Lock()
	members, size := p.roster.Members(), p.roster.Size()
	p.mu.Unlock()
	acks := make(chan bool, len(members))
	for _, m := range members {
		p.spawn("notice to "+m.Node, func(context.Context) {
			_, err := p.net.Ask(ctx, m.Node, &n.msg)
			acks <- err == nil
		})
	}
	for count := 1; 2*count < size; {
		select {
		case ok := <-acks:
			if ok {
				count++
			}
		case <-ctx.Done():
			return errors.Newf("%d of %d nodes acknowledged version %d: %w", count, size, n.msg.Ver, ErrTooFew)
		}
	}
	return nil
}

// Withdraw notifies the other nodes that the commit had no effect. Call it only when that is certain
// (table.ErrUnavailable, table.ErrConflict), never when the outcome is unknown.
func (n *Notice) Withdraw() {
	p := n.peers
	p.mu.Lock()
	p.watch.CommitWithdrawn(noticeKey(p.cfg.Incarnation, &n.msg))
	members := p.roster.Members()
	p.mu.Unlock()
	msg := n.msg
	msg.Withdrawn = true
	for _, m := range members {
		// A node that misses this drops the notice at the first confirmation after watch.MaxCommitDelay.
		_ = p.net.Send(m.Node, &msg)
	}
}

func noticeKey(incarnation string, m *frame.CommitNotice) string {
	return fmt.Sprintf("%s/%d", incarnation, m.Id)
}

// answerNotice records or withdraws the commit notice of another node and acknowledges it. It returns
// nil if the notice is invalid or if too many notices are recorded already.
func (p *Peers) answerNotice(_ context.Context, from peer.Peer, m *frame.CommitNotice) *frame.CommitNoted {
	if m.Ver <= 0 {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if m.Withdrawn {
		p.watch.CommitWithdrawn(noticeKey(from.Incarnation, m))
	} else if !p.watch.CommitAnnounced(time.Now(), noticeKey(from.Incarnation, m), uint64(m.Ver)) {
		return nil
	}
	return &frame.CommitNoted{Ver: m.Ver}
}

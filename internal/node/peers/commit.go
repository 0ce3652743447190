package peers

import (
	"context"
	"fmt"
	"time"

	"geraniumhollow/internal/wire/frame"
	"geraniumhollow/internal/wire/peer"
	"github.com/cockroachdb/errors"
)

// ErrTooFew means that too few nodes are heard to accept a change of the configuration.
var ErrTooFew = errors.New("fewer than half of the nodes are heard")

// Notice is an announced commit.
type Notice struct {
	peers *Peers
	msg   frame.CommitNotice
}

// Announce is the commit rule. It tells the fleet that this node is about to commit a version and
// returns nil when at least half of the nodes, this one included, have noted it. The commit must
// follow at once: it counts as not made if it takes effect later than watch.NoticeLimit. After the
// commit, Refresh spreads the change.
//
// It returns ErrTooFew, or an error of the table, which has to answer first: an announcement whose
// commit cannot be made would only keep the fleet from serving through the outage.
func (p *Peers) Announce(ctx context.Context, version uint64) (*Notice, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	p.mu.Lock()
	may := p.roster.MayCommit(time.Now())
	p.mu.Unlock()
	if !may {
		return nil, ErrTooFew
	}
	if _, _, err := p.cfg.Configs.Version(ctx); err != nil {
		return nil, errors.Newf("before the announcement: %w", err)
	}
	n := &Notice{peers: p, msg: frame.CommitNotice{Id: int(p.notices.Add(1)), Ver: int(version)}}
	p.mu.Lock()
	p.watch.Noticed(time.Now(), noticeKey(p.cfg.Incarnation, &n.msg), version)
	p.mu.Unlock()
	if err := n.spread(ctx); err != nil {
		n.Withdraw()
		return nil, err
	}
	return n, nil
}

// spread asks every node to note the commit, and returns nil when half of the fleet has.
func (n *Notice) spread(ctx context.Context) error {
	p := n.peers
	p.mu.Lock()
	members, size := p.roster.Members(), p.roster.Size()
	p.mu.Unlock()
	noted := make(chan bool, len(members))
	for _, m := range members {
		p.spawn("notice to "+m.Node, func(context.Context) {
			_, err := p.net.Ask(ctx, m.Node, &n.msg)
			noted <- err == nil
		})
	}
	for count := 1; 2*count < size; {
		select {
		case ok := <-noted:
			if ok {
				count++
			}
		case <-ctx.Done():
			return errors.Newf("%d of %d nodes noted version %d: %w", count, size, n.msg.Ver, ErrTooFew)
		}
	}
	return nil
}

// Withdraw tells the fleet that the commit had no effect. It must be called only when that is
// certain (table.ErrUnavailable, table.ErrConflict), and never when the outcome is unknown.
func (n *Notice) Withdraw() {
	p := n.peers
	p.mu.Lock()
	p.watch.Withdrawn(noticeKey(p.cfg.Incarnation, &n.msg))
	members := p.roster.Members()
	p.mu.Unlock()
	msg := n.msg
	msg.Withdrawn = true
	for _, m := range members {
		// A node that misses this forgets the notice with the next confirmation after watch.NoticeLimit.
		_ = p.net.Send(m.Node, &msg)
	}
}

func noticeKey(incarnation string, m *frame.CommitNotice) string {
	return fmt.Sprintf("%s/%d", incarnation, m.Id)
}

// noticed answers a node that is about to commit.
func (p *Peers) noticed(_ context.Context, from peer.Peer, m *frame.CommitNotice) *frame.CommitNoted {
	if m.Ver <= 0 {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if m.Withdrawn {
		p.watch.Withdrawn(noticeKey(from.Incarnation, m))
	} else if !p.watch.Noticed(time.Now(), noticeKey(from.Incarnation, m), uint64(m.Ver)) {
		return nil
	}
	return &frame.CommitNoted{Ver: m.Ver}
}

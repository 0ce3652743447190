package peers

import (
	"cmp"
	"context"
	"encoding/json"
	"slices"
	"sync/atomic"
	"time"

	"geraniumhollow/internal/conf/watch"
	"geraniumhollow/internal/fleet/roster"
	"geraniumhollow/internal/plat/hosts"
	"geraniumhollow/internal/wire/frame"
	"geraniumhollow/internal/wire/peer"
	"github.com/cockroachdb/errors"
	"github.com/zeebo/xxh3"
)

// listing is the platform's list as a node has it. Except for hash it is guarded by Peers.mu.
type listing struct {
	hash atomic.Uint32
	// at is when the list was read from the platform, by this node or by the one that sent it.
	at time.Time
	// polled is the last own read, and differs since when a neighbour has had another list.
	polled  time.Time
	differs time.Time
}

// compare notes whether a neighbour has another list.
func (l *listing) compare(now time.Time, hash int) {
	if hash != 0 && hash != int(l.hash.Load()) && l.differs.IsZero() {
		l.differs = now
	}
}

// hashList returns the encoded form of a list and its hash, which is not 0. It sorts the list.
func hashList(list []hosts.Host) ([]byte, uint32, error) {
	slices.SortFunc(list, func(a, b hosts.Host) int { return cmp.Compare(a.Name, b.Name) })
	raw, err := json.Marshal(list)
	if err != nil {
		return nil, 0, errors.Newf("encode live list: %w", err)
	}
	return raw, max(uint32(xxh3.Hash(raw)), 1), nil
}

// readsList reports whether this node reads the list itself now. A list of 1,000 hosts is some 80 KB,
// so only the reader of a data centre reads it each second and sends it on when it has changed. The
// others do when they have none, hear no reader, lack a neighbour's list, or have not for a while.
func (p *Peers) readsList(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := &p.list
	return p.roster.Reader() == p.cfg.Node || l.at.IsZero() || p.watch.Age(now) > watch.OwnReadAfter ||
		now.Sub(l.polled) > listFallback || (!l.differs.IsZero() && now.Sub(l.differs) > listMismatch)
}

// pollList reads the platform's list if it is this node's turn. When it does not answer, the last
// list stays.
func (p *Peers) pollList(ctx context.Context) {
	now := time.Now()
	if !p.readsList(now) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	list, err := p.cfg.Hosts.List(ctx)
	if err != nil {
		p.cfg.Log.Debug("live list not read", "error", err)
		return
	}
	p.mu.Lock()
	p.list.polled, p.list.differs = now, time.Time{}
	p.mu.Unlock()
	p.takeList(now, list, nil, "")
}

// listReceived takes a list that a peer sent.
func (p *Peers) listReceived(from peer.Peer, m *frame.HostList) {
	at := time.Now().Add(-time.Duration(m.AgeMs) * time.Millisecond)
	_, dec := codec()
	raw, err := dec.DecodeAll(m.List, nil)
	var list []hosts.Host
	if err == nil {
		err = json.Unmarshal(raw, &list)
	}
	if err != nil || m.AgeMs < 0 {
		p.cfg.Log.Warn("live list of a peer not usable", "peer", from.Node, "error", err)
		return
	}
	p.takeList(at, list, m.List, from.Node)
}

// takeList puts a list that was read at a time in force if it is younger than the own one, and sends
// it on if it differs: to all neighbours when this node read it, else along the tree.
func (p *Peers) takeList(at time.Time, list []hosts.Host, packed []byte, from string) {
	raw, hash, err := hashList(list)
	if err != nil {
		p.cfg.Log.Warn("live list not usable", "error", err)
		return
	}
	p.mu.Lock()
	if !at.After(p.list.at) {
		p.mu.Unlock()
		return
	}
	p.list.at = at
	if hash == p.list.hash.Load() {
		p.mu.Unlock()
		return
	}
	p.list.hash.Store(hash)
	p.list.differs = time.Time{}
	gone := p.roster.List(time.Now(), list)
	neighbours := p.roster.Neighbours()
	// Under the lock, so that lists are passed on in their order.
	p.cfg.Listed(list)
	p.mu.Unlock()
	for _, node := range gone {
		p.cfg.Log.Info("node is gone", "peer", node)
		p.net.Drop(node)
	}
	if packed == nil {
		enc, _ := codec()
		packed = enc.EncodeAll(raw, nil)
	}
	for node, rel := range neighbours {
		if node != from && (from == "" || rel == roster.Parent || rel == roster.Child) {
			_ = p.net.Send(node, &frame.HostList{AgeMs: ceilMs(time.Since(at)), List: packed})
		}
	}
	p.tick()
}

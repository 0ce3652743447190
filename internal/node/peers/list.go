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

// listState is the state of this node's copy of the platform's live list. Peers.mu guards all fields
// except hash.
type listState struct {
	hash atomic.Uint32
	// readAt is when this node or the sending node read the list from the platform.
	readAt time.Time
	// polledAt is when this node started its last successful read of the list. differsSince is when a
	// neighbour first reported a different list after the last read or change of this node's copy, or
	// zero if none did.
	polledAt     time.Time
	differsSince time.Time
}

// noteHash records when a neighbour first reports a different list. A hash of 0 means that the
// neighbour has no list.
func (l *listState) noteHash(now time.Time, hash int) {
	if hash != 0 && hash != int(l.hash.Load()) && l.differsSince.IsZero() {
		l.differsSince = now
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

// shouldPollList reports whether this node reads the list from the platform now. A list of 1,000
// hosts takes about 80 KB, so only the reader of a data centre reads it each second and forwards
// changes. Other nodes read it if they have no list, if their configuration was last confirmed longer
// than watch.DirectReadAge ago, which shows that they do not hear from a reader, if a neighbour's list
// has differed for longer than listMismatchDelay, or if their last read is older than listFallback.
func (p *Peers) shouldPollList(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := &p.list
	return p.roster.Reader() == p.cfg.Node || l.readAt.IsZero() || p.watch.Age(now) > watch.DirectReadAge ||
		now.Sub(l.polledAt) > listFallback || (!l.differsSince.IsZero() && now.Sub(l.differsSince) > listMismatchDelay)
}

// pollList reads the platform's live list if shouldPollList allows it. If the read fails, the last
// list stays in use.
func (p *Peers) pollList(ctx context.Context) {
	now := time.Now()
	if !p.shouldPollList(now) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	list, err := p.cfg.Hosts.List(ctx)
	if err != nil {
		p.cfg.Log.Debug("failed to read live list", "error", err)
		return
	}
	p.mu.Lock()
	p.list.polledAt, p.list.differsSince = now, time.Time{}
	p.mu.Unlock()
	p.applyList(now, list, nil, "")
}

// handleHostList handles a live list that a peer sent.
func (p *Peers) handleHostList(from peer.Peer, m *frame.HostList) {
	at := time.Now().Add(-time.Duration(m.AgeMs) * time.Millisecond)
	_, dec := codec()
	raw, err := dec.DecodeAll(m.List, nil)
	var list []hosts.Host
	if err == nil {
		err = json.Unmarshal(raw, &list)
	}
	if err != nil || m.AgeMs < 0 {
		p.cfg.Log.Warn("unusable live list from peer", "peer", from.Node, "error", err)
		return
	}
	p.applyList(at, list, m.List, from.Node)
}

// applyList applies a live list read at the given time if it is newer than the current one. A changed
// list is forwarded to all neighbours if this node read it, else along the tree.
func (p *Peers) applyList(at time.Time, list []hosts.Host, packed []byte, from string) {
	raw, hash, err := hashList(list)
	if err != nil {
		p.cfg.Log.Warn("unusable live list", "error", err)
		return
	}
	p.mu.Lock()
	if !at.After(p.list.readAt) {
		p.mu.Unlock()
		return
	}
	p.list.readAt = at
	if hash == p.list.hash.Load() {
		p.mu.Unlock()
		return
	}
	p.list.hash.Store(hash)
	p.list.differsSince = time.Time{}
	dropped := p.roster.SetHosts(time.Now(), list)
	neighbours := p.roster.Neighbours()
	// Called with the lock held, so that lists are delivered in order.
	p.cfg.Listed(list)
	p.mu.Unlock()
	for _, node := range dropped {
		p.cfg.Log.Info("node removed from live list", "peer", node)
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

// Package peers runs a node's fleet membership: it connects the state machines for membership
// (fleet/roster) and configuration (conf/watch) to the peer links (wire/peer), the platform's live
// list and the configuration table.
package peers

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"geraniumhollow/internal/conf/apply"
	"geraniumhollow/internal/conf/schema"
	"geraniumhollow/internal/conf/watch"
	"geraniumhollow/internal/core/tasks"
	"geraniumhollow/internal/fleet/roster"
	"geraniumhollow/internal/plat/hosts"
	"geraniumhollow/internal/route/shed"
	"geraniumhollow/internal/wire/frame"
	"geraniumhollow/internal/wire/peer"
	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
)

// Loop intervals and request timeouts.
const (
	tickInterval = 100 * time.Millisecond
	listInterval = time.Second
	// listFallback is the longest time a node goes without reading the list itself, in case the
	// readers cannot read it. At the target fleet size it costs a node about 1 KB/s.
	listFallback = time.Minute
	// listMismatchDelay is how long a node waits to receive a neighbour's differing list before it reads
	// the list itself.
	listMismatchDelay = 2 * time.Second
	// readTimeout bounds a read of the table or the list. A read that starts at a confirmation age of
	// 2 s and times out still leaves half a second before the age exceeds its bound.
	readTimeout    = 1500 * time.Millisecond
	requestTimeout = time.Second
	probeTimeout   = 500 * time.Millisecond
)

// firstSeqRange is the range of an incarnation's random first heartbeat number. A wide range makes it
// unlikely that an echo meant for an earlier incarnation matches a number of this one.
const firstSeqRange = 1 << 24

// userMembership identifies membership as the user of the links that carry heartbeats.
const userMembership = "membership"

// Config holds the settings and dependencies of Peers.
type Config struct {
	Node       string
	DataCentre string
	// Incarnation grows with each start of the node; see NewIncarnation.
	Incarnation string
	Hosts       hosts.Lister
	Configs     *apply.Store
	Log         hclog.Logger
	// Apply puts a configuration version into effect. Calls are in ascending order of version. It must not call back into
	// Peers.
	Apply func(version uint64, doc *schema.Document)
	// Listed is called on each change of the platform's live list. It must not call back into Peers.
	// It may be nil.
	Listed func(list []hosts.Host)
	// Installed is called with each installed version and the node that sent it, or "" for the table.
	// ModeChanged is called on each mode change. Both must return without blocking, must not call
	// back into Peers, and may be nil.
	Installed   func(version uint64, from string)
	ModeChanged func(from, to watch.Mode, st Status)
	// Dial opens connections to other nodes; nil means plain TCP.
	Dial func(ctx context.Context, addr string) (net.Conn, error)
	// Messages is the memory for messages of other nodes that are being read; nil for no limit.
	Messages *shed.Budget
}

// NewIncarnation returns an incarnation for a process that starts at now. It is ordered by the
// host's clock, which must not step back by more than the time between two starts.
func NewIncarnation(now time.Time) string { return fmt.Sprintf("%016x", now.UnixNano()) }

// Status is a node's view of the fleet and of its configuration.
type Status struct {
	Version uint64
	// Age is the time since the version was last confirmed. Confirmed is false if it never was.
	Age       time.Duration
	Confirmed bool
	Mode      watch.Mode
	// Heard counts the nodes whose heartbeats arrive, Size all nodes. Both include this node.
	Heard   int
	Size    int
	Members []roster.Member
}

// Peers manages the fleet membership of one node. It is safe for concurrent use.
type Peers struct {
	cfg Config
	net *peer.Net

	mu             sync.Mutex
	group          *tasks.Group
	roster         *roster.Roster
	watch          *watch.Tracker
	packedDocument []byte
	drainState     string
	links          []string
	lastMode       watch.Mode
	list           listState
	// notices counts the announcements of this node.
	notices atomic.Int64
	// currentUntil is when the mode watch.Current ends, as the duration since base, the time at which
	// Peers was created. It only grows.
	base         time.Time
	currentUntil atomic.Int64
	// suspicions counts the transitions of nodes to suspect; suspects is the current number.
	suspicions uint64
	suspects   int
}

// New returns the membership of a node. Run starts it.
func New(cfg Config) *Peers {
	if cfg.Listed == nil {
		cfg.Listed = func([]hosts.Host) {}
	}
	if cfg.Installed == nil {
		cfg.Installed = func(uint64, string) {}
	}
	if cfg.ModeChanged == nil {
		cfg.ModeChanged = func(watch.Mode, watch.Mode, Status) {}
	}
	first := rand.IntN(firstSeqRange) //nolint:gosec // No secret: it only has to differ between starts.
	self := roster.NodeInfo{Node: cfg.Node, DataCentre: cfg.DataCentre}
	p := &Peers{
		cfg: cfg, roster: roster.New(self, first, time.Now()), watch: watch.New(), lastMode: watch.Isolated,
		base: time.Now(),
	}
	p.net = peer.New(peer.Config{
		Self:    peer.Peer{Node: cfg.Node, Incarnation: cfg.Incarnation, DataCentre: cfg.DataCentre},
		Log:     cfg.Log.Named("links"),
		Resolve: p.resolve,
		Accept:  p.accept,
		Changed: p.linkChanged,
		Dial:    cfg.Dial, Messages: cfg.Messages,
	})
	peer.On(p.net, p.handleHeartbeat)
	peer.On(p.net, p.handleOffer)
	peer.On(p.net, func(from peer.Peer, m *frame.ConfigDocument) { p.handleDocument(from.Node, m) })
	peer.On(p.net, p.handleHostList)
	peer.OnAsk(p.net, p.answerConfigAsk)
	peer.OnAsk(p.net, p.answerProbe)
	peer.OnAsk(p.net, p.answerNotice)
	return p
}

// Net returns the peer links, so that other parts of the node can exchange messages over them.
func (p *Peers) Net() *peer.Net { return p.net }

// Run maintains the membership until ctx ends. ln accepts links from other nodes.
func (p *Peers) Run(ctx context.Context, ln net.Listener) error {
	g := tasks.New(ctx)
	g.Go("links", func(ctx context.Context) error { return p.net.Run(ctx, ln) })
	// Publish the group only now: its first goroutine must not start concurrently with Wait.
	p.mu.Lock()
	p.group = g
	p.mu.Unlock()
	g.Go("list", func(ctx context.Context) error { return tasks.EveryFromNow(ctx, listInterval, p.pollList) })
	g.Go("ticks", func(ctx context.Context) error {
		return tasks.EveryFromNow(ctx, tickInterval, func(context.Context) { p.tick() })
	})
	if err := g.Wait(); err != nil {
		return errors.Newf("membership: %w", err)
	}
	return nil
}

// Status returns the current view of the node.
func (p *Peers) Status() Status {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	heard, size := p.roster.HeardCount(now), p.roster.Size()
	return Status{
		Version:   p.watch.Version(),
		Age:       p.watch.Age(now),
		Confirmed: !p.watch.Confirmed().IsZero(),
		Mode:      p.watch.Mode(now, heard, size, p.roster.HighestKnown(now)),
		Heard:     heard,
		Size:      size,
		Members:   p.roster.Members(),
	}
}

// Mode returns the current mode. It takes no lock while the configuration is current.
func (p *Peers) Mode() watch.Mode {
	if int64(time.Since(p.base)) < p.currentUntil.Load() {
		return watch.Current
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.modeNow(time.Now())
}

// modeNow returns the mode, and logs and reports a change. p.mu is held.
func (p *Peers) modeNow(now time.Time) watch.Mode {
	mode := p.watch.Mode(now, p.roster.HeardCount(now), p.roster.Size(), p.roster.HighestKnown(now))
	if mode == watch.Current {
		p.currentUntil.Store(int64(p.watch.Confirmed().Add(watch.MaxCurrentAge).Sub(p.base)))
	}
	if mode != p.lastMode {
		p.cfg.Log.Info("mode changed", "from", p.lastMode, "to", mode, "version", p.watch.Version(),
			"heard", p.roster.HeardCount(now), "size", p.roster.Size())
		p.cfg.ModeChanged(p.lastMode, mode, Status{
			Version: p.watch.Version(), Age: p.watch.Age(now), Confirmed: !p.watch.Confirmed().IsZero(), Mode: mode,
			Heard: p.roster.HeardCount(now), Size: p.roster.Size(),
		})
		p.lastMode = mode
	}
	return mode
}

// Refresh reads the version row immediately. Call it after committing a change, so that the change
// does not wait for the next periodic read by a data centre's reader.
func (p *Peers) Refresh() {
	p.mu.Lock()
	p.watch.RequestRead()
	p.mu.Unlock()
	p.tick()
}

// DroppedAt returns when a node was removed from the platform's live list.
func (p *Peers) DroppedAt(node string) (time.Time, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.roster.DroppedAt(node)
}

// Suspicions returns how often a reachable node became suspect.
func (p *Peers) Suspicions() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.suspicions
}

// SetDrain sets this node's drain state and sends it to the peers in an immediate heartbeat.
func (p *Peers) SetDrain(state string) {
	p.mu.Lock()
	p.drainState = state
	for node := range p.roster.Neighbours() {
		p.roster.LinkEstablished(node)
	}
	p.mu.Unlock()
	p.tick()
}

// Hold blocks all membership work until release is called, like a paused process. It is for tests
// and measurements.
func (p *Peers) Hold() (release func()) { //nolint:nonamedreturns // Says what the function does.
	p.mu.Lock()
	return p.mu.Unlock
}

// resolve returns the address of a node.
func (p *Peers) resolve(node string) (string, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	m, ok := p.roster.Member(node)
	return m.Address, ok && m.Address != ""
}

func (p *Peers) accept(from peer.Peer) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.roster.AcceptIncarnation(time.Now(), from.Node, from.Incarnation)
}

func (p *Peers) linkChanged(to peer.Peer, up bool) {
	p.cfg.Log.Debug("link changed", "peer", to.Node, "incarnation", to.Incarnation, "up", up)
	if !up {
		return
	}
	p.mu.Lock()
	p.roster.LinkEstablished(to.Node)
	p.mu.Unlock()
}

// tick advances the state machines and executes the actions they return.
func (p *Peers) tick() {
	p.mu.Lock()
	now := time.Now()
	own := roster.LocalState{Version: p.watch.Version(), Confirmed: p.watch.Confirmed(), Drain: p.drainState, HighestKnown: p.watch.HighestKnown()}
	sends, probes := p.roster.Tick(now, own)
	actions := p.watch.Tick(now, p.roster.Reader() == p.cfg.Node)
	links := p.roster.LinkTargets()
	changed := len(links) != len(p.links)
	for i := 0; !changed && i < len(links); i++ {
		changed = links[i] != p.links[i]
	}
	p.links = links
	p.countSuspects()
	p.modeNow(now)
	p.mu.Unlock()

	if changed {
		p.net.Want(userMembership, links)
	}
	for _, s := range sends {
		p.send(s)
	}
	for _, pr := range probes {
		p.spawn("probe", func(ctx context.Context) { p.probeVia(ctx, pr) })
	}
	for _, a := range actions {
		p.spawn("configuration", func(ctx context.Context) { p.runAction(ctx, a) })
	}
}

// countSuspects counts and logs new suspicions. p.mu is held.
func (p *Peers) countSuspects() {
	n := p.roster.SuspectCount()
	if n > p.suspects {
		p.suspicions += uint64(n - p.suspects)
		p.cfg.Log.Info("peers became suspect", "suspects", n)
	}
	p.suspects = n
}

// spawn starts f in the node's task group. It does nothing if the group is not running.
func (p *Peers) spawn(name string, f func(ctx context.Context)) {
	p.mu.Lock()
	g := p.group
	p.mu.Unlock()
	if g == nil || g.Context().Err() != nil {
		return
	}
	g.Go(name, func(ctx context.Context) error {
		f(ctx)
		return nil
	})
}

// send sends a heartbeat. Send errors are ignored: a missing or full link shows up as missing
// heartbeats from the peer.
func (p *Peers) send(s roster.OutgoingHeartbeat) {
	b := s.Heartbeat
	_ = p.net.Send(s.To, &frame.Heartbeat{
		Seq: b.Seq, Echo: b.Echo, HoldMs: int(b.Hold.Milliseconds()),
		Rel: frame.HeartbeatRel(b.Relation), Ver: int(b.Version), AgeMs: ceilMs(b.Age),
		Next: int(b.HighestKnown), List: int(p.list.hash.Load()), State: b.Drain, Heard: b.Heard, Fleet: b.Fleet,
	})
}

// ceilMs rounds up to milliseconds, so that a confirmation is never reported as newer than it is.
func ceilMs(d time.Duration) int { return int((d + time.Millisecond - 1) / time.Millisecond) }

// handleHeartbeat processes a heartbeat from a peer.
func (p *Peers) handleHeartbeat(from peer.Peer, m *frame.Heartbeat) {
	if m.Ver < 0 || m.AgeMs < 0 || m.HoldMs < 0 || m.Next < 0 {
		return
	}
	b := roster.Heartbeat{
		Seq: m.Seq, Echo: m.Echo, Hold: time.Duration(m.HoldMs) * time.Millisecond,
		Relation: roster.Relation(m.Rel), Version: uint64(m.Ver), Age: time.Duration(m.AgeMs) * time.Millisecond,
		Drain: m.State, Heard: m.Heard, Fleet: m.Fleet, HighestKnown: uint64(m.Next),
	}
	p.mu.Lock()
	now := time.Now()
	before := p.watch.Confirmed()
	asOf, proved := p.roster.HeartbeatReceived(now, from.Node, b)
	p.watch.HeartbeatReceived(now, from.Node, b.Version, b.Age)
	p.list.noteHash(now, m.List)
	if proved {
		p.watch.PeerConfirmed(asOf, b.Version)
	}
	urgent := m.Echo == 0 || p.watch.Confirmed().After(before)
	p.mu.Unlock()
	if urgent {
		p.tick()
	}
}

// probeVia asks other nodes whether they can reach a node whose heartbeats are missing.
func (p *Peers) probeVia(ctx context.Context, pr roster.ProbeRequest) {
	ctx, cancel := context.WithTimeout(ctx, 2*probeTimeout)
	defer cancel()
	answers := make(chan bool, len(pr.Via))
	for _, via := range pr.Via {
		p.spawn("probe via "+via, func(context.Context) {
			reply, err := p.net.Ask(ctx, via, &frame.ProbeAsk{Node: pr.Node})
			r, ok := reply.(*frame.ProbeReply)
			answers <- err == nil && ok && r.Heard
		})
	}
	reached := false
	for range pr.Via {
		select {
		case ok := <-answers:
			reached = reached || ok
		case <-ctx.Done():
		}
	}
	p.mu.Lock()
	p.roster.ProbeDone(time.Now(), pr.Node, reached)
	p.mu.Unlock()
	// A link that delivers nothing may be broken without reporting an error. Drop closes it, and it is
	// opened again if it is still wanted.
	p.net.Drop(pr.Node)
	p.tick()
}

// answerProbe reports whether this node can reach another one: it receives its heartbeats, or the other
// node answers a request.
func (p *Peers) answerProbe(ctx context.Context, from peer.Peer, m *frame.ProbeAsk) *frame.ProbeReply {
	if m.Node == p.cfg.Node {
		return &frame.ProbeReply{Heard: true}
	}
	p.mu.Lock()
	heard := p.roster.HearsFrom(time.Now(), m.Node)
	p.mu.Unlock()
	if heard || m.Node == from.Node {
		return &frame.ProbeReply{Heard: heard}
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	reply, err := p.net.Ask(ctx, m.Node, &frame.ProbeAsk{Node: m.Node})
	r, ok := reply.(*frame.ProbeReply)
	return &frame.ProbeReply{Heard: err == nil && ok && r.Heard}
}

// Package peer keeps WebSocket links between nodes and carries the messages of wire/frame on them.
//
// There is at most one link for each pair of nodes. A link begins with a hello in both directions.
// It carries one-way messages and asks with a reply. A slow or silent peer never blocks a sender:
// the queue of a link is bounded, and what does not fit is refused at once.
package peer

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"geraniumhollow/internal/core/httpd"
	"geraniumhollow/internal/core/logbuf"
	"geraniumhollow/internal/core/sets"
	"geraniumhollow/internal/core/tasks"
	"geraniumhollow/internal/route/shed"
	"geraniumhollow/internal/wire/frame"
	"github.com/cockroachdb/errors"
	"github.com/fasthttp/websocket"
	"github.com/hashicorp/go-hclog"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/singleflight"
)

// Errors of Send and Ask.
var (
	// ErrNoLink means that there is no link to the node and nothing was sent.
	ErrNoLink = errors.New("no link to node")
	// ErrQueueFull means that the peer takes messages too slowly and nothing was sent.
	ErrQueueFull = errors.New("send queue full")
	// ErrLinkLost means that the link ended before the reply; the peer may have handled the ask.
	ErrLinkLost = errors.New("link lost")
	// ErrRefused means that the peer did not handle the ask.
	ErrRefused = errors.New("ask refused")
	// ErrClosed means that the links have not been started or have ended; nothing was sent.
	ErrClosed = errors.New("links closed")
)

// path is the path of the WebSocket upgrade.
const path = "/v1/peer"

// Bounds of a link.
const (
	// bufferBytes is small because most messages are under 200 bytes; a longer one is written in parts.
	bufferBytes = 512
	// queueMessages and queueBytes bound what waits for a slow peer; one document always fits.
	queueMessages = 256
	queueBytes    = 2 * frame.MaxBytes
	// writeTimeout ends a link whose peer takes nothing.
	writeTimeout = 2 * time.Second
	// idleTimeout ends a link without messages; links that carry membership have one each second.
	idleTimeout = 30 * time.Second
	// helloTimeout bounds dial, upgrade and hello.
	helloTimeout = 2 * time.Second
	// staleAfter lets a new link replace one from which nothing was read for that long.
	staleAfter = 3 * time.Second
	// maxLinks bounds the links of a node: a roster, and some that are being replaced.
	maxLinks = 1024
	// maxAsks bounds the asks of all peers that are handled at the same time.
	maxAsks = 512
)

// Peer is one incarnation of a node.
type Peer struct {
	Node        string
	Incarnation string
	DataCentre  string
}

// Config is what the links need of the rest of the node.
type Config struct {
	Self Peer
	Log  hclog.Logger
	// Resolve returns the peer address, an IP and port, of a node.
	Resolve func(node string) (string, bool)
	// Accept reports whether a link to this incarnation may exist.
	Accept func(p Peer) bool
	// Changed is told of each link that begins or ends. It must not block. It may be nil.
	Changed func(p Peer, up bool)
	// Dial makes a connection; nil for plain TCP.
	Dial func(ctx context.Context, addr string) (net.Conn, error)
	// Messages is the memory for messages that are being read; nil for no limit.
	Messages *shed.Budget
}

// Handler handles a message. The reply is nil for a one-way message; a nil reply to an ask refuses it.
type Handler func(ctx context.Context, from Peer, msg any) any

// Net holds the links of one node. It is safe for concurrent use.
type Net struct {
	cfg    Config
	stats  *counters
	asks   chan struct{}
	flight singleflight.Group
	// shedLog tells of links whose messages gave way.
	shedLog logbuf.Limited

	mu       sync.Mutex
	group    *tasks.Group
	closed   bool
	handlers map[frame.Kind]Handler
	links    map[string]*link
	wants    map[string]sets.Set[string]
	keepers  map[string]context.CancelFunc
}

// New returns links that have not been started.
func New(cfg Config) *Net {
	if cfg.Dial == nil {
		cfg.Dial = func(ctx context.Context, addr string) (net.Conn, error) {
			var d net.Dialer
			return d.DialContext(ctx, "tcp", addr)
		}
	}
	if cfg.Changed == nil {
		cfg.Changed = func(Peer, bool) {}
	}
	return &Net{
		cfg:      cfg,
		stats:    newCounters(),
		asks:     make(chan struct{}, maxAsks),
		handlers: make(map[frame.Kind]Handler),
		links:    make(map[string]*link),
		wants:    make(map[string]sets.Set[string]),
		keepers:  make(map[string]context.CancelFunc),
	}
}

// On handles one-way messages of type M. The handler runs on the link's reader and must not block.
func On[M any](n *Net, h func(from Peer, msg *M)) {
	n.handle(new(M), func(_ context.Context, from Peer, msg any) any {
		if m, ok := msg.(*M); ok {
			h(from, m)
		}
		return nil
	})
}

// OnAsk answers asks of type M. A nil reply refuses the ask. The handler runs in a goroutine of its
// own and its context ends with the link.
func OnAsk[M, R any](n *Net, h func(ctx context.Context, from Peer, msg *M) *R) {
	n.handle(new(M), func(ctx context.Context, from Peer, msg any) any {
		m, ok := msg.(*M)
		if !ok {
			return nil
		}
		if r := h(ctx, from, m); r != nil {
			return r
		}
		return nil
	})
}

// handle registers a handler for the kind of msg.
func (n *Net) handle(msg any, h Handler) {
	k, err := frame.KindOf(msg)
	if err != nil {
		panic(err) // The type is not in the schema: a fault of the calling code.
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.handlers[k] = h
}

// Run accepts links on ln and keeps the wanted ones until ctx ends. All links have ended when it
// returns.
func (n *Net) Run(ctx context.Context, ln net.Listener) error {
	g := tasks.New(ctx)
	srv := &fasthttp.Server{
		Handler:               n.upgrade,
		ReadTimeout:           helloTimeout,
		MaxRequestBodySize:    helloBytes, // An upgrade has no body.
		Concurrency:           maxLinks,
		ReadBufferSize:        2 << 10,
		WriteBufferSize:       bufferBytes,
		NoDefaultServerHeader: true,
		NoDefaultDate:         true,
		// Close on a hijacked connection has no effect without this.
		KeepHijackedConns: true,
		// A link would keep its HTTP buffers without this.
		ReduceMemoryUsage: true,
		Logger:            quiet{},
	}
	g.Go("accept", func(ctx context.Context) error { return httpd.Serve(ctx, srv, ln) })
	g.Go("close", func(ctx context.Context) error {
		<-ctx.Done()
		n.close()
		return nil
	})
	// The group is shown to others only now: its first goroutine must not start while Wait begins.
	n.mu.Lock()
	n.group = g
	for node := range n.wanted() {
		n.startKeeper(node)
	}
	n.mu.Unlock()
	if err := g.Wait(); err != nil {
		return errors.Newf("peer links: %w", err)
	}
	return nil
}

// quiet drops the HTTP server's log lines; a failed upgrade is the dialler's to report.
type quiet struct{}

// Printf implements fasthttp.Logger.
func (quiet) Printf(string, ...any) {}

// close ends all links; new ones are refused.
func (n *Net) close() {
	n.mu.Lock()
	n.closed = true
	links := make([]*link, 0, len(n.links))
	for _, l := range n.links {
		links = append(links, l)
	}
	n.mu.Unlock()
	for _, l := range links {
		l.close()
	}
}

// Want keeps links to the nodes for one user of the links; other users' nodes are not affected. A
// link that no user wants any more ends when it is idle.
func (n *Net) Want(user string, nodes []string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	set := sets.New(nodes...)
	set.Remove(n.cfg.Self.Node)
	n.wants[user] = set
	wanted := n.wanted()
	for node, cancel := range n.keepers {
		if !wanted.Has(node) {
			cancel()
			delete(n.keepers, node)
		}
	}
	for node := range wanted {
		n.startKeeper(node)
	}
}

// wanted returns the nodes that some user wants a link to. n.mu is held.
func (n *Net) wanted() sets.Set[string] {
	all := sets.New[string]()
	for _, set := range n.wants {
		for node := range set {
			all.Add(node)
		}
	}
	return all
}

// startKeeper starts the goroutine that keeps the link to a node. n.mu is held.
func (n *Net) startKeeper(node string) {
	if n.group == nil || n.closed || n.keepers[node] != nil {
		return
	}
	ctx, cancel := context.WithCancel(n.group.Context())
	n.keepers[node] = cancel
	n.group.Go("link to "+node, func(context.Context) error {
		n.keep(ctx, node)
		return nil
	})
}

// Send queues a one-way message on the link to a node. It never blocks. It returns ErrNoLink,
// ErrQueueFull or an error of the codec; nil does not mean that the message arrives.
func (n *Net) Send(node string, msg any) error {
	n.mu.Lock()
	l := n.links[node]
	n.mu.Unlock()
	if l == nil {
		return errors.Newf("send to %s: %w", node, ErrNoLink)
	}
	return l.send(frame.Header{Exchange: frame.OneWay}, msg)
}

// Ask sends a message and waits for its reply until ctx ends. It makes a link when there is none.
// ErrNoLink, ErrQueueFull and ErrClosed prove that nothing was sent; ErrRefused that the peer did
// not handle the ask.
func (n *Net) Ask(ctx context.Context, node string, msg any) (any, error) {
	l, err := n.connect(ctx, node)
	if err != nil {
		return nil, err
	}
	return l.ask(ctx, msg)
}

// Peer returns the incarnation at the other end of the link to a node.
func (n *Net) Peer(node string) (Peer, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := n.links[node]
	if l == nil {
		return Peer{}, false
	}
	return l.peer, true
}

// Drop closes the link to a node, so that a wanted one is made anew.
func (n *Net) Drop(node string) {
	n.mu.Lock()
	l := n.links[node]
	n.mu.Unlock()
	if l != nil {
		l.close()
	}
}

// Links returns the number of links.
func (n *Net) Links() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.links)
}

// Stats returns what was sent and received so far.
func (n *Net) Stats() Stats { return n.stats.snapshot() }

// register makes l the link to its peer, or reports false when another link is preferred. The
// caller closes the link in that case.
func (n *Net) register(l *link) bool {
	n.mu.Lock()
	old := n.links[l.peer.Node]
	if n.closed || len(n.links) >= maxLinks || (old != nil && !n.replaces(l, old)) {
		n.mu.Unlock()
		return false
	}
	n.links[l.peer.Node] = l
	n.mu.Unlock()
	if old != nil {
		old.close()
	}
	n.cfg.Changed(l.peer, true)
	return true
}

// replaces decides between two links of a pair in the same way on both sides: the link that the
// node with the smaller name made stays, unless nothing was read from it for a while.
func (n *Net) replaces(l, old *link) bool {
	if l.peer.Incarnation != old.peer.Incarnation {
		return true
	}
	if l.dialled == old.dialled || time.Since(old.lastRead()) > staleAfter {
		return true
	}
	return l.dialled == (n.cfg.Self.Node < l.peer.Node)
}

// unregister forgets l if it still is the link to its peer.
func (n *Net) unregister(l *link) {
	n.mu.Lock()
	current := n.links[l.peer.Node] == l
	if current {
		delete(n.links, l.peer.Node)
	}
	n.mu.Unlock()
	if current {
		n.cfg.Changed(l.peer, false)
	}
}

// handler returns the handler of a kind, or nil.
func (n *Net) handler(k frame.Kind) Handler {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.handlers[k]
}

// jitter returns a random time between 0 and limit.
func jitter(limit time.Duration) time.Duration {
	return time.Duration(rand.Int64N(int64(limit) + 1)) //nolint:gosec // Spreads load; no secret.
}

// upgrader accepts links. Nodes are not browsers and send no Origin.
var upgrader = websocket.FastHTTPUpgrader{ReadBufferSize: bufferBytes, WriteBufferSize: bufferBytes}

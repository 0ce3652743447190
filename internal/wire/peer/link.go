package peer

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"geraniumhollow/internal/core/tasks"
	"geraniumhollow/internal/wire/frame"
	"github.com/cenkalti/backoff/v5"
	"github.com/cockroachdb/errors"
	"github.com/fasthttp/websocket"
	"github.com/valyala/fasthttp"
)

// outgoing is an encoded frame that waits to be written.
type outgoing struct {
	kind  frame.Kind
	bytes []byte
}

// answer ends an ask.
type answer struct {
	msg any
	err error
}

// link is one connection to a peer after both hellos.
type link struct {
	net  *Net
	ws   *websocket.Conn
	peer Peer
	// dialled says that this side made the connection.
	dialled bool
	queue   chan outgoing
	queued  atomic.Int64
	read    atomic.Int64
	ctx     context.Context
	cancel  context.CancelFunc

	mu      sync.Mutex
	lastID  uint64
	pending map[uint64]chan answer
}

// helloBytes bounds the first message of a link, which anyone who reaches the port may send. A hello has some tens of bytes.
const helloBytes = 4 << 10

// newLink exchanges hellos on ws. The link is not registered yet.
func (n *Net) newLink(ctx context.Context, ws *websocket.Conn, dialled bool) (*link, error) {
	ws.SetReadLimit(helloBytes)
	_ = ws.SetReadDeadline(time.Now().Add(helloTimeout))
	_ = ws.SetWriteDeadline(time.Now().Add(helloTimeout))
	p, err := n.exchangeHello(ws, dialled)
	if err != nil {
		return nil, err
	}
	if p.Node == n.cfg.Self.Node || !n.cfg.Accept(p) {
		return nil, errors.Newf("incarnation %s of %s is not expected: %w", p.Incarnation, p.Node, ErrNoLink)
	}
	ws.SetReadLimit(frame.MaxBytes)
	l := &link{
		net: n, ws: ws, peer: p, dialled: dialled,
		queue:   make(chan outgoing, queueMessages),
		pending: make(map[uint64]chan answer),
	}
	l.ctx, l.cancel = context.WithCancel(ctx)
	l.read.Store(time.Now().UnixNano())
	return l, nil
}

// exchangeHello sends and receives a hello; the side that dialled is first.
func (n *Net) exchangeHello(ws *websocket.Conn, dialled bool) (Peer, error) {
	if dialled {
		if err := n.sendHello(ws, dialled); err != nil {
			return Peer{}, err
		}
	}
	p, err := n.readHello(ws, dialled)
	if err != nil {
		return Peer{}, err
	}
	if !dialled {
		err = n.sendHello(ws, dialled)
	}
	return p, err
}

func (n *Net) sendHello(ws *websocket.Conn, dialled bool) error {
	s := n.cfg.Self
	b, err := frame.Encode(frame.Header{}, &frame.Hello{Node: s.Node, Inc: s.Incarnation, Dc: s.DataCentre})
	if err != nil {
		return err
	}
	if err := ws.WriteMessage(websocket.BinaryMessage, b); err != nil {
		return errors.Newf("write hello: %w", err)
	}
	n.stats.sent[frame.KindHello].add(wireBytes(len(b), dialled))
	return nil
}

func (n *Net) readHello(ws *websocket.Conn, dialled bool) (Peer, error) {
	_, b, err := ws.ReadMessage()
	if err != nil {
		return Peer{}, errors.Newf("read hello: %w", err)
	}
	_, msg, err := frame.Decode(b)
	if err != nil {
		return Peer{}, err
	}
	h, ok := msg.(*frame.Hello)
	if !ok {
		return Peer{}, errors.Newf("first message is %T: %w", msg, frame.ErrMalformed)
	}
	n.stats.received[frame.KindHello].add(wireBytes(len(b), !dialled))
	return Peer{Node: h.Node, Incarnation: h.Inc, DataCentre: h.Dc}, nil
}

// upgrade turns an HTTP request into a link and runs it.
func (n *Net) upgrade(rc *fasthttp.RequestCtx) {
	if string(rc.Path()) != path {
		rc.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	_ = upgrader.Upgrade(rc, func(ws *websocket.Conn) {
		done := make(chan struct{})
		if !n.spawn("accepted link", func(ctx context.Context) {
			defer close(done)
			if l, err := n.newLink(ctx, ws, false); err == nil && n.register(l) {
				l.run()
				return
			}
			_ = ws.Close()
		}) {
			_ = ws.Close()
			return
		}
		<-done
	})
}

// spawn starts f in the group of the links, or reports false when they have ended.
func (n *Net) spawn(name string, f func(ctx context.Context)) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed || n.group == nil {
		return false
	}
	n.group.Go(name, func(ctx context.Context) error {
		f(ctx)
		return nil
	})
	return true
}

// connect returns the link to a node and makes one when there is none.
func (n *Net) connect(ctx context.Context, node string) (*link, error) {
	n.mu.Lock()
	l, closed := n.links[node], n.closed || n.group == nil
	n.mu.Unlock()
	if closed {
		return nil, ErrClosed
	}
	if l != nil {
		return l, nil
	}
	result := n.flight.DoChan(node, func() (any, error) { return n.dial(node) })
	select {
	case <-ctx.Done():
		return nil, errors.Mark(errors.Newf("connect to %s: %w", node, ctx.Err()), ErrNoLink)
	case r := <-result:
		if r.Err != nil {
			return nil, errors.Mark(r.Err, ErrNoLink)
		}
		l, _ := r.Val.(*link)
		return l, nil
	}
}

// dial makes a link to a node and starts it.
func (n *Net) dial(node string) (*link, error) {
	n.mu.Lock()
	l, g, closed := n.links[node], n.group, n.closed
	n.mu.Unlock()
	if closed || g == nil {
		return nil, ErrClosed
	}
	if l != nil {
		return l, nil
	}
	addr, ok := n.cfg.Resolve(node)
	if !ok {
		return nil, errors.Newf("no address of %s: %w", node, ErrNoLink)
	}
	ctx, cancel := context.WithTimeout(g.Context(), helloTimeout)
	defer cancel()
	d := websocket.Dialer{
		ReadBufferSize: bufferBytes, WriteBufferSize: bufferBytes,
	}
	var shake *handshakeConn
	d.NetDialContext = func(ctx context.Context, _, addr string) (net.Conn, error) {
		nc, err := n.cfg.Dial(ctx, addr)
		if err != nil {
			return nil, errors.Newf("connect: %w", err)
		}
		shake = &handshakeConn{Conn: nc, left: handshakeBytes}
		return shake, nil
	}
	ws, resp, err := d.DialContext(ctx, "ws://"+addr+path, nil)
	if err != nil {
		return nil, errors.Newf("dial %s: %w", node, err)
	}
	_ = resp.Body.Close()
	shake.done = true
	stop := context.AfterFunc(ctx, func() { _ = ws.Close() })
	l, err = n.newLink(g.Context(), ws, true)
	if !stop() && err == nil {
		err = errors.Newf("hello of %s: %w", node, ctx.Err())
	}
	if err == nil && l.peer.Node != node {
		err = errors.Newf("%s answered as %s: %w", node, l.peer.Node, ErrNoLink)
	}
	if err != nil {
		_ = ws.Close()
		return nil, err
	}
	return n.start(l)
}

// start registers and runs a link that this side dialled, or returns the one that is preferred.
func (n *Net) start(l *link) (*link, error) {
	if !n.register(l) {
		l.close()
		n.mu.Lock()
		defer n.mu.Unlock()
		if other := n.links[l.peer.Node]; other != nil {
			return other, nil
		}
		return nil, errors.Newf("link to %s: %w", l.peer.Node, ErrNoLink)
	}
	if !n.spawn("dialled link", func(context.Context) { l.run() }) {
		n.unregister(l)
		l.close()
		return nil, ErrClosed
	}
	return l, nil
}

// Times of keep.
const (
	// yieldTime is how long the node with the larger name leaves dialling to the other.
	yieldTime    = 300 * time.Millisecond
	firstBackoff = 100 * time.Millisecond
	maxBackoff   = 2 * time.Second
)

// keep holds a link to a node until ctx ends, with jittered backoff between attempts.
func (n *Net) keep(ctx context.Context, node string) {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval, b.MaxInterval = firstBackoff, maxBackoff
	wait := jitter(firstBackoff / 2)
	if n.cfg.Self.Node > node {
		wait += yieldTime
	}
	for tasks.Sleep(ctx, wait) {
		l, err := n.connect(ctx, node)
		if err != nil {
			n.cfg.Log.Debug("no link", "peer", node, "error", err)
			wait = b.NextBackOff()
			continue
		}
		began := time.Now()
		select {
		case <-ctx.Done():
			return
		case <-l.ctx.Done():
		}
		// A link that lasted resets the backoff, so that links that end at once are not retried fast.
		if time.Since(began) > maxBackoff {
			b.Reset()
		}
		wait = b.NextBackOff()
	}
}

// run reads and writes until the link ends.
func (l *link) run() {
	stop := context.AfterFunc(l.ctx, func() { _ = l.ws.Close() })
	defer stop()
	if !l.net.spawn("link writer", func(context.Context) { l.writeLoop() }) {
		l.cancel()
	}
	l.readLoop()
	l.close()
	l.net.unregister(l)
	l.failPending()
}

// close ends the link. It does not wait.
func (l *link) close() {
	l.cancel()
	_ = l.ws.Close()
}

// lastRead returns when the last message was read.
func (l *link) lastRead() time.Time { return time.Unix(0, l.read.Load()) }

func (l *link) writeLoop() {
	for {
		select {
		case <-l.ctx.Done():
			return
		case o := <-l.queue:
			_ = l.ws.SetWriteDeadline(time.Now().Add(writeTimeout))
			err := l.ws.WriteMessage(websocket.BinaryMessage, o.bytes)
			l.queued.Add(-int64(len(o.bytes)))
			if err != nil {
				l.close()
				return
			}
			// A refusal of an unknown kind has no counter.
			if c, ok := l.net.stats.sent[o.kind]; ok {
				c.add(wireBytes(len(o.bytes), l.dialled))
			}
		}
	}
}

func (l *link) readLoop() {
	for {
		_ = l.ws.SetReadDeadline(time.Now().Add(idleTimeout))
		m, err := l.readMessage()
		if err != nil {
			return
		}
		l.read.Store(time.Now().UnixNano())
		h, msg, err := frame.Decode(m.bytes)
		m.release()
		if errors.Is(err, frame.ErrUnknownKind) {
			// A newer node may know more messages.
			l.refuse(h)
			continue
		}
		if err != nil {
			l.net.cfg.Log.Warn("peer sent a malformed frame", "peer", l.peer.Node, "error", err)
			return
		}
		if c, ok := l.net.stats.received[h.Kind]; ok {
			c.add(wireBytes(len(m.bytes), !l.dialled))
		}
		l.dispatch(h, msg)
	}
}

// dispatch passes a message to the handler or the ask that waits for it.
func (l *link) dispatch(h frame.Header, msg any) {
	switch h.Exchange {
	case frame.Reply:
		l.finish(h.ID, answer{msg: msg})
	case frame.Refusal:
		l.finish(h.ID, answer{err: errors.Newf("%s: %w", h.Kind, ErrRefused)})
	case frame.Ask:
		l.serve(h, msg)
	case frame.OneWay:
		if f := l.net.handler(h.Kind); f != nil {
			f(l.ctx, l.peer, msg)
		}
	}
}

// serve handles an ask in a goroutine, or refuses it when too many are being handled.
func (l *link) serve(h frame.Header, msg any) {
	f := l.net.handler(h.Kind)
	if f == nil {
		l.refuse(h)
		return
	}
	select {
	case l.net.asks <- struct{}{}:
	default:
		l.refuse(h)
		return
	}
	started := l.net.spawn("ask "+string(h.Kind), func(context.Context) {
		defer func() { <-l.net.asks }()
		if reply := f(l.ctx, l.peer, msg); reply != nil {
			_ = l.send(frame.Header{Exchange: frame.Reply, ID: h.ID}, reply)
			return
		}
		l.refuse(h)
	})
	if !started {
		<-l.net.asks
	}
}

// refuse answers an ask that is not handled.
func (l *link) refuse(h frame.Header) {
	if h.Exchange == frame.Ask {
		_ = l.send(frame.Header{Kind: h.Kind, Exchange: frame.Refusal, ID: h.ID}, nil)
	}
}

// send queues a frame.
func (l *link) send(h frame.Header, msg any) error {
	b, err := frame.Encode(h, msg)
	if err != nil {
		return err
	}
	k := h.Kind
	if msg != nil {
		k, _ = frame.KindOf(msg)
	}
	if l.ctx.Err() != nil {
		return errors.Newf("send to %s: %w", l.peer.Node, ErrNoLink)
	}
	if l.queued.Add(int64(len(b))) > queueBytes {
		l.queued.Add(-int64(len(b)))
		return errors.Newf("send to %s: %w", l.peer.Node, ErrQueueFull)
	}
	select {
	case l.queue <- outgoing{kind: k, bytes: b}:
		return nil
	default:
		l.queued.Add(-int64(len(b)))
		return errors.Newf("send to %s: %w", l.peer.Node, ErrQueueFull)
	}
}

// ask sends msg and waits for the reply.
func (l *link) ask(ctx context.Context, msg any) (any, error) {
	reply := make(chan answer, 1)
	l.mu.Lock()
	l.lastID++
	id := l.lastID
	l.pending[id] = reply
	l.mu.Unlock()
	defer l.forget(id)
	if err := l.send(frame.Header{Exchange: frame.Ask, ID: id}, msg); err != nil {
		return nil, err
	}
	select {
	case a := <-reply:
		return a.msg, a.err
	case <-l.ctx.Done():
		return nil, errors.Newf("ask %s: %w", l.peer.Node, ErrLinkLost)
	case <-ctx.Done():
		return nil, errors.Newf("ask %s: %w", l.peer.Node, ctx.Err())
	}
}

// finish hands an answer to the ask with the id, if it still waits.
func (l *link) finish(id uint64, a answer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c, ok := l.pending[id]; ok {
		delete(l.pending, id)
		c <- a
	}
}

func (l *link) forget(id uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.pending, id)
}

// failPending ends the asks that still wait.
func (l *link) failPending() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, c := range l.pending {
		delete(l.pending, id)
		c <- answer{err: errors.Newf("ask %s: %w", l.peer.Node, ErrLinkLost)}
	}
}

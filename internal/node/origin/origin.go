// Package origin connects a node to the origin node of a request, which first received it: it transfers the
// remaining part of a response, or the outcome of a request, from the origin node to another node.
package origin

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"geraniumhollow/internal/core/fault"
	"geraniumhollow/internal/core/tasks"
	"geraniumhollow/internal/node/relay"
	"geraniumhollow/internal/route/stream"
	"geraniumhollow/internal/wire/frame"
	"geraniumhollow/internal/wire/peer"
	"github.com/cockroachdb/errors"
)

// Limits of streams between nodes.
const (
	// requestTimeout bounds the request that starts a stream and the request for an outcome.
	requestTimeout = 2 * time.Second
	// partTimeout bounds the delivery of one part to the caller. The node of a caller that reads nothing
	// closes the connection earlier.
	partTimeout = 60 * time.Second
	// idleTimeout ends a stream without new parts: the origin node may be suspended.
	idleTimeout = 15 * time.Second
	// maxStreams bounds the number of streams that a node receives.
	maxStreams = 256
)

// pendingPart is a received part of a response; delivered receives whether it reached the caller.
type pendingPart struct {
	msg       *frame.StreamPart
	delivered chan bool
}

// Links implements relay.Origin over the links between nodes. It is safe for concurrent use.
type Links struct {
	net    *peer.Net
	lastID atomic.Int64

	mu      sync.Mutex
	group   *tasks.Group
	relay   *relay.Relay
	streams map[int]chan pendingPart
}

var _ relay.Origin = (*Links)(nil)

// New returns the links of a node. Requests of other nodes are answered only after Serve has been called.
func New(net *peer.Net) *Links {
	l := &Links{net: net, streams: make(map[int]chan pendingPart)}
	peer.OnAsk(net, l.startStream)
	peer.OnAsk(net, l.receivePart)
	peer.OnAsk(net, l.replyOutcome)
	return l
}

// Serve enables other nodes to resume and query the requests of rl. Streams to them run in g.
func (l *Links) Serve(g *tasks.Group, rl *relay.Relay) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.group, l.relay = g, rl
}

func (l *Links) served() (*tasks.Group, *relay.Relay) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.group, l.relay
}

// Resume implements relay.Origin.
func (l *Links) Resume(ctx context.Context, node string, a relay.ResumeRequest, sink relay.Sink) error {
	id := int(l.lastID.Add(1))
	parts, err := l.open(id)
	if err != nil {
		return err
	}
	defer l.close(id)
	startCtx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	_, err = l.net.Ask(startCtx, node, &frame.StreamAsk{
		Id: id, Req: a.RequestID, Acct: a.Account, Off: a.Offset, Server: a.Server,
	})
	if err != nil {
		return errors.Mark(errors.Newf("request a stream from %s: %w", node, err), relay.ErrOriginUnreachable)
	}
	return deliverParts(ctx, parts, sink)
}

// deliverParts passes parts to sink until the last one.
func deliverParts(ctx context.Context, parts <-chan pendingPart, sink relay.Sink) error {
	idle := time.NewTimer(idleTimeout)
	defer idle.Stop()
	for {
		select {
		case <-ctx.Done():
			return errors.Newf("receive stream: %w", ctx.Err())
		case <-idle.C:
			return errors.Mark(errors.New("idle timeout: no part from the origin node"), relay.ErrOriginUnreachable)
		case p := <-parts:
			if p.msg.End {
				p.delivered <- true
				return endError(p.msg)
			}
			err := sink(toFrame(p.msg))
			p.delivered <- err == nil
			if err != nil {
				return errors.Newf("deliver part: %w", err)
			}
			idle.Reset(idleTimeout)
		}
	}
}

func toFrame(m *frame.StreamPart) stream.Frame {
	return stream.Frame{Attempt: m.Att, Offset: m.Off, Text: m.Text, FinishReason: m.Fin, Server: m.Server}
}

// endError returns the error that ended a response, or nil.
func endError(m *frame.StreamPart) error {
	if m.Code == "" {
		return nil
	}
	return fault.New(fault.Code(m.Code), fault.Outcome(m.Out), m.Msg).
		WithRetryAfter(time.Duration(m.RetryMs) * time.Millisecond)
}

func (l *Links) open(id int) (<-chan pendingPart, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.streams) >= maxStreams {
		return nil, errors.Mark(errors.Newf("limit of %d streams from other nodes reached", len(l.streams)), relay.ErrOriginUnreachable)
	}
	parts := make(chan pendingPart)
	l.streams[id] = parts
	return parts, nil
}

func (l *Links) close(id int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.streams, id)
}

// receivePart receives a part of a stream that this node requested, and replies after its delivery to the caller.
func (l *Links) receivePart(ctx context.Context, _ peer.Peer, m *frame.StreamPart) *frame.StreamTaken {
	l.mu.Lock()
	parts, ok := l.streams[m.Id]
	l.mu.Unlock()
	if !ok {
		return &frame.StreamTaken{}
	}
	ctx, cancel := context.WithTimeout(ctx, partTimeout)
	defer cancel()
	p := pendingPart{msg: m, delivered: make(chan bool, 1)}
	select {
	case parts <- p:
	case <-ctx.Done():
		return &frame.StreamTaken{}
	}
	select {
	case ok := <-p.delivered:
		return &frame.StreamTaken{Ok: ok}
	case <-ctx.Done():
		return &frame.StreamTaken{}
	}
}

// startStream starts a stream to another node.
func (l *Links) startStream(_ context.Context, requester peer.Peer, m *frame.StreamAsk) *frame.StreamStarted {
	g, rl := l.served()
	if rl == nil {
		return nil
	}
	a := relay.ResumeRequest{RequestID: m.Req, Account: m.Acct, Offset: m.Off, Server: m.Server}
	g.Go("stream to "+requester.Node, func(ctx context.Context) error {
		l.sendStream(ctx, rl, requester.Node, m.Id, a)
		return nil
	})
	return &frame.StreamStarted{Ok: true}
}

// sendStream sends the remaining part of a response to another node.
func (l *Links) sendStream(ctx context.Context, rl *relay.Relay, node string, id int, a relay.ResumeRequest) {
	ferr := rl.ResumeLocal(ctx, a, func(f stream.Frame) error {
		return l.sendPart(ctx, node, &frame.StreamPart{
			Id: id, Att: f.Attempt, Off: f.Offset, Text: f.Text, Fin: f.FinishReason, Server: f.Server,
		})
	})
	end := &frame.StreamPart{Id: id, End: true}
	if ferr != nil {
		end.Code, end.Out, end.Msg = string(ferr.Code()), string(ferr.Outcome()), ferr.Message()
		end.RetryMs = int(ferr.RetryAfter().Milliseconds())
	}
	// If the end is lost, the requesting node runs into its idle timeout.
	_ = l.sendPart(ctx, node, end)
}

// sendPart sends one part and waits for its delivery to the caller.
func (l *Links) sendPart(ctx context.Context, node string, m *frame.StreamPart) error {
	ctx, cancel := context.WithTimeout(ctx, partTimeout)
	defer cancel()
	reply, err := l.net.Ask(ctx, node, m)
	if err != nil {
		return errors.Newf("send part to %s: %w", node, err)
	}
	if ack, ok := reply.(*frame.StreamTaken); !ok || !ack.Ok {
		return errors.Newf("%s did not deliver the part", node)
	}
	return nil
}

// Outcome implements relay.Origin.
func (l *Links) Outcome(ctx context.Context, node, requestID, account string) (relay.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	reply, err := l.net.Ask(ctx, node, &frame.OutcomeAsk{Req: requestID, Acct: account})
	if err != nil {
		return relay.Status{}, errors.Mark(errors.Newf("request an outcome from %s: %w", node, err), relay.ErrOriginUnreachable)
	}
	m, ok := reply.(*frame.OutcomeReply)
	if !ok || !m.Found {
		return relay.Status{}, fault.New(fault.NotFound, fault.Unknown, "the request is not known")
	}
	return relay.Status{
		RequestID: requestID, State: relay.State(m.State), Outcome: fault.Outcome(m.Out),
		Code: fault.Code(m.Code), Tokens: m.Tokens,
	}, nil
}

func (l *Links) replyOutcome(_ context.Context, _ peer.Peer, m *frame.OutcomeAsk) *frame.OutcomeReply {
	_, rl := l.served()
	if rl == nil {
		return nil
	}
	st, ok := rl.Status(m.Req, m.Acct)
	if !ok {
		return &frame.OutcomeReply{}
	}
	return &frame.OutcomeReply{
		Found: true, State: string(st.State), Out: string(st.Outcome), Code: string(st.Code), Tokens: st.Tokens,
	}
}

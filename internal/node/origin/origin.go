// Package origin reaches the nodes that requests began on: it passes the rest of an answer, or what
// became of a request, from one node to another.
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

// Bounds of a stream between nodes.
const (
	// askTimeout bounds the start of a stream and the question for an outcome.
	askTimeout = 2 * time.Second
	// partTimeout bounds the wait for one part to reach its caller; a caller that reads nothing for
	// longer is closed by its own node earlier.
	partTimeout = 60 * time.Second
	// quietTimeout ends a stream on which nothing came: the origin may be paused.
	quietTimeout = 15 * time.Second
	// maxStreams bounds the streams that one node receives.
	maxStreams = 256
)

// part is a part that waits for the caller; taken is told whether it reached the caller.
type part struct {
	msg   *frame.StreamPart
	taken chan bool
}

// Links is relay.Origin over the links between nodes. It is safe for concurrent use.
type Links struct {
	net *peer.Net
	ids atomic.Int64

	mu      sync.Mutex
	group   *tasks.Group
	relay   *relay.Relay
	streams map[int]chan part
}

var _ relay.Origin = (*Links)(nil)

// New returns the origin side of a node. It answers other nodes after Serve has been called.
func New(net *peer.Net) *Links {
	l := &Links{net: net, streams: make(map[int]chan part)}
	peer.OnAsk(net, l.start)
	peer.OnAsk(net, l.receive)
	peer.OnAsk(net, l.outcome)
	return l
}

// Serve lets other nodes ask for the requests of rl. Streams to them run in g.
func (l *Links) Serve(g *tasks.Group, rl *relay.Relay) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.group, l.relay = g, rl
}

func (l *Links) serving() (*tasks.Group, *relay.Relay) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.group, l.relay
}

// Resume implements relay.Origin.
func (l *Links) Resume(ctx context.Context, node string, a relay.Ask, sink relay.Sink) error {
	id := int(l.ids.Add(1))
	parts, err := l.open(id)
	if err != nil {
		return err
	}
	defer l.close(id)
	startCtx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	_, err = l.net.Ask(startCtx, node, &frame.StreamAsk{
		Id: id, Req: a.RequestID, Acct: a.Account, Off: a.Offset, Server: a.Server,
	})
	if err != nil {
		return errors.Mark(errors.Newf("ask %s for a stream: %w", node, err), relay.ErrOriginUnreachable)
	}
	return deliver(ctx, parts, sink)
}

// deliver passes parts to sink until the last one.
func deliver(ctx context.Context, parts <-chan part, sink relay.Sink) error {
	quiet := time.NewTimer(quietTimeout)
	defer quiet.Stop()
	for {
		select {
		case <-ctx.Done():
			return errors.Newf("receive stream: %w", ctx.Err())
		case <-quiet.C:
			return errors.Mark(errors.New("the origin node went quiet"), relay.ErrOriginUnreachable)
		case p := <-parts:
			if p.msg.End {
				p.taken <- true
				return streamEnd(p.msg)
			}
			err := sink(frameOf(p.msg))
			p.taken <- err == nil
			if err != nil {
				return errors.Newf("deliver part: %w", err)
			}
			quiet.Reset(quietTimeout)
		}
	}
}

func frameOf(m *frame.StreamPart) stream.Frame {
	return stream.Frame{Attempt: m.Att, Offset: m.Off, Text: m.Text, Finish: m.Fin, Server: m.Server}
}

// streamEnd returns the error that ended an answer, or nil.
func streamEnd(m *frame.StreamPart) error {
	if m.Code == "" {
		return nil
	}
	return fault.New(fault.Code(m.Code), fault.Outcome(m.Out), m.Msg).
		WithRetryAfter(time.Duration(m.RetryMs) * time.Millisecond)
}

func (l *Links) open(id int) (<-chan part, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.streams) >= maxStreams {
		return nil, errors.Mark(errors.Newf("%d streams from other nodes", len(l.streams)), relay.ErrOriginUnreachable)
	}
	parts := make(chan part)
	l.streams[id] = parts
	return parts, nil
}

func (l *Links) close(id int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.streams, id)
}

// receive takes a part of a stream that this node asked for, and replies when the caller has it.
func (l *Links) receive(ctx context.Context, _ peer.Peer, m *frame.StreamPart) *frame.StreamTaken {
	l.mu.Lock()
	parts, ok := l.streams[m.Id]
	l.mu.Unlock()
	if !ok {
		return &frame.StreamTaken{}
	}
	ctx, cancel := context.WithTimeout(ctx, partTimeout)
	defer cancel()
	p := part{msg: m, taken: make(chan bool, 1)}
	select {
	case parts <- p:
	case <-ctx.Done():
		return &frame.StreamTaken{}
	}
	select {
	case ok := <-p.taken:
		return &frame.StreamTaken{Ok: ok}
	case <-ctx.Done():
		return &frame.StreamTaken{}
	}
}

// start begins a stream to another node.
func (l *Links) start(_ context.Context, from peer.Peer, m *frame.StreamAsk) *frame.StreamStarted {
	g, rl := l.serving()
	if rl == nil {
		return nil
	}
	a := relay.Ask{RequestID: m.Req, Account: m.Acct, Offset: m.Off, Server: m.Server}
	g.Go("stream to "+from.Node, func(ctx context.Context) error {
		l.send(ctx, rl, from.Node, m.Id, a)
		return nil
	})
	return &frame.StreamStarted{Ok: true}
}

// send passes the rest of an answer to another node.
func (l *Links) send(ctx context.Context, rl *relay.Relay, node string, id int, a relay.Ask) {
	ferr := rl.ResumeLocal(ctx, a, func(f stream.Frame) error {
		return l.part(ctx, node, &frame.StreamPart{
			Id: id, Att: f.Attempt, Off: f.Offset, Text: f.Text, Fin: f.Finish, Server: f.Server,
		})
	})
	end := &frame.StreamPart{Id: id, End: true}
	if ferr != nil {
		end.Code, end.Out, end.Msg = string(ferr.Code()), string(ferr.Outcome()), ferr.Message()
		end.RetryMs = int(ferr.RetryAfter().Milliseconds())
	}
	// The asking node notices a lost end by its own timeout.
	_ = l.part(ctx, node, end)
}

// part sends one part and waits until it has reached the caller.
func (l *Links) part(ctx context.Context, node string, m *frame.StreamPart) error {
	ctx, cancel := context.WithTimeout(ctx, partTimeout)
	defer cancel()
	reply, err := l.net.Ask(ctx, node, m)
	if err != nil {
		return errors.Newf("send part to %s: %w", node, err)
	}
	if taken, ok := reply.(*frame.StreamTaken); !ok || !taken.Ok {
		return errors.Newf("%s did not take the part", node)
	}
	return nil
}

// Outcome implements relay.Origin.
func (l *Links) Outcome(ctx context.Context, node, requestID, account string) (relay.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	reply, err := l.net.Ask(ctx, node, &frame.OutcomeAsk{Req: requestID, Acct: account})
	if err != nil {
		return relay.Status{}, errors.Mark(errors.Newf("ask %s for an outcome: %w", node, err), relay.ErrOriginUnreachable)
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

func (l *Links) outcome(_ context.Context, _ peer.Peer, m *frame.OutcomeAsk) *frame.OutcomeReply {
	_, rl := l.serving()
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

package caller

import (
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"geraniumhollow/internal/conf/schema"
	"geraniumhollow/internal/core/fault"
	"geraniumhollow/internal/node/relay"
	"geraniumhollow/internal/route/stream"
	"geraniumhollow/internal/wire/event"
	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

// headerLastEvent is the header with which a caller resumes a stream.
const headerLastEvent = "Last-Event-ID"

func (s *Server) completion(sh shape) handler {
	return func(rc *fasthttp.RequestCtx, id string, a schema.Account) {
		if last := string(rc.Request.Header.Peek(headerLastEvent)); last != "" {
			s.resume(rc, id, a, sh, last)
			return
		}
		c, streamed, ferr := parse(s.view(), a, sh, rc.PostBody())
		if ferr != nil {
			writeFault(rc, id, ferr)
			return
		}
		// The parsed form holds the text; the raw body would double the memory of a slow answer.
		rc.Request.ResetBody()
		c.ID = id
		if !streamed {
			s.whole(rc, c, sh)
			return
		}
		s.streamed(rc, newEvents(sh, c), func(ctx context.Context) (*relay.Answer, *fault.Error) {
			return s.relay.Start(ctx, c)
		})
	}
}

// resume answers with the rest of a stream. When nobody can resume it and the caller sent the body
// again, the completion runs as a new request.
func (s *Server) resume(rc *fasthttp.RequestCtx, id string, a schema.Account, sh shape, last string) {
	ask, ok := relay.ParseEventID(last)
	if !ok {
		writeFault(rc, id, badRequest("the last event id is not valid"))
		return
	}
	var again *relay.Completion
	if body := rc.PostBody(); len(body) > 0 {
		c, _, ferr := parse(s.view(), a, sh, body)
		if ferr != nil {
			writeFault(rc, id, ferr)
			return
		}
		c.ID = id
		again = &c
	}
	rc.Request.ResetBody()
	es := newEvents(sh, relay.Completion{ID: ask.RequestID, Model: s.relay.ModelOf(ask.Server)})
	starts := []starter{func(ctx context.Context) (*relay.Answer, *fault.Error) { return s.relay.Resume(ctx, a, ask) }}
	if again != nil {
		starts = append(starts, func(ctx context.Context) (*relay.Answer, *fault.Error) {
			es.completion = withoutPrompt(*again)
			return s.relay.Start(ctx, *again)
		})
	}
	s.streamed(rc, es, starts...)
}

// whole answers with one JSON body.
func (s *Server) whole(rc *fasthttp.RequestCtx, c relay.Completion, sh shape) {
	ctx, cancel := context.WithCancelCause(s.ctx)
	defer cancel(nil)
	defer s.watch.add(rc.Conn(), cancel)()
	text, finish, ferr := s.relay.CompleteWhole(ctx, c)
	if ferr != nil {
		writeFault(rc, c.ID, ferr)
		return
	}
	rc.Response.Header.Set("X-Request-Id", c.ID)
	writeJSON(rc, http.StatusOK, sh.whole(c, text, finish))
}

// starter begins an answer.
type starter func(ctx context.Context) (*relay.Answer, *fault.Error)

// streamed answers with server-sent events from the first of starts that gives a frame. An error before
// the first frame is answered with its own HTTP status.
func (s *Server) streamed(rc *fasthttp.RequestCtx, es *events, starts ...starter) {
	ctx, cancel := context.WithCancelCause(s.ctx)
	es.conn, es.stall = rc.Conn(), s.timeouts.Stall
	begun := rc.Time()
	es.finished = func(ferr *fault.Error) {
		s.ended(Ended{RequestID: es.completion.ID, Err: ferr, Elapsed: time.Since(begun)})
	}
	unwatch := s.watch.add(rc.Conn(), cancel)
	es.closed = func() {
		unwatch()
		cancel(nil)
	}
	var ferr *fault.Error
	for _, start := range starts {
		if ferr = es.open(ctx, start); ferr == nil || ctx.Err() != nil {
			break
		}
	}
	if ferr != nil {
		es.closed()
		writeFault(rc, es.completion.ID, ferr)
		return
	}
	rc.Response.Header.Set("X-Request-Id", es.completion.ID)
	rc.SetContentType("text/event-stream")
	rc.Response.Header.Set("Cache-Control", "no-store")
	rc.Response.SetBodyStream(es, -1)
}

// events is the body of a streamed answer: server-sent events whose ids are
// <request id>:<offset>:<backend server>. The HTTP server reads it, so that a token crosses from the
// goroutine that reads the engine to the one that writes to the caller in one step.
type events struct {
	shape      shape
	completion relay.Completion
	conn       net.Conn
	stall      time.Duration
	answer     *relay.Answer
	closed     func()

	// finished is told of the end of a stream that has begun.
	finished func(ferr *fault.Error)

	buf   event.Buffer
	ended bool
	fault *fault.Error
}

func newEvents(sh shape, c relay.Completion) *events {
	return &events{shape: sh, completion: withoutPrompt(c)}
}

// withoutPrompt returns a copy without the text, which belongs to the relay and its byte budget.
func withoutPrompt(c relay.Completion) relay.Completion {
	c.Prompt, c.Messages = "", nil
	return c
}

// open starts the answer and waits for its first frame.
func (e *events) open(ctx context.Context, start starter) *fault.Error {
	a, ferr := start(ctx)
	if ferr != nil {
		return ferr
	}
	f, err := a.Next()
	// Compared by value: the error of a failed answer often has io.EOF among its causes.
	if err != nil && err != io.EOF {
		a.Close()
		return relay.AsFault(err)
	}
	e.answer = a
	e.add(f, err)
	return nil
}

// add encodes a frame, the end mark or the error that ended the answer.
func (e *events) add(f stream.Frame, err error) {
	switch err {
	case nil:
		id := relay.EventID(e.completion.ID, f.Offset, f.Server)
		e.buf.Add(event.Event{ID: id, Data: encode(e.shape.chunk(e.completion, f))})
	case io.EOF: // As in open.
		e.ended = true
		e.buf.Add(event.Event{Data: []byte("[DONE]")})
	default:
		e.ended, e.fault = true, relay.AsFault(err)
		e.buf.Add(event.Event{Data: encode(faultBody(e.completion.ID, e.fault))})
	}
}

// Read implements io.Reader. It waits for one event and adds those that are there already. The deadline
// of the connection moves with each read, so that a caller that takes nothing is closed.
func (e *events) Read(p []byte) (int, error) {
	if e.buf.Len() == 0 {
		if e.ended {
			return 0, io.EOF
		}
		e.add(e.answer.Next())
	}
	for !e.ended && e.buf.Len() < len(p) && e.answer.Ready() {
		e.add(e.answer.Next())
	}
	n := e.buf.Read(p)
	if err := e.conn.SetWriteDeadline(time.Now().Add(e.stall)); err != nil {
		return n, errors.Newf("set deadline of the caller: %w", err)
	}
	return n, nil
}

// Close implements io.Closer: the answer is complete or the caller is gone.
func (e *events) Close() error {
	e.answer.Close()
	e.closed()
	if !e.ended {
		e.fault = fault.New(fault.OutcomeUnknown, fault.Unknown, "the caller is gone")
	}
	e.finished(e.fault)
	return nil
}

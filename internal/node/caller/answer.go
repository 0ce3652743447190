package caller

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"time"

	"geraniumhollow/internal/conf/schema"
	"geraniumhollow/internal/core/fault"
	"geraniumhollow/internal/core/tasks"
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
		if streamed {
			s.streamed(rc, newEvents(sh, c), func(ctx context.Context, sink relay.Sink) *fault.Error {
				return s.relay.Complete(ctx, c, sink)
			})
			return
		}
		s.whole(rc, c, sh)
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
	s.streamed(rc, es, func(ctx context.Context, sink relay.Sink) *fault.Error {
		ferr := s.relay.Resume(ctx, a, ask, sink)
		if ferr == nil || again == nil || es.begun() || ctx.Err() != nil {
			return ferr
		}
		es.completion = *again
		return s.relay.Complete(ctx, *again, sink)
	})
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

// streamed answers with server-sent events. An error before the first frame is answered with its own
// HTTP status.
func (s *Server) streamed(
	rc *fasthttp.RequestCtx, es *events, run func(ctx context.Context, sink relay.Sink) *fault.Error,
) {
	ctx, cancel := context.WithCancelCause(s.ctx)
	es.conn, es.stall = rc.Conn(), s.timeouts.Stall
	unwatch := s.watch.add(rc.Conn(), cancel)
	tasks.New(ctx).Go("answer", func(ctx context.Context) error {
		defer cancel(nil)
		defer unwatch()
		ferr := fault.New(fault.Internal, fault.Unknown, "the request failed inside the node")
		defer func() { es.end(ferr) }()
		ferr = run(ctx, es.sink)
		return nil
	})
	if ferr := <-es.first; ferr != nil {
		writeFault(rc, es.completion.ID, ferr)
		return
	}
	rc.Response.Header.Set("X-Request-Id", es.completion.ID)
	rc.SetContentType("text/event-stream")
	rc.Response.Header.Set("Cache-Control", "no-store")
	rc.SetBodyStreamWriter(es.attach)
}

// events writes an answer as server-sent events whose ids are
// <request id>:<offset>:<backend server>.
type events struct {
	shape      shape
	completion relay.Completion
	conn       net.Conn
	stall      time.Duration
	// first gets nil with the first frame, or the error that came before it.
	first chan *fault.Error
	// writers hands over the writer of the response once its header is set.
	writers chan *bufio.Writer
	done    chan struct{}

	w   *bufio.Writer
	buf []byte
}

func newEvents(sh shape, c relay.Completion) *events {
	// The prompt belongs to the relay, which counts its bytes.
	c.Prompt, c.Messages = "", nil
	return &events{
		shape: sh, completion: c, first: make(chan *fault.Error, 1), writers: make(chan *bufio.Writer, 1),
		done: make(chan struct{}),
	}
}

// begun reports whether a frame has been passed on.
func (e *events) begun() bool { return e.w != nil }

// attach gives the events the writer of the response and waits for their end.
func (e *events) attach(w *bufio.Writer) {
	e.writers <- w
	<-e.done
}

// begin waits for the writer before the first event.
func (e *events) begin() {
	if e.w == nil {
		e.first <- nil
		e.w = <-e.writers
	}
}

func (e *events) sink(f stream.Frame) error {
	e.begin()
	return e.write(event.Event{
		ID:   relay.EventID(e.completion.ID, f.Offset, f.Server),
		Data: encode(e.shape.chunk(e.completion, f)),
	})
}

// write sends one event. The connection's deadline moves with each event that the caller makes room
// for, so that a caller that reads nothing is closed.
func (e *events) write(ev event.Event) error {
	e.buf = event.Append(e.buf[:0], ev)
	if err := e.conn.SetWriteDeadline(time.Now().Add(e.stall)); err != nil {
		return errors.Newf("set deadline of the caller: %w", err)
	}
	if _, err := e.w.Write(e.buf); err != nil {
		return errors.Newf("write event: %w", err)
	}
	if err := e.w.Flush(); err != nil {
		return errors.Newf("flush event: %w", err)
	}
	return nil
}

// end writes the end mark or the error, unless nothing has been written yet and the error can have an
// HTTP status of its own.
func (e *events) end(ferr *fault.Error) {
	defer close(e.done)
	if ferr != nil && !e.begun() {
		e.first <- ferr
		return
	}
	e.begin()
	data := []byte("[DONE]")
	if ferr != nil {
		data = encode(faultBody(e.completion.ID, ferr))
	}
	_ = e.write(event.Event{Data: data}) // A caller that is gone needs no end mark.
}

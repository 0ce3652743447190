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

// headerLastEventID is the header with which a caller resumes a stream.
const headerLastEventID = "Last-Event-ID"

func (s *Server) completion(format responseFormat) handler {
	return func(rc *fasthttp.RequestCtx, id string, a schema.Account) {
		if lastEventID := string(rc.Request.Header.Peek(headerLastEventID)); lastEventID != "" {
			s.resume(rc, id, a, format, lastEventID)
			return
		}
		c, streamed, ferr := parseCompletion(s.view(), a, format, rc.PostBody())
		if ferr != nil {
			writeFault(rc, id, ferr)
			return
		}
		// The parsed request holds the text. Keeping the raw body would double the memory of a slow response.
		rc.Request.ResetBody()
		c.ID = id
		if !streamed {
			s.respondWhole(rc, c, format)
			return
		}
		s.respondStream(rc, newEventStream(format, c), func(ctx context.Context) (*relay.Answer, *fault.Error) {
			return s.relay.Start(ctx, c)
		})
	}
}

// resume responds with the remaining events of a stream. If it cannot be resumed and the caller sent the body
// again, the completion runs as a new request.
func (s *Server) resume(rc *fasthttp.RequestCtx, id string, a schema.Account, format responseFormat, lastEventID string) {
	resumeAsk, ok := relay.ParseEventID(lastEventID)
	if !ok {
		writeFault(rc, id, badRequest("the last event id is not valid"))
		return
	}
	var fallback *relay.Completion
	if body := rc.PostBody(); len(body) > 0 {
		c, _, ferr := parseCompletion(s.view(), a, format, body)
		if ferr != nil {
			writeFault(rc, id, ferr)
			return
		}
		c.ID = id
		fallback = &c
	}
	rc.Request.ResetBody()
	es := newEventStream(format, relay.Completion{ID: resumeAsk.RequestID, Model: s.relay.ModelOf(resumeAsk.Server)})
	starts := []startFunc{func(ctx context.Context) (*relay.Answer, *fault.Error) { return s.relay.Resume(ctx, a, resumeAsk) }}
	if fallback != nil {
		starts = append(starts, func(ctx context.Context) (*relay.Answer, *fault.Error) {
			es.completion = withoutPrompt(*fallback)
			return s.relay.Start(ctx, *fallback)
		})
	}
	s.respondStream(rc, es, starts...)
}

// respondWhole responds with one JSON body.
func (s *Server) respondWhole(rc *fasthttp.RequestCtx, c relay.Completion, format responseFormat) {
	ctx, cancel := context.WithCancelCause(s.ctx)
	defer cancel(nil)
	defer s.disconnects.watch(rc.Conn(), cancel)()
	text, finish, ferr := s.relay.CompleteText(ctx, c)
	if ferr != nil {
		writeFault(rc, c.ID, ferr)
		return
	}
	rc.Response.Header.Set("X-Request-Id", c.ID)
	writeJSON(rc, http.StatusOK, format.full(c, text, finish))
}

// startFunc starts the generation of a response.
type startFunc func(ctx context.Context) (*relay.Answer, *fault.Error)

// respondStream responds with server-sent events from the first of starts that returns a frame. An error before
// the first frame is returned with its own HTTP status.
func (s *Server) respondStream(rc *fasthttp.RequestCtx, es *eventStream, starts ...startFunc) {
	ctx, cancel := context.WithCancelCause(s.ctx)
	es.conn, es.writeTimeout = rc.Conn(), s.timeouts.Write
	start := rc.Time()
	es.onEnd = func(ferr *fault.Error) {
		s.onEnded(FinishedRequest{RequestID: es.completion.ID, Err: ferr, Elapsed: time.Since(start)})
	}
	stopWatching := s.disconnects.watch(rc.Conn(), cancel)
	es.onClose = func() {
		stopWatching()
		cancel(nil)
	}
	var ferr *fault.Error
	for _, startAnswer := range starts {
		if ferr = es.open(ctx, startAnswer); ferr == nil || ctx.Err() != nil {
			break
		}
	}
	if ferr != nil {
		es.onClose()
		writeFault(rc, es.completion.ID, ferr)
		return
	}
	rc.Response.Header.Set("X-Request-Id", es.completion.ID)
	rc.SetContentType("text/event-stream")
	rc.Response.Header.Set("Cache-Control", "no-store")
	rc.Response.SetBodyStream(es, -1)
}

// eventStream is the body of a streamed response: server-sent events with the IDs
// <request id>:<offset>:<backend server>. The HTTP server reads from it directly, so that a token passes from
// the goroutine that reads the engine to the one that writes to the caller without a further goroutine.
type eventStream struct {
	format       responseFormat
	completion   relay.Completion
	conn         net.Conn
	writeTimeout time.Duration
	answer       *relay.Answer
	onClose      func()

	// onEnd is called at the end of a stream that has started.
	onEnd func(ferr *fault.Error)

	buf   event.Buffer
	ended bool
	fault *fault.Error
}

func newEventStream(format responseFormat, c relay.Completion) *eventStream {
	return &eventStream{format: format, completion: withoutPrompt(c)}
}

// withoutPrompt returns a copy without the prompt and messages, which the relay holds and counts towards its byte
// budget.
func withoutPrompt(c relay.Completion) relay.Completion {
	c.Prompt, c.Messages = "", nil
	return c
}

// open starts the response and waits for its first frame.
func (e *eventStream) open(ctx context.Context, start startFunc) *fault.Error {
	a, ferr := start(ctx)
	if ferr != nil {
		return ferr
	}
	f, err := a.Next()
	// Do not use errors.Is: the error of a failed response often has io.EOF among its causes.
	if err != nil && err != io.EOF {
		a.Close()
		return relay.AsFault(err)
	}
	e.answer = a
	e.encodeFrame(f, err)
	return nil
}

// encodeFrame adds a frame, the end marker or the error that ended the response to the buffer.
func (e *eventStream) encodeFrame(f stream.Frame, err error) {
	switch err {
	case nil:
		id := relay.EventID(e.completion.ID, f.Offset, f.Server)
		e.buf.Add(event.Event{ID: id, Data: encode(e.format.chunk(e.completion, f))})
	case io.EOF: // Compared by value as in open.
		e.ended = true
		e.buf.Add(event.Event{Data: []byte("[DONE]")})
	default:
		e.ended, e.fault = true, relay.AsFault(err)
		e.buf.Add(event.Event{Data: encode(faultBody(e.completion.ID, e.fault))})
	}
}

// Read implements io.Reader. It blocks until one event is available and adds further ones that are ready. Each read
// extends the write deadline of the connection, which closes the connection of a caller that reads nothing.
func (e *eventStream) Read(p []byte) (int, error) {
	if e.buf.Len() == 0 {
		if e.ended {
			return 0, io.EOF
		}
		e.encodeFrame(e.answer.Next())
	}
	for !e.ended && e.buf.Len() < len(p) && e.answer.Ready() {
		e.encodeFrame(e.answer.Next())
	}
	n := e.buf.Read(p)
	if err := e.conn.SetWriteDeadline(time.Now().Add(e.writeTimeout)); err != nil {
		return n, errors.Newf("set write deadline of the caller: %w", err)
	}
	return n, nil
}

// Close implements io.Closer. It is called when the response is complete or the caller has disconnected.
func (e *eventStream) Close() error {
	e.answer.Close()
	e.onClose()
	if !e.ended {
		e.fault = fault.New(fault.OutcomeUnknown, fault.Unknown, "the caller is gone")
	}
	e.onEnd(e.fault)
	return nil
}

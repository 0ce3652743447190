package pass

import (
	"context"
	"io"
	"time"

	"geraniumhollow/internal/core/fault"
	"geraniumhollow/internal/node/front"
	"geraniumhollow/internal/plat/conns"
	"geraniumhollow/internal/route/match"
	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

// maxHeldBytes bounds the body of a failure answer that is held back while another attempt may follow.
const maxHeldBytes = 64 << 10

// attempt sends the call to one backend server and passes on its answer.
func (u *run) attempt(ctx context.Context) result {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	seat, refusal := u.r.deps.Seats.Take(ctx, u.c, u.tried, cancel)
	if refusal != nil {
		return result{refusal: refusal}
	}
	f := printOf(u.c)
	run := u.r.deps.Crashes.begin(f, seat.Entry().ID)
	begun := time.Now()
	res := u.send(ctx, seat)
	res.server = seat.Entry().ID
	u.r.deps.Crashes.end(run, f, seat.Entry(), res.outcome, res.held == nil)
	seat.Leave(res.outcome)
	if !res.done {
		u.tried.Add(res.server)
	}
	u.note(seat.Facts(), res, time.Since(begun))
	return res
}

// note logs an attempt with what decided it.
func (u *run) note(f Facts, res result, d time.Duration) {
	u.r.deps.Metrics.AttemptEnded(attemptLabels[res.outcome])
	u.r.deps.Log.Info("attempt ended", "request", u.c.ID, "route", u.c.Route.Name, "attempt", u.number, "server", res.server,
		"group", f.Group, "epoch", f.Epoch, "estimate_ms", f.Estimate.Milliseconds(), "load_age_ms", f.LoadAge.Milliseconds(),
		"running", f.Running, "waiting", f.Waiting, "outcome", res.outcome, "first_ms", f.First.Milliseconds(),
		"events", u.events.count, "ms", d.Milliseconds(), "error", res.err)
}

// attemptLabels are the outcomes of attempts in metrics.
var attemptLabels = map[Outcome]string{
	Served: "answered", NotRun: "failed", Failed: "failed", Stalled: "failed", Withdrawn: "cancelled",
}

// send makes the attempt on a seat.
func (u *run) send(ctx context.Context, seat Seat) result {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	u.c.req.Header.CopyTo(&req.Header)
	u.r.deps.Codec.Prepare(&req.Header, Outgoing{
		Server: seat.Entry().ID, Account: u.c.Account, Left: time.Until(u.c.Deadline), LastEvent: u.events.last,
	})
	req.SetBodyRaw(u.c.req.Body)
	u.number++
	resp, err := seat.Conns().Exchange(ctx, conns.Exchange{
		Request: req, HeaderBy: u.headerBy(),
		Mine: func(h *fasthttp.ResponseHeader) bool {
			id := u.r.deps.Codec.Answer(h).ID
			return id == u.c.ID || id == ""
		},
	})
	if err != nil {
		return u.lost(ctx, err)
	}
	defer resp.Close()
	a := u.r.deps.Codec.Answer(resp.Header)
	seat.Answered(a)
	if a.NotRun {
		if err := readRefusal(resp); err != nil {
			return result{outcome: NotRun, err: err}
		}
		return result{outcome: NotRun, err: errors.Newf("status %d", resp.Header.StatusCode())}
	}
	u.mayHaveRun = true
	if err := resp.SetReadDeadline(u.c.Deadline); err != nil {
		return result{outcome: Failed, err: errors.Newf("answer: %w", err)}
	}
	if u.heldBack(resp.Header) {
		return u.hold(resp)
	}
	return u.relay(ctx, seat, resp)
}

// refusalTime bounds the read of a refusal's body, which is only read so that the connection can be kept.
const refusalTime = 100 * time.Millisecond

// readRefusal reads the body of a refusal, up to a bound.
func readRefusal(resp *conns.Response) error {
	if err := resp.SetReadDeadline(time.Now().Add(refusalTime)); err != nil {
		return errors.Newf("refusal: %w", err)
	}
	if _, err := io.CopyN(io.Discard, resp, maxHeldBytes); err != nil && !errors.Is(err, io.EOF) {
		return errors.Newf("read refusal: %w", err)
	}
	return nil
}

// lost tells what an attempt without an answer proves.
func (u *run) lost(ctx context.Context, err error) result {
	if errors.Is(err, conns.ErrNotSent) {
		u.number--
		return result{outcome: NotRun, err: err}
	}
	u.mayHaveRun = true
	switch cause := context.Cause(ctx); {
	case cause == nil:
		return result{outcome: Failed, err: err}
	case errors.Is(cause, ErrStalled):
		return result{outcome: Stalled, err: cause}
	default:
		return result{outcome: Withdrawn, refusal: fault.New(fault.Timeout, fault.Unknown, "the request ended").WithCause(cause)}
	}
}

// heldBack reports whether an answer is a failure after which another attempt may do better.
func (u *run) heldBack(h *fasthttp.ResponseHeader) bool {
	return h.StatusCode() >= fasthttp.StatusInternalServerError && u.c.Route.Repeatable()
}

// hold reads a whole failure answer.
func (u *run) hold(resp *conns.Response) result {
	body, err := io.ReadAll(io.LimitReader(resp, maxHeldBytes+1))
	if err != nil {
		return result{outcome: Failed, err: errors.Newf("read failure answer: %w", err)}
	}
	if len(body) > maxHeldBytes {
		return result{outcome: Failed, err: errors.Newf("failure answer has more than %d bytes", maxHeldBytes)}
	}
	return result{
		outcome: Failed, err: errors.Newf("status %d", resp.Header.StatusCode()),
		held: &failure{header: resp.Header, body: body},
	}
}

// relay passes on an answer. A stream is passed on by whole events, so that it can be resumed.
func (u *run) relay(ctx context.Context, seat Seat, resp *conns.Response) result {
	stream := u.c.Route.Kind == match.Stream && resp.Header.StatusCode() == fasthttp.StatusOK
	if !u.w.Begun() {
		if stream {
			resp.Header.SetContentLength(-1)
		}
		u.w.Begin(resp.Header)
	}
	err := u.copy(seat, resp, stream)
	switch {
	case err == nil:
		return result{done: true, outcome: Served}
	case errors.Is(err, errCaller):
		u.w.Abort()
		return result{done: true, aborted: true, outcome: Withdrawn, err: err}
	case !stream || !u.c.Route.Resumable:
		u.w.Abort()
		return result{done: true, aborted: true, outcome: u.broken(ctx), err: err}
	default:
		u.events.dropPart()
		res := u.lost(ctx, err)
		return res
	}
}

// broken returns why an answer ended early.
func (u *run) broken(ctx context.Context) Outcome {
	if errors.IsAny(context.Cause(ctx), front.ErrCallerGone, context.DeadlineExceeded) {
		return Withdrawn
	}
	return Failed
}

// copyBytes is how much of an answer is read at a time.
const copyBytes = 4 << 10

// copy passes on the body of an answer until its end.
func (u *run) copy(seat Seat, resp *conns.Response, stream bool) error {
	var buf [copyBytes]byte
	for {
		n, err := resp.Read(buf[:])
		if n > 0 {
			u.firstBytes()
			before := u.events.count
			err := u.pass(buf[:n], stream)
			if !stream || u.events.count > before {
				// Bytes that complete no event are no progress: a stalled server may send some now and then.
				seat.Progress()
			}
			if err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			return u.end(resp, stream)
		}
		if err != nil {
			return errors.Newf("read answer: %w", err)
		}
	}
}

// firstBytes notes the time to the first bytes of the answer.
func (u *run) firstBytes() {
	if !u.answered {
		u.answered = true
		u.r.deps.Metrics.FirstEvent(time.Since(u.c.Arrived))
	}
}

// pass writes bytes of an answer to the caller: of a stream, only whole events that the caller lacks.
func (u *run) pass(b []byte, stream bool) error {
	out, gap := b, error(nil)
	if stream {
		out, gap = u.events.add(b)
	}
	if err := u.w.Write(out); err != nil {
		return errors.Mark(err, errCaller)
	}
	return gap
}

// end completes an answer. A stream without a length that ends within an event has broken off.
func (u *run) end(resp *conns.Response, stream bool) error {
	if stream && len(u.events.rest()) > 0 && resp.Endless() {
		return errors.New("stream ended within an event")
	}
	if stream {
		if err := u.w.Write(u.events.rest()); err != nil {
			return errors.Mark(err, errCaller)
		}
	}
	if err := u.w.End(); err != nil {
		return errors.Mark(err, errCaller)
	}
	return nil
}

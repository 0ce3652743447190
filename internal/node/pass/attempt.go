package pass

import (
	"context"
	"io"
	"strings"
	"time"

	"geraniumhollow/internal/core/fault"
	"geraniumhollow/internal/node/front"
	"geraniumhollow/internal/plat/conns"
	"geraniumhollow/internal/route/match"
	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

// maxFailureBodyBytes bounds the body of a failure response that is held while another attempt may follow, and the
// part of a refusal that is read.
const maxFailureBodyBytes = 64 << 10

// attempt sends the call to one backend server, or to another node if this one reaches no server, and forwards the response.
func (s *callState) attempt(ctx context.Context) attemptResult {
	hop, refusal := s.chooseHop(ctx)
	switch {
	case refusal != nil:
		return attemptResult{refusal: refusal}
	case hop != nil:
		return s.attemptHop(ctx, hop)
	}
	s.countRequest()
	trial, refusal := s.relay.deps.Crashes.Check(s.parts)
	if refusal != nil {
		return attemptResult{refusal: refusal}
	}
	s.call.Trial, s.call.Answering = trial, s.w.Started()
	s.call.LastAttempt = s.countedAttempts()+1 >= s.maxAttempts()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	reservation, refusal := s.relay.deps.Picker.Pick(ctx, s.call, s.tried, cancel)
	if refusal != nil {
		return attemptResult{refusal: refusal}
	}
	if refusal := s.relay.deps.Crashes.Admit(ctx, s.call.ID, s.parts); refusal != nil {
		reservation.Release(NotRun)
		return attemptResult{refusal: refusal}
	}
	fingerprint := crashFingerprint(s.call)
	runID := s.relay.deps.Crashes.startRun(fingerprint, s.parts, reservation.Entry(), cancel)
	s.runID = runID
	start := time.Now()
	res := s.send(ctx, reservation)
	res.server, res.group = reservation.Entry().ID, reservation.Entry().Member.Group
	s.relay.deps.Crashes.endRun(runID, fingerprint, reservation.Entry(), res.outcome, res.failureResponse == nil)
	reservation.Release(res.outcome)
	s.broken = res.outcome == Failed && res.failureResponse == nil
	if !res.done {
		s.tried.Add(res.server)
	}
	s.logAttempt(reservation.Selection(), res, time.Since(start))
	return res
}

// logAttempt logs the outcome of an attempt and the data that its server was chosen by.
func (s *callState) logAttempt(sel Selection, res attemptResult, d time.Duration) {
	s.relay.deps.Metrics.AttemptEnded(attemptMetricLabels[res.outcome])
	fields := []any{
		"request", s.call.ID, "route", s.call.Route.Name, "attempt", s.attempts, "server", res.server,
		"group", sel.Group, "epoch", sel.Epoch, "estimate_ms", sel.ExpectedFirstByte.Milliseconds(), "load_age_ms", sel.LoadAge.Milliseconds(),
		"running", sel.Running, "waiting", sel.Waiting, "outcome", res.outcome, "first_ms", sel.FirstByte.Milliseconds(),
		"events", s.events.count, "ms", d.Milliseconds(), "error", res.err,
	}
	if res.outcome == Failed && len(s.call.SharedParts) > 0 {
		fields = append(fields, "began", s.began, "attempt_events", s.events.count-s.eventsBefore, "parts", s.call.SharedParts)
	}
	s.relay.deps.Log.Info("attempt ended", fields...)
}

// attemptMetricLabels maps the outcomes of attempts to their metric labels.
var attemptMetricLabels = map[Outcome]string{
	Served: "answered", NotRun: "failed", Refused: "failed", Failed: "failed", Stalled: "failed", Cancelled: "cancelled",
}

// send performs the attempt on the reserved server.
func (s *callState) send(ctx context.Context, reservation Reservation) attemptResult {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	s.call.req.Header.CopyTo(&req.Header)
	s.relay.deps.Codec.EncodeRequest(&req.Header, AttemptInfo{
		Server: reservation.Entry().ID, Account: s.call.Account, TimeLeft: time.Until(s.call.Deadline), LastEventID: s.events.lastID,
	})
	req.SetBodyRaw(s.call.req.Body)
	s.attempts++
	s.began, s.eventsBefore = false, s.events.count
	resp, err := reservation.Conns().Exchange(ctx, conns.Exchange{
		Request: req, HeaderBy: s.headerDeadline(),
		Matches: func(h *fasthttp.ResponseHeader) bool {
			id := s.relay.deps.Codec.DecodeResponse(h).ID
			return id == s.call.ID || id == ""
		},
	})
	if err != nil {
		return s.classifyError(ctx, err)
	}
	defer resp.Close()
	info := s.relay.deps.Codec.DecodeResponse(resp.Header)
	if !s.isRefusal(resp, info) {
		if err := s.checkAnswer(resp.Header, info); err != nil {
			s.mayHaveRun = true
			return attemptResult{outcome: Failed, err: err}
		}
	}
	reservation.HeadersReceived(info)
	if info.NotStarted {
		if s.w.Started() {
			s.refusedResumes++
		}
		if err := readRefusal(resp); err != nil {
			return attemptResult{outcome: NotRun, err: err}
		}
		return attemptResult{outcome: NotRun, err: errors.Newf("status %d", resp.Header.StatusCode())}
	}
	s.relay.deps.Crashes.answerBegan(s.runID)
	return s.takeAnswer(ctx, resp, reservation.Progress)
}

// isRefusal reports whether a message proves that the server did not start the call. Servers may leave the ID out of refusals,
// but on a kept connection such a message may be a late copy of the refusal of an earlier request.
func (s *callState) isRefusal(resp *conns.Response, info ResponseInfo) bool {
	return info.NotStarted && (info.ID == s.call.ID || info.ID == "" && !resp.Reused())
}

// checkAnswer returns an error unless a message is an answer of a server that may have run the call. Anything else proves
// nothing, whatever its status says: a faulty server may send any bytes after it has run a request.
func (s *callState) checkAnswer(h *fasthttp.ResponseHeader, info ResponseInfo) error {
	status := h.StatusCode()
	switch {
	case info.ID != s.call.ID:
		return errors.Newf("status %d without the ID of the request", status)
	case status < fasthttp.StatusMultipleChoices && !info.Signed:
		return errors.Newf("status %d without a signature", status)
	case promisesNotRun(status):
		// Callers may repeat any request that is refused with such a status.
		return errors.Newf("status %d without proof that the request was not run", status)
	default:
		return nil
	}
}

// promisesNotRun reports whether a status tells callers that the request was not run and will not be.
func promisesNotRun(status int) bool {
	switch status {
	case fasthttp.StatusRequestTimeout, fasthttp.StatusMisdirectedRequest, fasthttp.StatusTooManyRequests, fasthttp.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

// takeAnswer forwards the answer of a server that has begun to run the call, or holds a failure. It calls progress when part
// of the answer has arrived.
func (s *callState) takeAnswer(ctx context.Context, resp *conns.Response, progress func()) attemptResult {
	s.mayHaveRun, s.began = true, true
	if err := resp.SetReadDeadline(s.call.Deadline); err != nil {
		return attemptResult{outcome: Failed, err: errors.Newf("set read deadline of response: %w", err)}
	}
	if s.shouldHold(resp.Header) {
		return s.holdFailure(resp)
	}
	return s.relayAnswer(ctx, resp, progress)
}

// refusalReadTimeout bounds the read of a refusal's body, which is read only so that the connection can be reused.
const refusalReadTimeout = 100 * time.Millisecond

// readRefusal discards up to maxFailureBodyBytes of the body of a refusal.
func readRefusal(resp *conns.Response) error {
	if err := resp.SetReadDeadline(time.Now().Add(refusalReadTimeout)); err != nil {
		return errors.Newf("set read deadline of refusal: %w", err)
	}
	if _, err := io.CopyN(io.Discard, resp, maxFailureBodyBytes); err != nil && !errors.Is(err, io.EOF) {
		return errors.Newf("read refusal: %w", err)
	}
	return nil
}

// classifyError returns the result of an attempt that ended without a complete response.
func (s *callState) classifyError(ctx context.Context, err error) attemptResult {
	if errors.Is(err, conns.ErrNotSent) {
		s.attempts--
		if cause := context.Cause(ctx); errors.Is(cause, front.ErrCallerDisconnected) {
			return attemptResult{outcome: Cancelled, refusal: fault.New(fault.Timeout, fault.NotRun, "the request ended").WithCause(cause)}
		}
		outcome := NotRun
		if errors.Is(err, conns.ErrRefused) {
			outcome = Refused
		}
		return attemptResult{outcome: outcome, err: err, notSent: true}
	}
	s.mayHaveRun = true
	switch cause := context.Cause(ctx); {
	case cause == nil:
		return attemptResult{outcome: Failed, err: err}
	case errors.Is(cause, ErrStalled):
		return attemptResult{outcome: Stalled, err: cause}
	default:
		return attemptResult{outcome: Cancelled, refusal: fault.New(fault.Timeout, fault.Unknown, "the request ended").WithCause(cause)}
	}
}

// shouldHold reports whether a response must not be forwarded yet: it is a failure after which another attempt may
// succeed, or does not continue the stream of which the caller has received a part.
func (s *callState) shouldHold(h *fasthttp.ResponseHeader) bool {
	if s.w.Started() {
		return h.StatusCode() != fasthttp.StatusOK || mediaType(h) != s.mediaType
	}
	return h.StatusCode() >= fasthttp.StatusInternalServerError && s.call.Route.Repeatable()
}

// mediaType returns the type of a response without its parameters.
func mediaType(h *fasthttp.ResponseHeader) string {
	t, _, _ := strings.Cut(string(h.ContentType()), ";")
	return strings.ToLower(strings.TrimSpace(t))
}

// holdFailure reads a failure response completely and keeps it, to forward it if no further attempt is made.
func (s *callState) holdFailure(resp *conns.Response) attemptResult {
	body, err := io.ReadAll(io.LimitReader(resp, maxFailureBodyBytes+1))
	if err != nil {
		return attemptResult{outcome: Failed, err: errors.Newf("read failure response: %w", err)}
	}
	if len(body) > maxFailureBodyBytes {
		return attemptResult{outcome: Failed, err: errors.Newf("failure response has more than %d bytes", maxFailureBodyBytes)}
	}
	return attemptResult{
		outcome: Failed, err: errors.Newf("status %d", resp.Header.StatusCode()),
		failureResponse: &failureResponse{header: resp.Header, body: body},
	}
}

// relayAnswer forwards a response to the caller. A stream is forwarded in complete events, so that it can be resumed.
func (s *callState) relayAnswer(ctx context.Context, resp *conns.Response, progress func()) attemptResult {
	stream := s.call.Route.Kind == match.Stream && resp.Header.StatusCode() == fasthttp.StatusOK
	if !s.w.Started() {
		if stream {
			resp.Header.SetContentLength(-1)
		}
		s.mediaType = mediaType(resp.Header)
		s.markAnswer(resp.Header)
		s.w.Start(resp.Header)
	}
	err := s.copy(resp, stream, progress)
	switch {
	case err == nil:
		return attemptResult{done: true, outcome: Served}
	case errors.Is(err, errCallerWrite):
		s.w.Abort()
		return attemptResult{done: true, aborted: true, outcome: Cancelled, err: err}
	case s.w.Started() && (!stream || !s.call.Route.Resumable):
		s.w.Abort()
		return attemptResult{done: true, aborted: true, outcome: s.abortOutcome(ctx), err: err}
	default:
		s.events.discardPartial()
		res := s.classifyError(ctx, err)
		return res
	}
}

// abortOutcome returns the outcome of an attempt whose response ended early and cannot be resumed.
func (s *callState) abortOutcome(ctx context.Context) Outcome {
	if errors.IsAny(context.Cause(ctx), front.ErrCallerDisconnected, context.DeadlineExceeded) {
		return Cancelled
	}
	return Failed
}

// copyBufferBytes is the size of the buffer for reading response bodies.
const copyBufferBytes = 4 << 10

// copy forwards the body of a response until its end.
func (s *callState) copy(resp *conns.Response, stream bool, progress func()) error {
	var buf [copyBufferBytes]byte
	for {
		n, err := resp.Read(buf[:])
		if n > 0 {
			s.recordFirstByte()
			before := s.events.count
			err := s.forward(buf[:n], stream)
			if stream && len(s.parts) > 0 && s.events.count > before && before > s.eventsBefore {
				s.relay.deps.Crashes.partsSafe(s.runID)
			}
			if !stream || s.events.count > before {
				// Bytes that complete no event do not count as progress: a stalled server may still send some.
				progress()
			}
			if err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			return s.finishAnswer(stream)
		}
		if err != nil {
			return errors.Newf("read response: %w", err)
		}
	}
}

// recordFirstByte records the time to the first byte of the response.
func (s *callState) recordFirstByte() {
	if !s.gotFirstByte {
		s.gotFirstByte = true
		s.relay.deps.Metrics.FirstEvent(time.Since(s.call.Arrived))
	}
}

// forward writes bytes of a response to the caller: of a stream, only complete events that the caller does not have.
func (s *callState) forward(b []byte, stream bool) error {
	out, parseErr := b, error(nil)
	if stream {
		out, parseErr = s.events.feed(b)
	}
	if err := s.w.Write(out); err != nil {
		return errors.Mark(err, errCallerWrite)
	}
	return parseErr
}

// finishAnswer completes a response. A stream that ends within an event is incomplete, however its body is framed.
func (s *callState) finishAnswer(stream bool) error {
	if stream && len(s.events.partial) > 0 {
		return errors.New("stream ended in the middle of an event")
	}
	if err := s.w.End(); err != nil {
		return errors.Mark(err, errCallerWrite)
	}
	return nil
}

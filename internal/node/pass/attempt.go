package pass

import (
	"context"
	"io"
	"strings"
	"time"

	"geraniumhollow/internal/core/fault"
	"geraniumhollow/internal/node/front"
	"geraniumhollow/internal/plat/conns"
	"geraniumhollow/internal/route/crash"
	"geraniumhollow/internal/route/match"
	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

// maxFailureBodyBytes bounds the body of a failure response that is held while another attempt may follow, and the
// part of a refusal that is read.
const maxFailureBodyBytes = 64 << 10

// exchange is an attempt at a server, or through another node. resp is nil until it has begun to answer.
type exchange struct {
	ctx   context.Context //nolint:containedctx // It belongs to the attempt, which may be followed elsewhere than it was begun.
	resp  *conns.Response
	hedge *hedge
	// head is the part of the body that was read before the attempt continued the response, and hold its memory. headEnds is set if it
	// is all of the body.
	head     []byte
	hold     hold
	headEnds bool
	// server and group are the ID and the group of the server, or the address of the other node. runID is the crash tracker's
	// ID of the attempt.
	server, group string
	runID         crash.RunID
	// progress is called when part of the answer has arrived.
	progress func()
	// record records the result.
	record func(s *callState, res attemptResult)
	cancel context.CancelCauseFunc
}

// end ends the attempt. It returns the result with the server.
func (x *exchange) end(s *callState, res attemptResult) attemptResult {
	if x.resp != nil {
		x.resp.Close()
	}
	x.hold.close()
	res.server, res.group = x.server, x.group
	x.record(s, res)
	x.cancel(nil)
	return res
}

// Read implements io.Reader for the body of the answer.
func (x *exchange) Read(b []byte) (int, error) {
	switch {
	case len(x.head) > 0:
		n := copy(b, x.head)
		if x.head = x.head[n:]; len(x.head) == 0 {
			x.head = nil
			x.hold.close()
		}
		return n, nil
	case x.headEnds:
		return 0, io.EOF
	default:
		return x.resp.Read(b)
	}
}

// discard ends the attempt, unless it is nil, without having used its answer.
func (x *exchange) discard(s *callState) {
	if x != nil {
		x.end(s, attemptResult{outcome: Cancelled, err: errSuperseded})
	}
}

// attempt sends the call to one backend server, or to another node if this one reaches no server, and forwards the response.
func (s *callState) attempt(ctx context.Context) attemptResult {
	x, res := s.begin(ctx)
	for {
		if x != nil {
			s.hedge, s.runID, s.began, s.eventsBefore = x.hedge, x.runID, true, s.events.count
			res = x.end(s, s.takeAnswer(x))
		}
		if s.hedge == nil {
			return res
		}
		h := s.hedge
		s.hedge = nil
		if x = h.close(s, res.done || res.refusal != nil); x == nil {
			if res.failureResponse == nil {
				res.failureResponse = s.failure
			} else {
				s.failure.drop()
			}
			s.failure = nil
			return res
		}
		x.hedge.arm(s, x.server)
	}
}

// begin makes an attempt until its server begins to answer. Without an exchange, it returns the result.
func (s *callState) begin(ctx context.Context) (*exchange, attemptResult) {
	hop, refusal := s.chooseHop(ctx)
	switch {
	case refusal != nil:
		return nil, attemptResult{refusal: refusal}
	case hop != nil:
		return s.beginHop(ctx, hop)
	}
	s.countRequest()
	trial, refusal := s.relay.deps.Crashes.Check(s.parts)
	if refusal != nil {
		return nil, attemptResult{refusal: refusal}
	}
	s.call.Trial, s.call.Answering = trial, s.answering()
	s.call.LastAttempt = s.countedAttempts()+1 >= s.maxAttempts()
	attemptCtx, cancel := context.WithCancelCause(ctx)
	x := &exchange{ctx: attemptCtx, cancel: cancel, hedge: &hedge{parent: ctx, cancelAttempt: cancel}}
	reservation, hop, refusal := s.reserve(attemptCtx, x.hedge)
	s.lacksRoom = refusal != nil
	if reservation == nil {
		cancel(nil)
		if hop != nil {
			return s.beginHop(ctx, hop)
		}
		return nil, attemptResult{refusal: refusal}
	}
	if refusal := s.relay.deps.Crashes.Admit(attemptCtx, s.call.ID, s.parts); refusal != nil {
		cancel(nil)
		reservation.Release(NotRun)
		return nil, attemptResult{refusal: refusal}
	}
	fingerprint := crashFingerprint(s.call)
	x.runID = s.relay.deps.Crashes.startRun(fingerprint, s.parts, reservation.Entry(), cancel)
	x.server, x.group, x.progress = reservation.Entry().ID, reservation.Entry().Member.Group, reservation.Progress
	start := time.Now()
	x.record = func(s *callState, res attemptResult) {
		s.relay.deps.Crashes.endRun(x.runID, fingerprint, reservation.Entry(), res.outcome, res.failureResponse == nil)
		reservation.Release(res.outcome)
		s.broken = res.outcome == Failed && res.failureResponse == nil
		if !res.done {
			s.tried.Add(res.server)
		}
		s.logAttempt(reservation.Selection(), res, time.Since(start))
	}
	s.runID = x.runID
	res := s.send(x, reservation)
	if x.resp == nil {
		return nil, x.end(s, res)
	}
	return x, attemptResult{}
}

// Times for which a call whose caller has received part of the response waits for a server, and after which it looks again whether
// this node still reaches servers.
const (
	resumeWait     = 2 * time.Second
	resumeInterval = 250 * time.Millisecond
)

// reserve reserves a slot on a server. It returns another node instead if this one finds meanwhile that it reaches no server, or the
// reason for refusing the call.
func (s *callState) reserve(ctx context.Context, h *hedge) (Reservation, Hop, *fault.Error) {
	if !s.answering() {
		reservation, refusal := s.relay.deps.Picker.Pick(ctx, s.call, s.tried, h.silent)
		return reservation, nil, refusal
	}
	until := time.Now().Add(resumeWait)
	if last := s.call.Deadline.Add(-resumeInterval); last.Before(until) {
		until = last
	}
	for {
		waitCtx, stop := context.WithTimeout(ctx, resumeInterval)
		reservation, refusal := s.relay.deps.Picker.Pick(waitCtx, s.call, s.tried, h.silent)
		if refusal != nil {
			<-waitCtx.Done()
		}
		stop()
		if refusal == nil || ctx.Err() != nil || !time.Now().Before(until) {
			return reservation, nil, refusal
		}
		if hop, hopRefusal := s.chooseHop(ctx); hop != nil || hopRefusal != nil {
			return nil, hop, hopRefusal
		}
	}
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

// send sends the call to the reserved server. If the server begins to answer, x gets the response, otherwise send returns the
// result of the attempt.
func (s *callState) send(x *exchange, reservation Reservation) attemptResult {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	s.call.req.Header.CopyTo(&req.Header)
	s.relay.deps.Codec.EncodeRequest(&req.Header, AttemptInfo{
		Server: reservation.Entry().ID, Account: s.call.Account, TimeLeft: time.Until(s.call.Deadline), LastEventID: s.events.lastID,
		Priority: s.call.Priority, HasPriority: s.call.Prioritized,
	})
	req.SetBodyRaw(s.call.req.Body)
	s.sending(x)
	if by := s.headerDeadline(); by.Before(s.call.Deadline) {
		late := time.AfterFunc(time.Until(by), func() { x.hedge.silent(errHeaderLate) })
		defer late.Stop()
	}
	resp, err := reservation.Conns().Exchange(x.ctx, conns.Exchange{
		Request: req, HeaderBy: s.call.Deadline,
		Matches: func(h *fasthttp.ResponseHeader) bool {
			id := s.relay.deps.Codec.DecodeResponse(h).ID
			return id == s.call.ID || id == ""
		},
	})
	if err != nil {
		return s.classifyError(x.ctx, err)
	}
	res, ok := s.checkResponse(resp, reservation)
	if !ok {
		resp.Close()
		return res
	}
	s.relay.deps.Crashes.answerBegan(x.runID)
	s.mayHaveRun = true
	x.resp = resp
	return attemptResult{}
}

// sending records that an attempt is being sent. Unless attempts are already made beside
// another one, some may be made beside this one.
func (s *callState) sending(x *exchange) {
	s.attempts++
	s.began, s.eventsBefore = false, s.events.count
	if s.forked {
		return
	}
	s.hedge = x.hedge
	x.hedge.arm(s, x.server)
}

// checkResponse reports whether a server has begun to answer the call. If not, it returns the result of the attempt.
func (s *callState) checkResponse(resp *conns.Response, reservation Reservation) (attemptResult, bool) {
	info := s.relay.deps.Codec.DecodeResponse(resp.Header)
	if !s.isRefusal(resp, info) {
		if err := s.checkAnswer(resp.Header, info); err != nil {
			s.mayHaveRun = true
			if info.ID == s.call.ID && info.Signed {
				s.countBegan()
			}
			return attemptResult{outcome: Failed, err: err}, false
		}
	}
	reservation.HeadersReceived(info)
	if !info.NotStarted {
		s.countBegan()
		return attemptResult{}, true
	}
	if s.answering() {
		s.refusedResumes++
	}
	if err := readRefusal(resp); err != nil {
		return attemptResult{outcome: NotRun, err: err}, false
	}
	return attemptResult{outcome: NotRun, err: errors.Newf("status %d", resp.Header.StatusCode())}, false
}

// countBegan counts the call when the first server has begun to run it. Further attempts run the same request again.
func (s *callState) countBegan() {
	if s.relay.deps.Began != nil && s.call.began.CompareAndSwap(false, true) {
		s.relay.deps.Began(s.call.Account)
	}
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

// takeAnswer forwards the answer of a server that has begun to run the call, or holds a failure.
func (s *callState) takeAnswer(x *exchange) attemptResult {
	s.mayHaveRun, s.began = true, true
	if err := x.resp.SetReadDeadline(s.call.Deadline); err != nil {
		return attemptResult{outcome: Failed, err: errors.Newf("set read deadline of response: %w", err)}
	}
	if s.shouldHold(x.resp.Header) {
		return s.holdFailure(x)
	}
	return s.relayAnswer(x)
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
	case errors.IsAny(cause, errHeaderLate, errNoMemory):
		return attemptResult{outcome: Failed, err: cause}
	default:
		return attemptResult{outcome: Cancelled, refusal: fault.New(fault.Timeout, fault.Unknown, "the request ended").WithCause(cause)}
	}
}

// shouldHold reports whether a response must not be forwarded yet: it is a failure after which another attempt may
// succeed, or does not continue the stream of which the caller has received a part.
func (s *callState) shouldHold(h *fasthttp.ResponseHeader) bool {
	if s.w.Started() {
		return !s.continues(h)
	}
	return s.isFailure(h)
}

// isFailure reports whether a response is a failure after which another attempt may succeed.
func (s *callState) isFailure(h *fasthttp.ResponseHeader) bool {
	return h.StatusCode() >= fasthttp.StatusInternalServerError && s.call.Route.Repeatable()
}

// continues reports whether a response continues the stream of which the caller has received a part.
func (s *callState) continues(h *fasthttp.ResponseHeader) bool {
	return h.StatusCode() == fasthttp.StatusOK && mediaType(h) == s.mediaType
}

// mediaType returns the type of a response without its parameters.
func mediaType(h *fasthttp.ResponseHeader) string {
	t, _, _ := strings.Cut(string(h.ContentType()), ";")
	return strings.ToLower(strings.TrimSpace(t))
}

// holdFailure reads a failure response completely and keeps it, to forward it if no further attempt is made.
func (s *callState) holdFailure(x *exchange) attemptResult {
	f := &failureResponse{header: x.resp.Header, hold: s.newHold(x, maxFailureBodyBytes)}
	if err := f.read(x.resp); err != nil {
		f.hold.close()
		return attemptResult{outcome: Failed, err: err}
	}
	return attemptResult{outcome: Failed, err: errors.Newf("status %d", x.resp.Header.StatusCode()), failureResponse: f}
}

// relayAnswer forwards a response to the caller. A stream is forwarded in complete events, so that it can be resumed.
func (s *callState) relayAnswer(x *exchange) attemptResult {
	resp := x.resp
	stream := s.isStream(resp.Header)
	if !s.w.Started() {
		if stream {
			resp.Header.SetContentLength(-1)
		}
		s.mediaType = mediaType(resp.Header)
		s.markAnswer(resp.Header)
		s.w.Start(resp.Header)
	}
	err := s.copy(x, stream)
	switch {
	case err == nil:
		return attemptResult{done: true, outcome: Served}
	case errors.Is(err, errCallerWrite):
		s.w.Abort()
		return attemptResult{done: true, aborted: true, outcome: Cancelled, err: err}
	case s.w.Started() && (!stream || !s.call.Route.Resumable):
		s.w.Abort()
		return attemptResult{done: true, aborted: true, outcome: s.abortOutcome(x.ctx), err: err}
	default:
		return s.classifyError(x.ctx, err)
	}
}

// isStream reports whether a response is forwarded in complete events.
func (s *callState) isStream(h *fasthttp.ResponseHeader) bool {
	return s.call.Route.Kind == match.Stream && h.StatusCode() == fasthttp.StatusOK
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
func (s *callState) copy(x *exchange, stream bool) error {
	s.events.hold = s.newHold(x, maxEventBytes)
	defer s.events.discardPartial()
	var buf [copyBufferBytes]byte
	for {
		n, err := x.Read(buf[:])
		if n > 0 {
			before := s.events.count
			err := s.forward(x.hedge, buf[:n], stream)
			if stream && len(s.parts) > 0 && s.events.count > before && before > s.eventsBefore {
				s.relay.deps.Crashes.partsSafe(s.runID)
			}
			if !stream || s.events.count > before {
				// Bytes that complete no event, and comments, do not count as progress: a stalled server may still send some.
				x.progress()
			}
			if err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			return s.finishAnswer(x.hedge, stream)
		}
		if err != nil {
			return errors.Newf("read response: %w", err)
		}
	}
}

// recordFirstByte records the time to the first byte of the response; of a stream, to its first event.
func (s *callState) recordFirstByte() {
	if !s.gotFirstByte {
		s.gotFirstByte, s.firstByte = true, time.Since(s.call.Arrived)
		s.relay.deps.Metrics.FirstEvent(s.firstByte)
		s.observeAnswer()
	}
}

// forward writes bytes of a response to the caller: of a stream, only complete events that the caller does not have.
func (s *callState) forward(h *hedge, b []byte, stream bool) error {
	out, parseErr, isProgress := b, error(nil), true
	err := h.deliver(s, func() (bool, bool) {
		if stream {
			before := s.events.count
			out, parseErr = s.events.feed(b)
			isProgress = s.events.count > before
		}
		return len(out) > 0, isProgress
	})
	if err != nil {
		return err
	}
	if isProgress {
		s.recordFirstByte()
	}
	if err := s.w.Write(out); err != nil {
		return errors.Mark(err, errCallerWrite)
	}
	s.events.shrink()
	return parseErr
}

// finishAnswer completes a response. A stream that ends within an event is incomplete, however its body is framed.
func (s *callState) finishAnswer(h *hedge, stream bool) error {
	if stream && len(s.events.partial) > 0 {
		return errors.New("stream ended in the middle of an event")
	}
	if err := h.deliver(s, func() (bool, bool) { return true, true }); err != nil {
		return err
	}
	if err := s.w.End(); err != nil {
		return errors.Mark(err, errCallerWrite)
	}
	return nil
}

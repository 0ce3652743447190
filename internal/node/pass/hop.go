package pass

import (
	"context"
	"strconv"
	"time"

	"geraniumhollow/internal/core/fault"
	"geraniumhollow/internal/core/sets"
	"geraniumhollow/internal/node/front"
	"geraniumhollow/internal/plat/conns"
	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

// Hop is another node to which a call is passed on.
type Hop interface {
	// Node returns the address that identifies the node.
	Node() string
	// Conns returns the connection pool of the node.
	Conns() *conns.Pool
	// Done ends the hop. taken is set unless the node refused to take the call or could not be reached.
	Done(taken bool)
}

// Detour passes calls on to other nodes while this node cannot reach the backend servers. It is safe for concurrent use.
type Detour interface {
	// Choose returns a node outside tried that takes the call, or nil if this node is to send it to a server itself. It may
	// wait for a check of the links to servers, and makes one if broken is set: an attempt at a server has broken off. It
	// refuses the call if this node is isolated and no other one takes it.
	Choose(ctx context.Context, tried sets.Set[string], broken bool) (Hop, *fault.Error)
}

// Headers between nodes. They are removed before a request or an answer leaves the nodes.
const (
	// headerHopElapsed is the time since the request arrived, in milliseconds, and headerHopAttempts the number of attempts
	// that were made before. headerHopConfig is the version of the sender's configuration.
	headerHopElapsed  = "Hop-Elapsed-Ms"
	headerHopAttempts = "Hop-Attempts"
	headerHopConfig   = "Hop-Config"
	// headerHopOutcome tells answers of backend servers from errors of the node, and headerHopCode is the code of an error.
	headerHopOutcome = "Hop-Outcome"
	headerHopCode    = "Hop-Code"
)

// hopAnswer is the outcome of an answer of a backend server. That of an error is a fault.Outcome.
const hopAnswer = "answer"

// hopRequest is what a node tells another one about a call that it passes on.
type hopRequest struct {
	elapsed  time.Duration
	attempts int
	config   uint64
}

func (q hopRequest) encode(h *fasthttp.RequestHeader) {
	h.Set(headerHopElapsed, strconv.FormatInt(q.elapsed.Milliseconds(), 10))
	h.Set(headerHopAttempts, strconv.Itoa(q.attempts))
	h.Set(headerHopConfig, strconv.FormatUint(q.config, 10))
}

// decodeHopRequest reads and removes the headers of a call that another node passes on.
func decodeHopRequest(h *fasthttp.RequestHeader) (hopRequest, error) {
	elapsed, err := strconv.ParseInt(string(h.Peek(headerHopElapsed)), 10, 64)
	if err != nil {
		return hopRequest{}, errors.Newf("%s: %w", headerHopElapsed, err)
	}
	attempts, err := strconv.Atoi(string(h.Peek(headerHopAttempts)))
	if err != nil {
		return hopRequest{}, errors.Newf("%s: %w", headerHopAttempts, err)
	}
	config, err := strconv.ParseUint(string(h.Peek(headerHopConfig)), 10, 64)
	if err != nil {
		return hopRequest{}, errors.Newf("%s: %w", headerHopConfig, err)
	}
	for _, name := range []string{headerHopElapsed, headerHopAttempts, headerHopConfig} {
		h.Del(name)
	}
	return hopRequest{elapsed: time.Duration(elapsed) * time.Millisecond, attempts: attempts, config: config}, nil
}

// HandleForwarded handles a call that another node passes on.
func (r *Relay) HandleForwarded(ctx context.Context, req *front.Request, w *front.Writer) {
	q, err := decodeHopRequest(req.Header)
	if err != nil {
		RefuseForwarded(w, fault.New(fault.BadRequest, fault.NotRun, "a header is missing or malformed"))
		return
	}
	if t := r.deps.Table(); t == nil || t.Version() < q.config {
		RefuseForwarded(w, fault.New(fault.NodeIsolated, fault.NotRun, "the configuration is older than that of the sender"))
		return
	}
	r.handle(ctx, req, w, &q)
}

// RefuseForwarded answers a call of another node with an error of this node.
func RefuseForwarded(w *front.Writer, ferr *fault.Error) {
	w.Refuse(ferr.Status(), func(h *fasthttp.ResponseHeader) { encodeHopError(h, ferr) }, []byte(ferr.Message()))
}

// MarkShed marks the refusal of a call of another node whose body this node has no memory for. Without the mark, the other node
// takes it for an answer to another call.
func MarkShed(h *fasthttp.ResponseHeader) {
	encodeHopError(h, fault.New(fault.Overloaded, fault.NotRun, "the node has no memory for the body"))
}

func encodeHopError(h *fasthttp.ResponseHeader, ferr *fault.Error) {
	h.Set(headerHopOutcome, string(ferr.Outcome()))
	h.Set(headerHopCode, string(ferr.Code()))
	if after := ferr.RetryAfter(); after > 0 {
		h.Set(fasthttp.HeaderRetryAfter, formatSeconds(after))
	}
}

// decodeHopError returns the error of a node that did not answer with the answer of a server.
func decodeHopError(h *fasthttp.ResponseHeader) *fault.Error {
	outcome := fault.Outcome(h.Peek(headerHopOutcome))
	if outcome != fault.NotRun {
		outcome = fault.Unknown
	}
	ferr := fault.New(fault.Code(h.Peek(headerHopCode)), outcome, "another node refused the request")
	if s, err := strconv.ParseFloat(string(h.Peek(fasthttp.HeaderRetryAfter)), 64); err == nil {
		ferr = ferr.WithRetryAfter(time.Duration(s * float64(time.Second)))
	}
	return ferr
}

func formatSeconds(d time.Duration) string { return strconv.FormatFloat(d.Seconds(), 'f', 3, 64) }

// chooseHop returns the node to which the call must be passed on, or nil. A call that was passed on is not passed on again.
func (s *callState) chooseHop(ctx context.Context) (Hop, *fault.Error) {
	if s.relay.deps.Detour == nil {
		return nil, nil
	}
	h, refusal := s.relay.deps.Detour.Choose(ctx, s.triedNodes, s.broken)
	if h != nil && s.call.hop != nil {
		h.Done(true)
		return nil, fault.New(fault.NodeIsolated, fault.NotRun, "this node reaches no backend server either")
	}
	return h, refusal
}

// beginHop passes the call on to another node, as begin does to a server.
func (s *callState) beginHop(ctx context.Context, hop Hop) (*exchange, attemptResult) {
	attemptCtx, cancel := context.WithCancelCause(ctx)
	start, before := time.Now(), s.attempts
	x := &exchange{
		ctx: attemptCtx, cancel: cancel, hedge: &hedge{parent: ctx, cancelAttempt: cancel}, server: hop.Node(), progress: func() {},
	}
	x.record = func(s *callState, res attemptResult) {
		hop.Done(!res.notSent)
		if !res.done {
			s.triedNodes.Add(hop.Node())
		}
		s.relay.deps.Metrics.AttemptEnded(attemptMetricLabels[res.outcome])
		cause := res.err
		if res.refusal != nil {
			cause = res.refusal
		}
		s.relay.deps.Log.Info("passed a request on", "request", s.call.ID, "route", s.call.Route.Name, "attempt", before, "node", hop.Node(),
			"outcome", res.outcome, "taken", !res.notSent, "events", s.events.count, "ms", time.Since(start).Milliseconds(), "error", cause)
	}
	s.runID = 0
	res := s.sendHop(x, hop)
	if x.resp == nil {
		return nil, x.end(s, res)
	}
	return x, attemptResult{}
}

// sendHop sends the call to another node. If the node begins to answer, x gets the response, otherwise sendHop returns the result
// of the attempt.
func (s *callState) sendHop(x *exchange, hop Hop) attemptResult {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	s.call.req.Header.CopyTo(&req.Header)
	s.relay.deps.Codec.EncodeForwarded(&req.Header, AttemptInfo{TimeLeft: time.Until(s.call.Deadline), LastEventID: s.events.lastID})
	hopRequest{elapsed: time.Since(s.call.Arrived), attempts: s.countedAttempts(), config: s.call.config}.encode(&req.Header)
	req.SetBodyRaw(s.call.req.Body)
	s.sending(x)
	resp, err := hop.Conns().Exchange(x.ctx, conns.Exchange{
		Request: req, HeaderBy: s.call.Deadline,
		Matches: func(h *fasthttp.ResponseHeader) bool { return len(h.Peek(headerHopOutcome)) > 0 },
	})
	if err != nil {
		return s.classifyError(x.ctx, err)
	}
	if string(resp.Header.Peek(headerHopOutcome)) != hopAnswer {
		defer resp.Close()
		return s.hopRefused(resp)
	}
	if n, err := strconv.Atoi(string(resp.Header.Peek(headerHopAttempts))); err == nil {
		s.attempts += max(1, n) - 1
	}
	for _, name := range []string{headerHopOutcome, headerHopAttempts} {
		resp.Header.Del(name)
	}
	if err := s.checkAnswer(resp.Header, s.relay.deps.Codec.DecodeResponse(resp.Header)); err != nil {
		resp.Close()
		s.mayHaveRun = true
		return attemptResult{outcome: Failed, err: errors.Newf("another node: %w", err)}
	}
	x.resp = resp
	return attemptResult{}
}

// hopRefused returns the result of an attempt that another node answered with an error.
func (s *callState) hopRefused(resp *conns.Response) attemptResult {
	ferr := decodeHopError(resp.Header)
	err := readRefusal(resp)
	switch {
	case ferr.Outcome() != fault.NotRun:
		s.mayHaveRun = true
		return attemptResult{outcome: Failed, err: errors.Newf("another node: status %d", resp.Header.StatusCode())}
	case ferr.Code() == fault.NodeIsolated || ferr.Code() == fault.NodeDraining:
		// The node did not take the call: the next one may.
		s.attempts--
		return attemptResult{outcome: NotRun, notSent: true, err: errors.CombineErrors(errors.Newf("node does not take requests: %w", ferr), err)}
	case s.answering():
		// A response that has begun can only be cut, not refused: another node may continue it.
		s.attempts--
		return attemptResult{outcome: NotRun, err: ferr}
	default:
		s.attempts--
		return attemptResult{outcome: NotRun, refusal: ferr}
	}
}

// markAnswer adds the headers of an answer to a call that another node has passed on.
func (s *callState) markAnswer(h *fasthttp.ResponseHeader) {
	if s.call.hop != nil {
		h.Set(headerHopOutcome, hopAnswer)
		h.Set(headerHopAttempts, strconv.Itoa(s.countedAttempts()-s.call.hop.attempts))
	}
}

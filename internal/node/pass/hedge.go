package pass

import (
	"bytes"
	"context"
	"io"
	"sync"
	"time"

	"geraniumhollow/internal/core/tasks"
	"geraniumhollow/internal/route/retry"
	"github.com/cockroachdb/errors"
)

// errSuperseded ends an attempt whose response another attempt continues.
var errSuperseded = errors.New("another attempt continues the response")

// searchAgainAfter is the time after which another search for a server may begin. A node that reaches none of them reports all of
// them as silent with each check.
const searchAgainAfter = 500 * time.Millisecond

// hedge makes further attempts beside one whose server is silent. That one goes on, and ends only when the server of another one
// has sent what the caller lacks: a silent server may only lack processor time, and nothing may be able to replace it.
type hedge struct {
	// parent is the context of the further attempts.
	parent context.Context //nolint:containedctx // They begin long after the hedge is made.
	// cancelAttempt ends the attempt.
	cancelAttempt context.CancelCauseFunc

	mu sync.Mutex
	// state is the state of the call for further attempts; nil until the attempt is sent. Only the goroutine of the group uses it
	// while active is set.
	state *callState
	// group runs the further attempts; nil if there were none. cancel ends them.
	group  *tasks.Group
	cancel context.CancelFunc
	active bool
	// searchedAt is when the last search for another server ended.
	searchedAt time.Time
	// closed is set once the attempt has ended.
	closed bool
	// progress counts the parts of the response that the attempt has delivered. answering is set once the caller may have
	// received part of the response, which is of mediaType. lastID and events are the last event that it has and the number of
	// events.
	progress  int
	answering bool
	lastID    string
	events    int
	mediaType string
	// numbered is set if the IDs of the events are numbers.
	numbered bool
	// next is the attempt that continues the response, superseded is set if it ended the first one.
	next       *exchange
	superseded bool
}

// arm allows further attempts, at other servers than the given one, once the attempt is being sent.
func (h *hedge) arm(s *callState, server string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.state = s.fork()
	h.state.tried.Add(server)
	h.answering, h.lastID, h.events, h.mediaType = s.answering(), s.events.lastID, s.events.count, s.mediaType
}

// silent handles the notice that the server makes no progress.
func (h *hedge) silent(cause error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case h.closed || h.active || h.superseded:
		return
	case h.state == nil:
		h.cancelAttempt(cause)
		return
	case h.answering && !h.state.call.Route.Resumable, time.Since(h.searchedAt) < searchAgainAfter:
		return
	}
	if h.group == nil {
		h.parent, h.cancel = context.WithCancel(h.parent)
		h.group = tasks.New(h.parent)
	}
	h.active = true
	h.state.broken = errors.Is(cause, errHeaderLate)
	h.state.started, h.state.mediaType, h.state.events = h.answering, h.mediaType, eventParser{lastID: h.lastID, count: h.events}
	progress := h.progress
	h.group.Go("hedge", func(context.Context) error {
		defer h.release()
		x := h.state.next(h.parent)
		if !h.offer(x, progress, cause) {
			x.discard(h.state)
		}
		return nil
	})
}

// offer has another attempt, unless it is nil, continue the response, if the first attempt has ended, or delivered nothing since
// its progress was as given. It reports whether it has.
func (h *hedge) offer(x *exchange, progress int, cause error) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if x == nil {
		return true
	}
	// Events that were delivered meanwhile come again. They are only dropped if their IDs are numbers.
	if h.progress != progress && (!h.closed || !h.numbered) {
		return false
	}
	h.next = x
	if !h.closed {
		h.superseded = true
		h.cancelAttempt(cause)
	}
	return true
}

// release allows a new search for a server.
func (h *hedge) release() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.active, h.searchedAt = false, time.Now()
}

// deliver calls take, which takes the next part of the response, unless another attempt continues the response. take reports whether
// the caller receives something, and whether it is progress, which comments are not.
func (h *hedge) deliver(s *callState, take func() (bool, bool)) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.superseded {
		return errSuperseded
	}
	received, progress := take()
	if received {
		h.answering = true
	}
	if progress {
		h.progress++
	}
	h.lastID, h.events, h.mediaType, h.numbered = s.events.lastID, s.events.count, s.mediaType, s.events.numbered
	return nil
}

// close ends the hedge when the attempt has ended. It returns the attempt that continues the response, or nil. If the response is
// complete, or the call has ended, there is none, and further attempts are ended.
func (h *hedge) close(s *callState, ended bool) *exchange {
	h.mu.Lock()
	h.closed = true
	group := h.group
	h.mu.Unlock()
	if group == nil {
		return nil
	}
	if ended {
		h.cancel()
	}
	if err := group.Wait(); err != nil {
		s.relay.deps.Log.Error("an attempt beside another one failed", "request", s.call.ID, "error", err)
	}
	s.merge(h.state)
	if ended {
		h.next.discard(s)
	}
	if ended || h.next == nil {
		h.cancel()
		return nil
	}
	return h.next
}

// fork returns a copy of the state of a call, for attempts beside the current one.
func (s *callState) fork() *callState {
	call := *s.call
	return &callState{
		relay: s.relay, call: &call, parts: s.parts, tried: s.tried.Union(nil), triedNodes: s.triedNodes.Union(nil), counted: true,
		attempts: s.attempts, attemptsAtFork: s.attempts, refusedResumes: s.refusedResumes, refusedAtFork: s.refusedResumes,
		mayHaveRun: s.mayHaveRun, forked: true,
	}
}

// merge adds the attempts of a fork that has ended.
func (s *callState) merge(fork *callState) {
	s.attempts += fork.attempts - fork.attemptsAtFork
	s.refusedResumes += fork.refusedResumes - fork.refusedAtFork
	s.tried, s.triedNodes = s.tried.Union(fork.tried), s.triedNodes.Union(fork.triedNodes)
	s.mayHaveRun = s.mayHaveRun || fork.mayHaveRun
	s.failure.drop()
	s.failure, fork.failure = fork.failure, nil
}

// takeFailure holds a failure of a server that has run the call.
func (s *callState) takeFailure(x *exchange) attemptResult {
	if err := x.resp.SetReadDeadline(s.call.Deadline); err != nil {
		return attemptResult{outcome: Failed, err: errors.Newf("set read deadline of failure response: %w", err)}
	}
	return s.holdFailure(x)
}

// readHead reads the body of an answer until it has a part that the caller lacks: of a stream, an event.
func (s *callState) readHead(x *exchange) error {
	if err := x.resp.SetReadDeadline(s.call.Deadline); err != nil {
		return errors.Newf("set read deadline of response: %w", err)
	}
	stream := s.isStream(x.resp.Header)
	events := eventParser{hold: s.newHold(x, maxEventBytes)}
	defer events.discardPartial()
	if s.events.lastID != "" {
		events.resumeFrom(s.events.lastID)
	}
	var buf [copyBufferBytes]byte
	for {
		n, err := x.resp.Read(buf[:])
		part := buf[:n]
		if stream {
			var parseErr error
			part, parseErr = events.feed(part)
			if events.count == 0 {
				part = nil // Comments alone continue nothing.
			}
			if parseErr != nil && len(part) == 0 {
				return parseErr
			}
		}
		switch {
		case len(part) > 0 && stream:
			// Events that the caller has, and comments before the first new one, are left out: a server may send them without end.
			x.head, x.hold = events.take(part)
			return nil
		case len(part) > 0:
			x.head = bytes.Clone(part)
			return nil
		case errors.Is(err, io.EOF) && len(events.partial) == 0:
			x.headEnds = true
			return nil
		case err != nil:
			return errors.Newf("read response: %w", err)
		}
	}
}

// next makes attempts until a server has begun to answer with what continues the response. It returns nil if the retry rules
// allow no more, or no server is available.
func (s *callState) next(ctx context.Context) *exchange {
	budget := s.relay.deps.Budget(s.call.Service.Name)
	res := attemptResult{outcome: Stalled}
	for {
		input := s.retryInput(res)
		input.Speculative = true
		v := retry.Decide(time.Now(), input, budget)
		s.logDecision("decided on an attempt beside one at a silent server", res, v)
		if !v.Retry {
			return nil
		}
		s.relay.deps.Metrics.Retried()
		before, notSent := s.attempts, res.notSent
		var x *exchange
		if x, res = s.begin(ctx); x != nil {
			var ok bool
			if res, ok = s.checkHead(x); ok {
				return x
			}
			res = x.end(s, res)
		}
		if res.refusal != nil {
			if s.attempts == before && !notSent {
				budget.Return(time.Now())
			}
			return nil
		}
	}
}

// checkHead reports whether the answer of an attempt has begun with what the caller lacks. If not, it returns the result of the
// attempt.
func (s *callState) checkHead(x *exchange) (attemptResult, bool) {
	switch {
	case !s.started && s.isFailure(x.resp.Header):
		res := s.takeFailure(x)
		s.failure.drop()
		s.failure = res.failureResponse
		return res, false
	case s.started && !s.continues(x.resp.Header):
		return attemptResult{outcome: Failed, err: errors.Newf("status %d does not continue the response", x.resp.Header.StatusCode())}, false
	}
	if err := s.readHead(x); err != nil {
		return s.classifyError(x.ctx, err), false
	}
	return attemptResult{}, true
}

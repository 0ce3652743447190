package relay

import (
	"context"
	"math/rand/v2"

	"geraniumhollow/internal/conf/schema"
	"geraniumhollow/internal/core/fault"
	"geraniumhollow/internal/route/stream"
	"github.com/cockroachdb/errors"
)

// Attempts of an answer that is resumed without its record have numbers from a random start, because
// the numbers of its earlier attempts are not known.
const (
	foreignAttempts = 1_000
	foreignSpan     = 1_000_000
)

// errUnknownRequest answers for requests that are not known and for those of other accounts alike.
func errUnknownRequest() *fault.Error {
	return fault.New(fault.NotFound, fault.Unknown, "the request is not known")
}

// Resume begins the rest of an answer: from this node's memory or running request, from the node that
// the request began on, or else from the engine that gave the last token. The answer has to be closed.
func (r *Relay) Resume(ctx context.Context, account schema.Account, a Ask) (*Answer, *fault.Error) {
	node, tag, ok := ParseRequestID(a.RequestID)
	if !ok || tag != AccountTag(account.Name) {
		return nil, errUnknownRequest()
	}
	a.Account = account.Name
	answer, ferr := r.resumeLocal(ctx, a)
	if ferr == nil || ferr.Code() != fault.NotFound {
		return answer, ferr
	}
	return r.resumeForeign(ctx, account, node, a)
}

// ResumeLocal passes the rest of an answer to sink if this node has its record, and else returns an
// error with code not_found.
func (r *Relay) ResumeLocal(ctx context.Context, a Ask, sink Sink) *fault.Error {
	answer, ferr := r.resumeLocal(ctx, a)
	if ferr != nil {
		return ferr
	}
	return answer.deliver(sink)
}

// resumeLocal ends the running turn of a record, if any, and starts another one at the offset.
func (r *Relay) resumeLocal(ctx context.Context, a Ask) (*Answer, *fault.Error) {
	rec, ok := r.recent.get(a.RequestID)
	if !ok || rec.account != a.Account {
		return nil, errUnknownRequest()
	}
	rec.resuming.Lock()
	defer rec.resuming.Unlock()
	rec.mu.Lock()
	cancel, done := rec.cancel, rec.done
	rec.mu.Unlock()
	cancel(errTakenOver)
	select {
	case <-done:
	case <-ctx.Done():
		return nil, fault.New(fault.OutcomeUnknown, fault.Unknown, "the caller is gone").WithCause(ctx.Err())
	}
	if !r.recent.revive(rec) {
		return nil, errUnknownRequest()
	}
	if !rec.log.Seek(a.Offset) {
		r.recent.settle(rec, r.view().Limits.NodeBufferBytes/answersPart)
		return nil, errUnknownRequest()
	}
	return r.start(ctx, rec), nil
}

// resumeForeign resumes an answer of which this node has neither the prompt nor the text.
func (r *Relay) resumeForeign(
	ctx context.Context, account schema.Account, node string, a Ask,
) (*Answer, *fault.Error) {
	limit := r.view().Limits.RequestBufferBytes
	rec, ferr := r.open(Completion{
		ID: a.RequestID, Account: account, Model: r.ModelOf(a.Server), Priority: account.Priority,
	}, limit)
	if ferr != nil {
		return nil, ferr.WithOutcome(fault.Unknown)
	}
	rec.log = stream.NewLog(rec.share, limit, a.Offset)
	rec.log.Begin(a.Server)
	rec.started = true
	rec.attempts = foreignAttempts + rand.IntN(foreignSpan)
	if node != r.deps.Node {
		rec.origin = node
	}
	return r.start(ctx, rec), nil
}

// fromOrigin takes the answer from the node that the request began on. It returns false when that node
// cannot give all of it; the engine has to go on then.
func (u *run) fromOrigin(ctx context.Context) bool {
	if u.rec.origin == "" {
		return false
	}
	ask := Ask{RequestID: u.c.ID, Account: u.c.Account.Name, Offset: u.log.End(), Server: u.log.Server()}
	err := u.r.deps.Origin.Resume(ctx, u.rec.origin, ask, func(f stream.Frame) error {
		if f.Server != u.log.Server() {
			u.log.Begin(f.Server)
		}
		return u.hold(ctx, f)
	})
	if err != nil {
		u.r.log.Info("origin node cannot resume", "request_id", u.c.ID, "node", u.rec.origin, "error", err)
	}
	// An answer that the caller has seen to its end has no further frame.
	return err == nil || u.log.Done()
}

// hold appends a frame and waits for a slow caller.
func (u *run) hold(ctx context.Context, f stream.Frame) error {
	for {
		err := u.log.Append(f)
		if !errors.Is(err, stream.ErrFull) {
			return err //nolint:wrapcheck // Logged with its context by the caller.
		}
		if err := u.log.WaitDrained(ctx); err != nil {
			return errors.Newf("wait for the caller: %w", err)
		}
	}
}

// ModelOf returns the model of a backend server that is in service, or "".
func (r *Relay) ModelOf(server string) string {
	s, _ := serverByName(r.view(), server)
	return s.Model
}

// Status returns what this node knows of a request of a client account.
func (r *Relay) Status(id, account string) (Status, bool) {
	rec, ok := r.recent.get(id)
	if !ok || rec.account != account {
		return Status{}, false
	}
	return rec.snapshot(), true
}

// Outcome returns what is known of a request of a client account, and asks the node that it began on.
func (r *Relay) Outcome(ctx context.Context, id, account string) (Status, *fault.Error) {
	if s, ok := r.Status(id, account); ok {
		return s, nil
	}
	node, tag, ok := ParseRequestID(id)
	if !ok || tag != AccountTag(account) || node == r.deps.Node {
		return Status{}, errUnknownRequest()
	}
	s, err := r.deps.Origin.Outcome(ctx, node, id, account)
	var ferr *fault.Error
	switch {
	case err == nil:
		return s, nil
	case errors.As(err, &ferr):
		return Status{}, ferr
	}
	return Status{}, fault.New(fault.OutcomeUnknown, fault.Unknown, "the node of the request cannot be asked").
		WithRetryAfter(retryAfter).WithCause(err)
}

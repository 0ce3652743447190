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

// Resume passes the rest of an answer to sink: from this node's memory or running request, from the
// node that the request began on, or else from the engine that gave the last token.
func (r *Relay) Resume(ctx context.Context, account schema.Account, a Ask, sink Sink) *fault.Error {
	node, tag, ok := ParseRequestID(a.RequestID)
	if !ok || tag != AccountTag(account.Name) {
		return errUnknownRequest()
	}
	a.Account = account.Name
	follow := func(f stream.Frame) error {
		if err := sink(f); err != nil {
			return errors.Mark(err, errCallerGone)
		}
		a.Offset, a.Server = f.Offset+1, f.Server
		return nil
	}
	if ferr := r.ResumeLocal(ctx, a, follow); !isUnknownRequest(ferr) {
		return ferr
	}
	if node != r.deps.Node {
		if done, ferr := r.resumeAtOrigin(ctx, node, a, follow); done {
			return ferr
		}
	}
	return r.resumeAtEngine(ctx, account, a, follow)
}

func isUnknownRequest(ferr *fault.Error) bool { return ferr != nil && ferr.Code() == fault.NotFound }

// resumeAtOrigin asks the node that the request began on. It returns false when that node cannot help.
func (r *Relay) resumeAtOrigin(ctx context.Context, node string, a Ask, sink Sink) (bool, *fault.Error) {
	err := r.deps.Origin.Resume(ctx, node, a, sink)
	var ferr *fault.Error
	switch {
	case err == nil:
		return true, nil
	case errors.Is(err, errCallerGone) || ctx.Err() != nil:
		return true, fault.New(fault.OutcomeUnknown, fault.Unknown, "the caller is gone").WithCause(err)
	case errors.As(err, &ferr) && !isUnknownRequest(ferr):
		return true, ferr
	}
	r.log.Info("origin node cannot resume", "request_id", a.RequestID, "node", node, "error", err)
	return false, nil
}

// ResumeLocal passes the rest of an answer to sink if this node has its record, and else returns an
// error with code not_found. A request that still runs for another connection is taken over.
func (r *Relay) ResumeLocal(ctx context.Context, a Ask, sink Sink) *fault.Error {
	rec, ok := r.recent.get(a.RequestID)
	if !ok || rec.account != a.Account {
		return errUnknownRequest()
	}
	t, ferr := r.restart(ctx, rec, a.Offset)
	if ferr != nil {
		return ferr
	}
	return t.deliver(sink)
}

// restart ends the running turn of a record, if any, and starts another one at offset.
func (r *Relay) restart(ctx context.Context, rec *record, offset int) (turn, *fault.Error) {
	rec.resuming.Lock()
	defer rec.resuming.Unlock()
	rec.mu.Lock()
	cancel, done := rec.cancel, rec.done
	rec.mu.Unlock()
	cancel(errTakenOver)
	select {
	case <-done:
	case <-ctx.Done():
		return turn{}, fault.New(fault.OutcomeUnknown, fault.Unknown, "the caller is gone").WithCause(ctx.Err())
	}
	if !r.recent.revive(rec) {
		return turn{}, errUnknownRequest()
	}
	if !rec.log.Seek(offset) {
		r.recent.settle(rec, r.view().Limits.NodeBufferBytes/answersPart)
		return turn{}, errUnknownRequest()
	}
	return r.start(ctx, rec), nil
}

// resumeAtEngine has the engine that gave the last token go on by itself: this node has neither the
// prompt nor the text.
func (r *Relay) resumeAtEngine(ctx context.Context, account schema.Account, a Ask, sink Sink) *fault.Error {
	s, ok := serverByName(r.view(), a.Server)
	if !ok {
		return fault.New(fault.OutcomeUnknown, fault.Unknown, "the answer cannot be resumed")
	}
	rec, ferr := r.open(Completion{
		ID: a.RequestID, Account: account, Model: s.Model, Priority: account.Priority,
	}, r.view().Limits.RequestBufferBytes)
	if ferr != nil {
		return ferr.WithOutcome(fault.Unknown)
	}
	rec.log = stream.NewLog(rec.share, r.view().Limits.RequestBufferBytes, a.Offset)
	rec.log.Begin(s.Name)
	rec.started = true
	rec.attempts = foreignAttempts + rand.IntN(foreignSpan)
	return r.start(ctx, rec).deliver(sink)
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

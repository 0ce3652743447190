package relay

import (
	"context"
	"math/rand/v2"

	"geraniumhollow/internal/conf/schema"
	"geraniumhollow/internal/core/fault"
	"geraniumhollow/internal/route/stream"
	"github.com/cockroachdb/errors"
)

// The attempts of an answer that is resumed without its record are numbered from a random start, because
// the numbers of its earlier attempts are unknown.
const (
	minResumedAttempt  = 1_000
	resumedAttemptSpan = 1_000_000
)

// errUnknownRequest returns the error for unknown requests. Requests of other accounts get the same error.
func errUnknownRequest() *fault.Error {
	return fault.New(fault.NotFound, fault.Unknown, "the request is not known")
}

// Resume resumes an answer from the record on this node, from the origin node of the request, or else from
// the engine that produced the last token. The caller must close the answer.
func (r *Relay) Resume(ctx context.Context, account schema.Account, a ResumeRequest) (*Answer, *fault.Error) {
	node, tag, ok := ParseRequestID(a.RequestID)
	if !ok || tag != AccountTag(account.Name) {
		return nil, errUnknownRequest()
	}
	a.Account = account.Name
	answer, ferr := r.resumeLocal(ctx, a)
	if ferr == nil || ferr.Code() != fault.NotFound {
		return answer, ferr
	}
	return r.resumeWithoutRecord(ctx, account, node, a)
}

// ResumeLocal passes the rest of an answer to sink if this node has its record, and otherwise returns an
// error with code not_found.
func (r *Relay) ResumeLocal(ctx context.Context, a ResumeRequest, sink Sink) *fault.Error {
	answer, ferr := r.resumeLocal(ctx, a)
	if ferr != nil {
		return ferr
	}
	return answer.deliver(sink)
}

// resumeLocal cancels the current run of a record, if any, and starts another one at the offset.
func (r *Relay) resumeLocal(ctx context.Context, a ResumeRequest) (*Answer, *fault.Error) {
	rec, ok := r.records.get(a.RequestID)
	if !ok || rec.account != a.Account {
		return nil, errUnknownRequest()
	}
	rec.resumeMu.Lock()
	defer rec.resumeMu.Unlock()
	rec.mu.Lock()
	cancel, done := rec.cancel, rec.done
	rec.mu.Unlock()
	cancel(errResumedElsewhere)
	select {
	case <-done:
	case <-ctx.Done():
		return nil, fault.New(fault.OutcomeUnknown, fault.Unknown, "the caller is gone").WithCause(ctx.Err())
	}
	if !r.records.reopen(rec) {
		return nil, errUnknownRequest()
	}
	if !rec.log.Seek(a.Offset) {
		r.records.addEnded(rec, r.view().Limits.NodeBufferBytes/answerBudgetDivisor)
		return nil, errUnknownRequest()
	}
	return r.start(ctx, rec), nil
}

// resumeWithoutRecord resumes an answer of which this node has neither the prompt nor the text.
func (r *Relay) resumeWithoutRecord(
	ctx context.Context, account schema.Account, node string, a ResumeRequest,
) (*Answer, *fault.Error) {
	limit := r.view().Limits.RequestBufferBytes
	rec, ferr := r.open(Completion{
		ID: a.RequestID, Account: account, Model: r.ModelOf(a.Server), Priority: account.Priority,
	}, limit)
	if ferr != nil {
		return nil, ferr.WithOutcome(fault.Unknown)
	}
	rec.log = stream.NewBuffer(rec.share, limit, a.Offset)
	rec.log.Begin(a.Server)
	rec.mayHaveRun = true
	rec.attempts = minResumedAttempt + rand.IntN(resumedAttemptSpan)
	if node != r.deps.Node {
		rec.origin = node
	}
	return r.start(ctx, rec), nil
}

// copyFromOrigin copies the rest of the answer from the origin node. It returns false when that node cannot
// deliver all of it; the engine must continue the answer then.
func (u *run) copyFromOrigin(ctx context.Context) bool {
	if u.rec.origin == "" {
		return false
	}
	ask := ResumeRequest{RequestID: u.c.ID, Account: u.c.Account.Name, Offset: u.log.NextOffset(), Server: u.log.Server()}
	err := u.r.deps.Origin.Resume(ctx, u.rec.origin, ask, func(f stream.Frame) error {
		if f.Server != u.log.Server() {
			u.log.Begin(f.Server)
		}
		return u.appendWhenDrained(ctx, f)
	})
	if err != nil {
		u.r.log.Info("origin node could not resume the answer", "request_id", u.c.ID, "node", u.rec.origin, "error", err)
	}
	// Without an error the answer is complete even if no frame arrived: the caller may have received all of
	// it before.
	return err == nil || u.log.Complete()
}

// appendWhenDrained appends a frame to the log. While the log is full, it waits for the caller to read.
func (u *run) appendWhenDrained(ctx context.Context, f stream.Frame) error {
	for {
		err := u.log.Append(f)
		if !errors.Is(err, stream.ErrSlowCaller) {
			return err //nolint:wrapcheck // Logged with its context by the caller.
		}
		if err := u.log.WaitDrained(ctx); err != nil {
			return errors.Newf("wait for the caller: %w", err)
		}
	}
}

// ModelOf returns the model of a backend server, or "" if the server is not in service.
func (r *Relay) ModelOf(server string) string {
	s, _ := serverByName(r.view(), server)
	return s.Model
}

// Status returns the status of a client account's request if this node has its record.
func (r *Relay) Status(id, account string) (Status, bool) {
	rec, ok := r.records.get(id)
	if !ok || rec.account != account {
		return Status{}, false
	}
	return rec.snapshot(), true
}

// Outcome returns the status of a client account's request, from this node or else from the origin node.
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

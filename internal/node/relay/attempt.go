package relay

import (
	"context"
	"io"
	"syscall"
	"time"

	"geraniumhollow/internal/plat/engine"
	"geraniumhollow/internal/route/stream"
	"github.com/cockroachdb/errors"
)

// framesUntilSafe is the number of frames after which a prompt has not crashed its server.
const framesUntilSafe = 2

// attempt runs the request on one backend server. It returns nil when the answer is complete.
func (u *run) attempt(ctx context.Context, rsv reservation) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	s := rsv.server
	defer u.r.inFlight.add(s.Name, cancel)()
	res := Result{Failed: true, Instance: rsv.grant.Instance}
	u.r.deps.Picker.Started(s.Name, u.w)
	timer := time.AfterFunc(u.r.deps.Timeouts.FirstFrame, func() { cancel(errStalled) })
	defer timer.Stop()
	number, before := u.rec.startAttempt()
	client := u.r.clients.get(s.Address, rsv.grant.Instance)
	start := time.Now()
	st, err := client.Complete(ctx, u.job(number, rsv.grant))
	if err != nil {
		err = withCause(ctx, errors.Newf("attempt %d: %w", number, err))
		if errors.Is(err, engine.ErrNotStarted) {
			u.rec.revertAttempt(before)
			res.End = EndNotStarted
		} else {
			u.dataCentre = s.DataCentre
			err = errors.Mark(err, errNoResponse)
			// The engine may receive the attempt after this cancel, so its acknowledgement does not prove
			// that the attempt has ended.
			u.r.cancels.send(client, u.c.ID, number, nil)
			u.reportBrokenConnection(rsv, err)
		}
		u.release(rsv, res, err)
		return err
	}
	defer st.Close()
	res.Instance, res.State = st.Instance, st.State
	u.dataCentre = s.DataCentre
	u.log.Begin(s.Name)
	if rsv.guardRun != nil {
		rsv.guardRun.AnswerBegan()
	}
	frames := 0
	err = u.copyFrames(st, number, func(f engine.Frame) {
		if frames++; frames == framesUntilSafe && rsv.guardRun != nil {
			rsv.guardRun.Progressed()
		}
		if res.FirstToken == 0 {
			res.FirstToken = time.Since(start)
		}
		res.PromptTokens, res.CachedTokens = max(res.PromptTokens, f.PromptTokens), max(res.CachedTokens, f.CachedTokens)
		timer.Reset(u.r.deps.Timeouts.Frame)
	})
	res.Failed = err != nil && !errors.Is(err, stream.ErrSlowCaller)
	if err == nil {
		res.End = EndConfirmed
		u.release(rsv, res, nil)
		return nil
	}
	err = withCause(ctx, errors.Newf("attempt %d: %w", number, err))
	u.reportBrokenConnection(rsv, err)
	u.r.cancels.send(client, u.c.ID, number, func(acknowledged bool) {
		if acknowledged {
			res.End = EndConfirmed
		}
		u.release(rsv, res, err)
	})
	return err
}

// release releases the grant of an attempt and reports its result to the picker and the guard. It may be
// called after the request has ended.
func (u *run) release(rsv reservation, res Result, err error) {
	u.r.deps.Granter.Release(rsv.grant, res)
	u.r.deps.Picker.Ended(rsv.server.Name, u.w, res)
	if errors.Is(err, engine.ErrInstanceChanged) && u.r.deps.Guard != nil {
		u.r.deps.Guard.ServerDied(rsv.server.Name)
	}
	if rsv.guardRun == nil {
		return
	}
	switch {
	case err == nil:
		rsv.guardRun.Complete()
	case res.End == EndNotStarted:
		rsv.guardRun.NotStarted()
	case causedLocally(err):
		rsv.guardRun.Abandon()
	default:
		rsv.guardRun.ConnectionLost()
	}
}

// causedLocally reports whether this node ended an attempt, so that the error is no sign of a crash of the
// backend server.
func causedLocally(err error) bool {
	return errors.IsAny(err, stream.ErrSlowCaller, ErrAborted, errResumedElsewhere, errTimeout, errStalled, context.Canceled)
}

// deathProbeTimeout limits the load request to a server whose connection broke.
const deathProbeTimeout = 500 * time.Millisecond

// reportBrokenConnection reports to the guard that the connection of an attempt broke and, if so, that the
// server died. It must run before the next attempt: otherwise a request that crashes servers would run on
// several of them before the load reports show the first crash.
func (u *run) reportBrokenConnection(rsv reservation, err error) {
	if rsv.guardRun == nil || causedLocally(err) {
		return
	}
	rsv.guardRun.ConnectionLost()
	if instanceGone(rsv) {
		u.r.deps.Guard.ServerDied(rsv.server.Name)
	}
}

// instanceGone reports whether the server of a grant refuses connections or runs another instance than the
// one that the grant is for.
func instanceGone(rsv reservation) bool {
	ctx, cancel := context.WithTimeout(context.Background(), deathProbeTimeout)
	defer cancel()
	c := engine.New(rsv.server.Address, "")
	defer c.Close()
	report, err := c.Load(ctx)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	return rsv.grant.Instance != "" && report.Instance != rsv.grant.Instance
}

// withCause adds the cancellation cause of ctx, if any, to err.
func withCause(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return errors.Mark(errors.Newf("%w: %w", cause, err), cause)
	}
	return err
}

// startAttempt returns the number of a new attempt and sets mayHaveRun. The second result is the previous
// value of mayHaveRun.
func (rec *record) startAttempt() (int, bool) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	before := rec.mayHaveRun
	rec.mayHaveRun = true
	rec.attempts++
	return rec.attempts, before
}

// revertAttempt restores mayHaveRun after proof that the attempt did not start.
func (rec *record) revertAttempt(before bool) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.mayHaveRun = before
}

func (u *run) job(number int, g Grant) engine.Job {
	j := engine.Job{
		RequestID: u.c.ID, Attempt: number, Offset: u.log.NextOffset(), Account: u.c.Account.Name,
		Priority: u.c.Priority, SendBy: g.ExpiresAt,
		Body: engine.Body{
			Model: u.c.Model, Version: u.c.Version, Adapter: u.c.Adapter, Prompt: u.c.Prompt,
			Messages: u.c.Messages, MaxTokens: u.c.MaxTokens, Seed: u.c.Seed,
		},
	}
	if j.Offset > 0 {
		j.Body.ResumeText, _ = u.log.Text()
	}
	return j
}

// copyFrames appends the frames of an attempt to the log until the answer is complete. It calls onFrame for
// each frame that advances the answer.
func (u *run) copyFrames(st *engine.Stream, number int, onFrame func(engine.Frame)) error {
	asm := stream.New(u.log.NextOffset())
	asm.Begin(number)
	var ready []stream.Frame
	for {
		f, err := st.Next()
		if errors.Is(err, io.EOF) {
			return errors.New("engine ended the stream before the answer was complete")
		}
		if err != nil {
			return errors.Newf("read frame: %w", err)
		}
		before := asm.NextOffset()
		ready, err = asm.Add(ready[:0], stream.Frame{
			Attempt: f.Attempt, Offset: f.Offset, Text: f.Text, FinishReason: f.FinishReason,
		})
		if err != nil {
			return errors.Newf("assemble answer: %w", err)
		}
		if asm.NextOffset() > before || len(ready) > 0 {
			onFrame(f)
		}
		u.pace.record(time.Now(), countTokens(ready))
		for _, out := range ready {
			if err := u.log.Append(out); err != nil {
				return errors.Newf("append frame to answer: %w", err)
			}
			if out.FinishReason != "" {
				return nil
			}
		}
	}
}

// countTokens returns the number of frames that carry a token; the frame with the finish reason carries none.
func countTokens(list []stream.Frame) int {
	n := len(list)
	if n > 0 && list[n-1].FinishReason != "" {
		n--
	}
	return n
}

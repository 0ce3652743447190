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

// attempt runs the request on one backend server. It returns nil when the answer is whole.
func (u *run) attempt(ctx context.Context, p place) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	s := p.server
	defer u.r.flights.add(s.Name, cancel)()
	res := Result{Failed: true, Instance: p.grant.Instance}
	u.r.deps.Picker.Started(s.Name, u.w)
	timer := time.AfterFunc(u.r.deps.Timeouts.FirstFrame, func() { cancel(errStalled) })
	defer timer.Stop()
	number, before := u.rec.startAttempt()
	client := u.r.clients.get(s.Address, p.grant.Instance)
	begun := time.Now()
	st, err := client.Complete(ctx, u.job(number, p.grant))
	if err != nil {
		err = withCause(ctx, errors.Newf("attempt %d: %w", number, err))
		if errors.Is(err, engine.ErrNotStarted) {
			u.rec.revertAttempt(before)
			res.End = Unused
		} else {
			u.dataCentre = s.DataCentre
			err = errors.Mark(err, errNoStream)
			// The attempt may still be on its way, so the answer to this cancel proves nothing.
			u.r.cancels.send(client, u.c.ID, number, nil)
			u.suspect(p, err)
		}
		u.end(p, res, err)
		return err
	}
	defer st.Close()
	res.Instance, res.State = st.Instance, st.State
	u.dataCentre = s.DataCentre
	u.log.Begin(s.Name)
	err = u.copyFrames(st, number, func(f engine.Frame) {
		if res.FirstToken == 0 {
			res.FirstToken = time.Since(begun)
		}
		res.PromptTokens, res.CachedTokens = max(res.PromptTokens, f.PromptTokens), max(res.CachedTokens, f.CachedTokens)
		timer.Reset(u.r.deps.Timeouts.Frame)
	})
	res.Failed = err != nil && !errors.Is(err, stream.ErrFull)
	if err == nil {
		res.End = Ended
		u.end(p, res, nil)
		return nil
	}
	err = withCause(ctx, errors.Newf("attempt %d: %w", number, err))
	u.suspect(p, err)
	u.r.cancels.send(client, u.c.ID, number, func(acknowledged bool) {
		if acknowledged {
			res.End = Ended
		}
		u.end(p, res, err)
	})
	return err
}

// end gives back what an attempt held. It may be called after the request has ended.
func (u *run) end(p place, res Result, err error) {
	u.r.deps.Granter.Release(p.grant, res)
	u.r.deps.Picker.Ended(p.server.Name, u.w, res)
	if errors.Is(err, engine.ErrInstanceChanged) && u.r.deps.Guard != nil {
		u.r.deps.Guard.ServerDied(p.server.Name)
	}
	if p.guarded == nil {
		return
	}
	switch {
	case err == nil:
		p.guarded.Complete()
	case res.End == Unused:
		p.guarded.NotStarted()
	case endedHere(err):
		p.guarded.Abandon()
	default:
		p.guarded.Break()
	}
}

// endedHere reports whether an attempt ended for a reason that has nothing to do with its server.
func endedHere(err error) bool {
	return errors.IsAny(err, stream.ErrFull, ErrAborted, errTakenOver, errTimeout, errStalled, context.Canceled)
}

// deathTimeout bounds the look at a server whose connection broke.
const deathTimeout = 500 * time.Millisecond

// suspect tells the guard of a connection that broke, and whether the server is dead. It must be done
// before the next attempt: a request that crashes servers would otherwise run on several of them before
// the load reports show the first death.
func (u *run) suspect(p place, err error) {
	if p.guarded == nil || endedHere(err) {
		return
	}
	p.guarded.Break()
	if dead(p) {
		u.r.deps.Guard.ServerDied(p.server.Name)
	}
}

// dead reports whether the instance that a grant was for has gone.
func dead(p place) bool {
	ctx, cancel := context.WithTimeout(context.Background(), deathTimeout)
	defer cancel()
	c := engine.New(p.server.Address, "")
	defer c.Close()
	report, err := c.Load(ctx)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	return p.grant.Instance != "" && report.Instance != p.grant.Instance
}

// withCause adds the reason for which ctx was cancelled to an error that follows from it.
func withCause(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return errors.Mark(errors.Newf("%w: %w", cause, err), cause)
	}
	return err
}

// startAttempt returns the number of a new attempt and notes that the request may run from now on. The
// second result is what the note was before.
func (rec *record) startAttempt() (int, bool) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	before := rec.started
	rec.started = true
	rec.attempts++
	return rec.attempts, before
}

// revertAttempt takes the note back after proof that the attempt did not start.
func (rec *record) revertAttempt(before bool) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.started = before
}

func (u *run) job(number int, g Grant) engine.Job {
	j := engine.Job{
		RequestID: u.c.ID, Attempt: number, Offset: u.log.End(), Account: u.c.Account.Name,
		Priority: u.c.Priority, SendBy: g.Until,
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

// copyFrames appends the frames of an attempt to the log until the answer is whole. seen is called for
// each frame of the attempt.
func (u *run) copyFrames(st *engine.Stream, number int, seen func(engine.Frame)) error {
	asm := stream.New(u.log.End())
	asm.Begin(number)
	var ready []stream.Frame
	for {
		f, err := st.Next()
		if errors.Is(err, io.EOF) {
			return errors.New("engine ended the stream before the answer was whole")
		}
		if err != nil {
			return errors.Newf("read frame: %w", err)
		}
		before := asm.Next()
		ready, err = asm.Add(ready[:0], stream.Frame{
			Attempt: f.Attempt, Offset: f.Offset, Text: f.Text, Finish: f.FinishReason,
		})
		if err != nil {
			return errors.Newf("assemble answer: %w", err)
		}
		if asm.Next() > before || len(ready) > 0 {
			seen(f)
		}
		u.pace.tokens(time.Now(), texts(ready))
		for _, out := range ready {
			if err := u.log.Append(out); err != nil {
				return errors.Newf("hold answer: %w", err)
			}
			if out.Finish != "" {
				return nil
			}
		}
	}
}

// texts returns the number of frames that are tokens.
func texts(list []stream.Frame) int {
	n := len(list)
	if n > 0 && list[n-1].Finish != "" {
		n--
	}
	return n
}

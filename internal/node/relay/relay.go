// Package relay runs one request: it chooses a backend server, makes attempts, and delivers one whole
// answer.
package relay

import (
	"context"
	"encoding/json"
	"io"
	"sync"
	"time"

	"geraniumhollow/internal/conf/schema"
	"geraniumhollow/internal/conf/view"
	"geraniumhollow/internal/core/fault"
	"geraniumhollow/internal/core/sets"
	"geraniumhollow/internal/plat/engine"
	"geraniumhollow/internal/route/stream"
	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
)

// maxAttempts bounds the attempts of one request.
const maxAttempts = 4

// retryAfter is when a caller may come back after a refusal for want of a backend server.
const retryAfter = time.Second

// Completion is a request for a completion that has passed the checks of the caller interface.
type Completion struct {
	ID        string
	Account   schema.Account
	Model     string
	Version   string
	Adapter   string
	Prompt    string
	Messages  json.RawMessage
	MaxTokens int
	Seed      int64
	Priority  int
}

// Sink takes the frames of an answer in order. An error ends the request.
type Sink func(f stream.Frame) error

// Relay runs requests. It is safe for concurrent use.
type Relay struct {
	log  hclog.Logger
	view func() *view.View
	deps Deps

	mu      sync.Mutex
	engines map[string]*engine.Client
}

// New returns a relay that reads the configuration in force from current.
func New(log hclog.Logger, current func() *view.View, deps Deps) *Relay {
	return &Relay{log: log, view: current, deps: deps.withDefaults(), engines: make(map[string]*engine.Client)}
}

// Complete runs a completion and passes its answer to sink. The error is a *fault.Error.
func (r *Relay) Complete(ctx context.Context, c Completion, sink Sink) *fault.Error {
	v := r.view()
	ctx, cancel := context.WithTimeout(ctx, time.Duration(v.Limits.RequestTimeoutMs)*time.Millisecond)
	defer cancel()
	w := work(c)
	leave, ferr := r.deps.Gate.Enter(ctx, v, w)
	if ferr != nil {
		return ferr
	}
	defer leave()
	asm := stream.New(0)
	started := false
	var last error
	for attempt := 1; attempt <= maxAttempts && ctx.Err() == nil; attempt++ {
		s, ferr := r.deps.Picker.Pick(v, w)
		if ferr != nil {
			last = ferr
			break
		}
		done, err := r.attempt(ctx, c, w, s, attempt, asm, sink)
		if done {
			return nil
		}
		started = started || !errors.Is(err, engine.ErrNotStarted)
		last = err
		w.Tried.Add(s.Name)
		r.log.Info("attempt failed", "request_id", c.ID, "attempt", attempt, "backend_server", s.Name, "error", err)
	}
	outcome := fault.NotRun
	if started {
		outcome = fault.Unknown
	}
	return fault.New(fault.BackendFailed, outcome, "no backend server completed the request").
		WithRetryAfter(retryAfter).WithCause(last)
}

// bytesPerToken is the rough size of a prompt token.
const bytesPerToken = 4

func work(c Completion) Work {
	return Work{
		RequestID: c.ID, Account: c.Account.Name, Priority: c.Priority, Model: c.Model, Version: c.Version,
		Adapter: c.Adapter, PromptTokens: (len(c.Prompt) + len(c.Messages)) / bytesPerToken,
		MaxTokens: c.MaxTokens, Tried: sets.New[string](),
	}
}

// attempt runs the request on one backend server and reports whether the answer is whole.
func (r *Relay) attempt(
	ctx context.Context, c Completion, w Work, s view.Server, n int, asm *stream.Assembler, sink Sink,
) (bool, error) {
	g, err := r.deps.Granter.Acquire(ctx, s, w.PromptTokens+w.MaxTokens)
	if err != nil {
		return false, errors.Mark(errors.Newf("acquire grant: %w", err), engine.ErrNotStarted)
	}
	res := Result{Failed: true}
	r.deps.Picker.Started(s.Name, w)
	defer func() {
		r.deps.Granter.Release(g, res)
		r.deps.Picker.Ended(s.Name, w, res)
	}()
	asm.Begin(n)
	st, err := r.engine(s).Complete(ctx, engine.Job{
		RequestID: c.ID,
		Attempt:   n,
		Offset:    asm.Next(),
		Account:   c.Account.Name,
		Priority:  c.Priority,
		Body: engine.Body{
			Model: c.Model, Version: c.Version, Adapter: c.Adapter, Prompt: c.Prompt,
			Messages: c.Messages, MaxTokens: c.MaxTokens, Seed: c.Seed,
		},
	})
	if err != nil {
		return false, errors.Newf("attempt %d: %w", n, err)
	}
	defer st.Close()
	res.Instance, res.State = st.Instance, st.State
	done, err := copyFrames(st, asm, sink)
	res.Failed = !done
	return done, err
}

// copyFrames passes the frames of an attempt to sink until the answer is whole.
func copyFrames(st *engine.Stream, asm *stream.Assembler, sink Sink) (bool, error) {
	var ready []stream.Frame
	for {
		f, err := st.Next()
		if errors.Is(err, io.EOF) {
			return false, errors.New("engine ended the stream before the answer was whole")
		}
		if err != nil {
			return false, errors.Newf("read frame: %w", err)
		}
		ready, err = asm.Add(ready[:0], stream.Frame{
			Attempt: f.Attempt, Offset: f.Offset, Text: f.Text, Finish: f.FinishReason,
		})
		if err != nil {
			return false, errors.Newf("assemble answer: %w", err)
		}
		for _, out := range ready {
			if err := sink(out); err != nil {
				return false, errors.Newf("deliver answer: %w", err)
			}
			if out.Finish != "" {
				return true, nil
			}
		}
	}
}

// engine returns the client of a backend server.
func (r *Relay) engine(s view.Server) *engine.Client {
	r.mu.Lock()
	defer r.mu.Unlock()
	c, ok := r.engines[s.Address]
	if !ok {
		c = engine.New(s.Address, "")
		r.engines[s.Address] = c
	}
	return c
}

// Package relay runs completion requests. For each request it chooses a backend server, retries failed
// attempts, and delivers one complete answer.
package relay

import (
	"context"
	"encoding/json"
	"time"

	"geraniumhollow/internal/conf/schema"
	"geraniumhollow/internal/conf/view"
	"geraniumhollow/internal/core/fault"
	"geraniumhollow/internal/core/sets"
	"geraniumhollow/internal/core/tasks"
	"geraniumhollow/internal/plat/engine"
	"geraniumhollow/internal/route/prefix"
	"geraniumhollow/internal/route/stream"
	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
)

// retryAfter is the retry delay that is suggested to a caller whose request could not be served now.
const retryAfter = time.Second

// Completion is a completion request that the caller interface has validated.
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

// Sink receives the frames of an answer in order. Returning an error ends the request.
type Sink func(f stream.Frame) error

// Relay runs requests. It is safe for concurrent use.
type Relay struct {
	log      hclog.Logger
	view     func() *view.View
	deps     Deps
	clients  clients
	inFlight inFlight
	cancels  *canceller
	budget   *stream.Budget
	records  *recordStore
}

// New returns a relay that reads the active configuration from current.
func New(log hclog.Logger, current func() *view.View, deps Deps) *Relay {
	return &Relay{
		log: log, view: current, deps: deps.withDefaults(),
		clients:  clients{byAddr: make(map[string][]*engine.Client)},
		inFlight: inFlight{byServer: make(map[string]map[uint64]context.CancelCauseFunc)},
		cancels:  newCanceller(), budget: stream.NewBudget(), records: newRecordStore(),
	}
}

// ErrAborted is the cancellation cause of an attempt that AbortServer ended.
var ErrAborted = errors.New("route to the backend server closed")

// AbortServer cancels all attempts in flight on a backend server and returns their number. Their requests
// resume on other backend servers.
func (r *Relay) AbortServer(name string) int { return r.inFlight.abort(name, ErrAborted) }

// BufferedBytes returns the size of the prompts and answers that the relay holds, in bytes.
func (r *Relay) BufferedBytes() int { return r.budget.Held() }

// Start starts a completion. The caller must close the answer.
func (r *Relay) Start(ctx context.Context, c Completion) (*Answer, *fault.Error) {
	rec, ferr := r.open(c, r.view().Limits.RequestBufferBytes)
	if ferr != nil {
		return nil, ferr
	}
	return r.start(ctx, rec), nil
}

// Complete runs a completion and passes its answer to sink.
func (r *Relay) Complete(ctx context.Context, c Completion, sink Sink) *fault.Error {
	a, ferr := r.Start(ctx, c)
	if ferr != nil {
		return ferr
	}
	return a.deliver(sink)
}

// CompleteText runs a completion and returns its complete text and its finish reason.
func (r *Relay) CompleteText(ctx context.Context, c Completion) (string, string, *fault.Error) {
	rec, ferr := r.open(c, stream.Unbounded)
	if ferr != nil {
		return "", "", ferr
	}
	a := r.start(ctx, rec)
	if ferr := a.deliver(func(stream.Frame) error { return nil }); ferr != nil {
		return "", "", ferr
	}
	text, _ := a.log.Text()
	return text, a.log.FinishReason(), nil
}

// open returns the record of a new request after reserving buffer space for its prompt and the first bytes
// of its answer.
func (r *Relay) open(c Completion, limit int) (*record, *fault.Error) {
	limits := r.view().Limits
	share := r.budget.Open(c.Account.Name, limits.AccountBufferBytes, limits.NodeBufferBytes)
	first := len(c.Prompt) + len(c.Messages) + stream.InitialBytes
	if !share.Start(first) && (!r.records.dropAllTexts() || !share.Start(first)) {
		r.deps.Observer.Finished(CompletionResult{
			RequestID: c.ID, Account: c.Account.Name, Model: c.Model, Code: fault.Overloaded, Outcome: fault.NotRun,
		})
		return nil, fault.New(fault.Overloaded, fault.NotRun, "the node holds as many bytes as it may").
			WithRetryAfter(retryAfter)
	}
	return &record{
		id: c.ID, account: c.Account.Name, share: share, completion: c,
		log:    stream.NewBuffer(share, limit, 0),
		status: Status{RequestID: c.ID, State: Running, Outcome: fault.Unknown},
	}, nil
}

// start starts producing the answer of a record in the background.
func (r *Relay) start(ctx context.Context, rec *record) *Answer {
	timeout := time.Duration(r.view().Limits.RequestTimeoutMs) * time.Millisecond
	ctx, cancel := context.WithCancelCause(ctx)
	ctx, stop := context.WithTimeoutCause(ctx, timeout, errTimeout)
	rec.beginRun(cancel)
	r.records.add(rec)
	u := newRun(r, rec)
	tasks.New(ctx).Go("request "+rec.id, func(ctx context.Context) error {
		defer cancel(nil)
		defer stop()
		u.produce(ctx)
		return nil
	})
	return &Answer{log: rec.log, reader: rec.log.Reader(), cancel: cancel}
}

// bytesPerToken is the approximate size of a prompt token.
const bytesPerToken = 4

// PromptTokens estimates the number of tokens of a prompt of n bytes.
func PromptTokens(n int) int { return (n + bytesPerToken - 1) / bytesPerToken }

func newWork(v *view.View, c Completion) RequestInfo {
	text := c.Prompt
	if text == "" {
		text = string(c.Messages)
	}
	return RequestInfo{
		RequestID: c.ID, Account: c.Account.Name, Priority: c.Priority, Model: c.Model, Version: c.Version,
		Adapter: c.Adapter, PromptTokens: PromptTokens(len(c.Prompt) + len(c.Messages)),
		MaxTokens: c.MaxTokens, Tried: sets.New[string](),
		Prefix: prefix.Append(nil, prefix.Seed(c.Model, likelyVersion(v, c), c.Adapter), text),
	}
}

// likelyVersion returns the model version whose cached prefixes the request can probably use. A request
// without a version mostly runs on the newest one, which is the last in the configuration document.
func likelyVersion(v *view.View, c Completion) string {
	m, ok := v.Model(c.Model)
	if c.Version != "" || !ok || len(m.Versions) == 0 {
		return c.Version
	}
	return m.Versions[len(m.Versions)-1].Name
}

package relay_test

import (
	"context"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"geraniumhollow/internal/bench/site"
	"geraniumhollow/internal/conf/schema"
	"geraniumhollow/internal/conf/view"
	"geraniumhollow/internal/core/fault"
	"geraniumhollow/internal/core/tasks"
	"geraniumhollow/internal/fake/model"
	"geraniumhollow/internal/node/relay"
	"geraniumhollow/internal/plat/engine"
	"geraniumhollow/internal/route/stream"
	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
)

const (
	answerTokens = 40
	prompt       = "which van takes the crates"
)

// testEnv is a relay in front of fake engines.
type testEnv struct {
	relay   *relay.Relay
	engines []*model.Engine
	view    *view.View
}

// newTestEnv starts n engines and applies the faults in bad to the first one.
func newTestEnv(t *testing.T, n int, bad model.Faults, limits schema.Limits, deps relay.Deps) *testEnv {
	t.Helper()
	d := site.Strygekurv().WithRunners(n)
	b := &testEnv{}
	at := site.Addresses{Instances: make([]string, d.Instances)}
	for i := range n {
		e := model.New(model.Config{
			Group: d.GroupName(i), Model: d.Model,
		}, engine.Warm)
		at.Runners = append(at.Runners, serve(t, e))
		b.engines = append(b.engines, e)
	}
	b.engines[0].SetFaults(bad)
	doc := d.Document(at)
	doc.Limits = limits
	b.view = view.New(1, doc)
	if deps.Timeouts.Frame == 0 {
		// Long enough that an engine on a busy host is not treated as stalled.
		deps.Timeouts = relay.Timeouts{FirstFrame: 3 * time.Second, Frame: 2 * time.Second}
	}
	if deps.Picker == nil {
		deps.Picker = firstUntried{}
	}
	deps.Node = "node-0"
	b.relay = relay.New(hclog.NewNullLogger(), func() *view.View { return b.view }, deps)
	return b
}

func serve(t *testing.T, e *model.Engine) string {
	t.Helper()
	var lc net.ListenConfig
	ln, err := lc.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatalf("listen: %v", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	g := tasks.New(ctx)
	g.Go("engine", func(ctx context.Context) error { return e.Serve(ctx, ln) })
	t.Cleanup(func() {
		cancel()
		if err := g.Wait(); err != nil {
			t.Error(err)
		}
	})
	return ln.Addr().String()
}

// firstUntried picks the first server that has not been tried, so the faulty engine is always picked first.
type firstUntried struct{}

func (firstUntried) Pick(v *view.View, w relay.RequestInfo) (view.Server, *fault.Error) {
	for _, s := range v.Servers(w.Model) {
		if !w.Tried.Has(s.Name) {
			return s, nil
		}
	}
	return view.Server{}, fault.New(fault.NoBackend, fault.NotRun, "all servers tried")
}

func (firstUntried) Started(string, relay.RequestInfo)             {}
func (firstUntried) Ended(string, relay.RequestInfo, relay.Result) {}

// endCounter counts the ended attempts.
type endCounter struct {
	firstUntried
	ended atomic.Int32
}

func (p *endCounter) Ended(string, relay.RequestInfo, relay.Result) { p.ended.Add(1) }

func (b *testEnv) completion(tokens int) relay.Completion {
	a := b.view.Document().Accounts[0]
	return relay.Completion{
		ID: relay.NewRequestID("node-0", a.Name), Account: a, Model: b.view.Document().Models[0].Name,
		Prompt: prompt, MaxTokens: tokens,
	}
}

// collector is a sink that collects the text and checks that offsets are consecutive.
type collector struct {
	t    *testing.T
	mu   sync.Mutex
	text strings.Builder
	next int
	last stream.Frame
	// onFrame is called for every frame before it is stored; an error ends the request.
	onFrame func(f stream.Frame) error
}

func (c *collector) sink(f stream.Frame) error {
	if c.onFrame != nil {
		if err := c.onFrame(f); err != nil {
			return err
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if f.Offset != c.next {
		c.t.Errorf("offset %d, want %d", f.Offset, c.next)
	}
	c.last = f
	c.text.WriteString(f.Text)
	if f.FinishReason == "" {
		c.next++
	}
	return nil
}

func (c *collector) String() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.text.String()
}

// Guards against truncated, repeated, mixed or failed answers when one engine is faulty and the others are
// healthy.
func TestEngineFaults(t *testing.T) {
	t.Parallel()
	faults := map[string]model.Faults{
		"none":              {},
		"cut":               {CutAfterTokens: 7},
		"repeated":          {RepeatFrames: true},
		"swapped":           {SwapFrames: true},
		"other attempt":     {AlienFrames: true},
		"dropped token":     {DropToken: 9},
		"first dropped":     {DropToken: 1},
		"garbage":           {Garbage: 5},
		"stall at once":     {Stall: true},
		"stall later":       {StallAfterTokens: 6},
		"crash at once":     {CrashOnPrompt: prompt},
		"crash later":       {CrashAfterTokens: 8},
		"refused":           {Refuse: true},
		"failed":            {Fail: true},
		"swapped and cut":   {SwapFrames: true, CutAfterTokens: 6},
		"repeated and dead": {RepeatFrames: true, AlienFrames: true, CrashAfterTokens: 11},
	}
	want := model.Answer(prompt, answerTokens)
	for name, f := range faults {
		for _, whole := range []bool{false, true} {
			t.Run(name+map[bool]string{false: " streamed", true: " whole"}[whole], func(t *testing.T) {
				t.Parallel()
				b := newTestEnv(t, 3, f, schema.Limits{}, relay.Deps{})
				c := &collector{t: t}
				var got string
				var ferr *fault.Error
				if whole {
					got, _, ferr = b.relay.CompleteText(t.Context(), b.completion(answerTokens))
				} else {
					ferr = b.relay.Complete(t.Context(), b.completion(answerTokens), c.sink)
					got = c.String()
				}
				if ferr != nil {
					t.Fatalf("complete: %v", ferr)
				}
				if got != want {
					t.Errorf("got %q, want %q", got, want)
				}
			})
		}
	}
}

// Guards against outcome not_run for a request that may have run, and outcome unknown for one that has not.
func TestOutcomes(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name string
		give model.Faults
		want fault.Outcome
	}{
		{"refused", model.Faults{Refuse: true}, fault.NotRun},
		{"failed", model.Faults{Fail: true}, fault.Unknown},
		{"crashed", model.Faults{CrashOnPrompt: prompt}, fault.Unknown},
		{"stalled", model.Faults{Stall: true}, fault.Unknown},
		{"cut", model.Faults{CutAfterTokens: 3}, fault.Unknown},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			b := newTestEnv(t, 1, tt.give, schema.Limits{QueueTimeoutMs: 50}, relay.Deps{})
			c := b.completion(answerTokens)
			_, _, ferr := b.relay.CompleteText(t.Context(), c)
			if ferr == nil || ferr.Outcome() != tt.want || ferr.RetryAfter() == 0 {
				t.Fatalf("got %v, want outcome %s and retry_after", ferr, tt.want)
			}
			if s, ok := b.relay.Status(c.ID, c.Account.Name); !ok || s.Outcome != tt.want || s.State != relay.Failed {
				t.Errorf("status %+v, want outcome %s", s, tt.want)
			}
		})
	}
}

// granter refuses grants for some servers and counts the outstanding grants.
type granter struct {
	mu           sync.Mutex
	refuse       map[string]bool
	instance     func(server string) string
	until        time.Time
	acquireCalls int
	outstanding  int
}

func (g *granter) Acquire(_ context.Context, s view.Server, _ int) (relay.Grant, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.acquireCalls++
	if g.refuse[s.Name] {
		return relay.Grant{}, errors.New("busy")
	}
	g.outstanding++
	gr := relay.Grant{Server: s.Name, ExpiresAt: g.until}
	if g.instance != nil {
		gr.Instance = g.instance(s.Name)
	}
	return gr, nil
}

func (g *granter) Release(relay.Grant, relay.Result) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.outstanding--
}

func (g *granter) outstandingGrants() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.outstanding
}

// Guards against refusing a request although another server has free capacity, and against refusing it
// before or long after the queue timeout.
func TestBusyServersQueueTimeout(t *testing.T) {
	t.Parallel()
	d := site.Strygekurv()
	g := &granter{refuse: map[string]bool{d.GroupName(0): true, d.GroupName(1): true}}
	b := newTestEnv(t, 3, model.Faults{}, schema.Limits{QueueTimeoutMs: 100}, relay.Deps{Granter: g})
	if text, _, ferr := b.relay.CompleteText(t.Context(), b.completion(4)); text != model.Answer(prompt, 4) {
		t.Errorf("with one free server: got %q, %v", text, ferr)
	}
	g.mu.Lock()
	g.refuse[d.GroupName(2)] = true
	g.mu.Unlock()
	start := time.Now()
	_, _, ferr := b.relay.CompleteText(t.Context(), b.completion(4))
	if ferr == nil || ferr.Outcome() != fault.NotRun || ferr.RetryAfter() == 0 {
		t.Errorf("with no free server: got %v, want not_run and retry_after", ferr)
	}
	if waited := time.Since(start); waited < 40*time.Millisecond || waited > time.Second {
		t.Errorf("refused after %v, want about 100 ms", waited)
	}
	waitFor(t, "grants released", func() bool { return g.outstandingGrants() == 0 })
}

func waitFor(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for range 2000 {
		if ok() {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Errorf("timed out: %s", what)
}

// Guards against sending a request to an instance other than the one that its grant is for.
func TestGrantForOldInstance(t *testing.T) {
	t.Parallel()
	g := &granter{}
	b := newTestEnv(t, 2, model.Faults{}, schema.Limits{QueueTimeoutMs: 100}, relay.Deps{Granter: g})
	ids := map[string]string{}
	for i, e := range b.engines {
		ids[b.view.Servers(b.completion(1).Model)[i].Name] = e.Instance()
	}
	g.instance = func(server string) string { return ids[server] }
	for range 2 {
		if _, _, ferr := b.relay.CompleteText(t.Context(), b.completion(4)); ferr != nil {
			t.Fatalf("before the restart: %v", ferr)
		}
	}
	b.engines[0].Restart(engine.Cold)
	before := b.engines[0].Stats().Started
	for range 3 {
		if _, _, ferr := b.relay.CompleteText(t.Context(), b.completion(4)); ferr != nil {
			t.Fatalf("after the restart: %v", ferr)
		}
	}
	if n := b.engines[0].Stats().Started - before; n != 0 {
		t.Errorf("the new instance received %d requests with grants for the old one", n)
	}
}

// Guards against reusing a pooled connection that the engine has closed: the request would not run, but the
// relay could not prove that and would report outcome unknown.
func TestStaleConnection(t *testing.T) {
	t.Parallel()
	g := &granter{}
	b := newTestEnv(t, 1, model.Faults{}, schema.Limits{QueueTimeoutMs: 50}, relay.Deps{Granter: g})
	old := b.engines[0].Instance()
	g.instance = func(string) string { return old }
	if _, _, ferr := b.relay.CompleteText(t.Context(), b.completion(4)); ferr != nil {
		t.Fatalf("before the restart: %v", ferr)
	}
	waitFor(t, "connection returned", func() bool { return g.outstandingGrants() == 0 })
	time.Sleep(50 * time.Millisecond)
	b.engines[0].Restart(engine.Warm)
	time.Sleep(20 * time.Millisecond)
	if _, _, ferr := b.relay.CompleteText(t.Context(), b.completion(4)); ferr == nil || ferr.Outcome() != fault.NotRun {
		t.Errorf("got %v, want not_run", ferr)
	}
}

// Guards against sending a request after its grant has expired, when the owner may have granted the capacity
// to another request.
func TestExpiredGrant(t *testing.T) {
	t.Parallel()
	g := &granter{until: time.Now().Add(-time.Millisecond)}
	b := newTestEnv(t, 1, model.Faults{}, schema.Limits{QueueTimeoutMs: 50}, relay.Deps{Granter: g})
	_, _, ferr := b.relay.CompleteText(t.Context(), b.completion(4))
	if ferr == nil || ferr.Outcome() != fault.NotRun || b.engines[0].Stats().Started != 0 {
		t.Errorf("got %v and %d starts, want not_run and none", ferr, b.engines[0].Stats().Started)
	}
}

// noRetries allows no retry.
type noRetries struct{}

func (noRetries) RequestStarted(relay.RequestInfo) {}
func (noRetries) Retry(relay.RequestInfo) bool     { return false }

// Guards against retries after the retry budget is exhausted, which would amplify an outage.
func TestRetryBudget(t *testing.T) {
	t.Parallel()
	b := newTestEnv(t, 2, model.Faults{CutAfterTokens: 3}, schema.Limits{}, relay.Deps{Retrier: noRetries{}})
	_, _, ferr := b.relay.CompleteText(t.Context(), b.completion(answerTokens))
	if ferr == nil || ferr.Outcome() != fault.Unknown || b.engines[1].Stats().Started != 0 {
		t.Errorf("got %v and %d starts on the second engine", ferr, b.engines[1].Stats().Started)
	}
}

// Guards against a second engine continuing an answer whose beginning has been dropped: it would start from
// an incomplete text, so only the engine that produced the answer may resume it.
func TestResumeAfterTextDropped(t *testing.T) {
	t.Parallel()
	const tokens = 1500
	want := model.Answer(prompt, tokens)
	tests := []struct {
		name  string
		whole bool
	}{
		{"engine healthy", true},
		{"engine restarts", false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			b := newTestEnv(t, 2, model.Faults{}, schema.Limits{RequestBufferBytes: 4 << 10, QueueTimeoutMs: 100}, relay.Deps{})
			c := &collector{t: t, onFrame: func(f stream.Frame) error {
				if f.Offset != 1000 {
					return nil
				}
				if !tt.whole {
					b.engines[0].Restart(engine.Warm)
				}
				time.Sleep(100 * time.Millisecond)
				return nil
			}}
			ferr := b.relay.Complete(t.Context(), b.completion(tokens), c.sink)
			got := c.String()
			if !strings.HasPrefix(want, got) || (got == want) != tt.whole {
				t.Errorf("got %d of %d bytes", len(got), len(want))
			}
			if (ferr == nil) != tt.whole || (ferr != nil && ferr.Outcome() != fault.Unknown) {
				t.Errorf("got %v", ferr)
			}
			if n := b.engines[1].Stats().Started; n != 0 {
				t.Errorf("%d attempts on the engine that did not produce the answer", n)
			}
			if tt.whole && b.engines[0].Stats().ResumedAlone == 0 {
				t.Error("the engine never resumed its own answer")
			}
		})
	}
}

// rejectAll admits no request.
type rejectAll struct{}

func (rejectAll) Enter(context.Context, *view.View, relay.RequestInfo) (func(), *fault.Error) {
	return nil, fault.New(fault.RateLimited, fault.NotRun, "closed")
}

// Guards against unbounded records of ended requests, and against texts that stay in memory after their
// record has been removed.
func TestRecordStoreBounds(t *testing.T) {
	t.Parallel()
	const maxEnded = 8 << 10
	b := newTestEnv(t, 1, model.Faults{}, schema.Limits{}, relay.Deps{Gate: rejectAll{}})
	ids := make([]string, 0, maxEnded+200)
	for range maxEnded + 200 {
		c := b.completion(1)
		ids = append(ids, c.ID)
		if _, _, ferr := b.relay.CompleteText(t.Context(), c); ferr == nil || ferr.Code() != fault.RateLimited {
			t.Fatalf("got %v", ferr)
		}
	}
	account := b.view.Document().Accounts[0].Name
	waitFor(t, "record of the oldest request removed", func() bool { _, ok := b.relay.Status(ids[0], account); return !ok })
	if _, ok := b.relay.Status(ids[len(ids)-1], account); !ok {
		t.Error("the newest request is unknown")
	}
	waitFor(t, "no more bytes held than by the known requests", func() bool {
		return b.relay.BufferedBytes() <= maxEnded*(stream.InitialBytes+len(prompt))
	})
}

// Guards against requests on a closed route waiting for a timeout instead of failing over at once.
func TestAbortServer(t *testing.T) {
	t.Parallel()
	b := newTestEnv(t, 2, model.Faults{StallAfterTokens: 5}, schema.Limits{}, relay.Deps{
		Timeouts: relay.Timeouts{FirstFrame: time.Minute, Frame: time.Minute},
	})
	const requests = 8
	var wg sync.WaitGroup
	for range requests {
		c := &collector{t: t}
		wg.Go(func() {
			if ferr := b.relay.Complete(t.Context(), b.completion(answerTokens), c.sink); ferr != nil {
				t.Errorf("complete: %v", ferr)
			}
			if c.String() != model.Answer(prompt, answerTokens) {
				t.Errorf("got %q", c.String())
			}
		})
	}
	waitFor(t, "requests on the first engine", func() bool { return b.engines[0].Running() == requests })
	start := time.Now()
	if n := b.relay.AbortServer(site.Strygekurv().GroupName(0)); n != requests {
		t.Errorf("aborted %d attempts, want %d", n, requests)
	}
	wg.Wait()
	if d := time.Since(start); d > 2*time.Second {
		t.Errorf("failover took %v", d)
	}
	waitFor(t, "attempts ended at the engine", func() bool { return b.engines[0].Running() == 0 })
}

// Guards against an engine that keeps working on an answer after the caller has disconnected.
func TestCallerDisconnect(t *testing.T) {
	t.Parallel()
	b := newTestEnv(t, 1, model.Faults{StallAfterTokens: 5}, schema.Limits{}, relay.Deps{
		Timeouts: relay.Timeouts{FirstFrame: time.Minute, Frame: time.Minute},
	})
	errDisconnect := errors.New("connection reset")
	c := &collector{t: t, onFrame: func(f stream.Frame) error {
		if f.Offset == 3 {
			return errDisconnect
		}
		return nil
	}}
	if ferr := b.relay.Complete(t.Context(), b.completion(answerTokens), c.sink); ferr == nil {
		t.Error("no error for a caller that disconnected")
	}
	waitFor(t, "attempt cancelled", func() bool { return b.engines[0].Running() == 0 })
	waitFor(t, "in-flight attempts removed", func() bool {
		return b.relay.AbortServer(site.Strygekurv().GroupName(0)) == 0
	})
}

// Guards against buffering an unbounded part of the answer for a slow caller, and against a corrupted answer
// when the relay ends and resumes attempts to limit the buffer.
func TestSlowCaller(t *testing.T) {
	t.Parallel()
	const (
		tokens = 1500
		limit  = 4 << 10
	)
	tests := []struct {
		name   string
		limits schema.Limits
	}{
		{"request bound", schema.Limits{RequestBufferBytes: limit}},
		{"account bound", schema.Limits{AccountBufferBytes: limit}},
		{"node bound", schema.Limits{NodeBufferBytes: limit}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			picker := &endCounter{}
			b := newTestEnv(t, 2, model.Faults{}, tt.limits, relay.Deps{Picker: picker})
			maxBuffered := 0
			c := &collector{t: t, onFrame: func(f stream.Frame) error {
				// More tokens follow than fit into the buffer, so the relay must end the attempt both times.
				if f.Offset == 300 || f.Offset == 600 {
					want := int32(f.Offset / 300)
					waitFor(t, "attempt ended because the buffer is full", func() bool { return picker.ended.Load() >= want })
				}
				maxBuffered = max(maxBuffered, b.relay.BufferedBytes())
				return nil
			}}
			if ferr := b.relay.Complete(t.Context(), b.completion(tokens), c.sink); ferr != nil {
				t.Fatalf("complete: %v", ferr)
			}
			if c.String() != model.Answer(prompt, tokens) {
				t.Error("the answer is corrupted")
			}
			if maxBuffered > limit+len(prompt) {
				t.Errorf("buffered %d bytes, limit is %d", maxBuffered, limit)
			}
			// Each wait frees at least an eighth of the buffer, so more resumes mean that the relay did not
			// wait for the caller.
			if n := b.engines[0].Stats().Resumed; n == 0 || n > 8*len(c.String())/limit {
				t.Errorf("%d resumes", n)
			}
		})
	}
}

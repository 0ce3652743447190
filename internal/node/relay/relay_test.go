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

// bench is a relay in front of stand-in engines.
type bench struct {
	relay   *relay.Relay
	engines []*model.Engine
	view    *view.View
}

// newBench starts n engines with the faults of bad on the first of them.
func newBench(t *testing.T, n int, bad model.Faults, limits schema.Limits, deps relay.Deps) *bench {
	t.Helper()
	d := site.Strygekurv().WithRunners(n)
	b := &bench{}
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
		// Long enough that an engine is not taken for stalled on a busy machine.
		deps.Timeouts = relay.Timeouts{FirstFrame: 3 * time.Second, Frame: 2 * time.Second}
	}
	if deps.Picker == nil {
		deps.Picker = firstFree{}
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

// firstFree picks the first server that has not been tried, so that the bad engine always comes first.
type firstFree struct{}

func (firstFree) Pick(v *view.View, w relay.Work) (view.Server, *fault.Error) {
	for _, s := range v.Servers(w.Model) {
		if !w.Tried.Has(s.Name) {
			return s, nil
		}
	}
	return view.Server{}, fault.New(fault.NoBackend, fault.NotRun, "none left")
}

func (firstFree) Started(string, relay.Work)             {}
func (firstFree) Ended(string, relay.Work, relay.Result) {}

// endCounter counts the ends of attempts.
type endCounter struct {
	firstFree
	ended atomic.Int32
}

func (p *endCounter) Ended(string, relay.Work, relay.Result) { p.ended.Add(1) }

func (b *bench) completion(tokens int) relay.Completion {
	a := b.view.Document().Accounts[0]
	return relay.Completion{
		ID: relay.NewRequestID("node-0", a.Name), Account: a, Model: b.view.Document().Models[0].Name,
		Prompt: prompt, MaxTokens: tokens,
	}
}

// collector is a sink that keeps the text and checks that offsets have no gap.
type collector struct {
	t    *testing.T
	mu   sync.Mutex
	text strings.Builder
	next int
	last stream.Frame
	// each is called for every frame before it is kept; an error ends the request.
	each func(f stream.Frame) error
}

func (c *collector) sink(f stream.Frame) error {
	if c.each != nil {
		if err := c.each(f); err != nil {
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
	if f.Finish == "" {
		c.next++
	}
	return nil
}

func (c *collector) String() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.text.String()
}

// Guards against answers that are cut, repeated, mixed or refused when an engine misbehaves and others
// are well.
func TestFaults(t *testing.T) {
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
				b := newBench(t, 3, f, schema.Limits{}, relay.Deps{})
				c := &collector{t: t}
				var got string
				var ferr *fault.Error
				if whole {
					got, _, ferr = b.relay.CompleteWhole(t.Context(), b.completion(answerTokens))
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

// Guards against a refusal that says not_run although the request may have run, and the reverse.
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
			b := newBench(t, 1, tt.give, schema.Limits{QueueTimeoutMs: 50}, relay.Deps{})
			c := b.completion(answerTokens)
			_, _, ferr := b.relay.CompleteWhole(t.Context(), c)
			if ferr == nil || ferr.Outcome() != tt.want || ferr.RetryAfter() == 0 {
				t.Fatalf("got %v, want outcome %s and retry_after", ferr, tt.want)
			}
			if s, ok := b.relay.Status(c.ID, c.Account.Name); !ok || s.Outcome != tt.want || s.State != relay.Failed {
				t.Errorf("status %+v, want outcome %s", s, tt.want)
			}
		})
	}
}

// granter refuses some servers and counts what is out.
type granter struct {
	mu       sync.Mutex
	refuse   map[string]bool
	instance func(server string) string
	until    time.Time
	asks     int
	out      int
}

func (g *granter) Acquire(_ context.Context, s view.Server, _ int) (relay.Grant, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.asks++
	if g.refuse[s.Name] {
		return relay.Grant{}, errors.New("busy")
	}
	g.out++
	gr := relay.Grant{Server: s.Name, Until: g.until}
	if g.instance != nil {
		gr.Instance = g.instance(s.Name)
	}
	return gr, nil
}

func (g *granter) Release(relay.Grant, relay.Result) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.out--
}

func (g *granter) held() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.out
}

// Guards against a request that is refused although another server has room, and against one that
// waits past the queue timeout or is refused before it.
func TestBusyServers(t *testing.T) {
	t.Parallel()
	d := site.Strygekurv()
	g := &granter{refuse: map[string]bool{d.GroupName(0): true, d.GroupName(1): true}}
	b := newBench(t, 3, model.Faults{}, schema.Limits{QueueTimeoutMs: 100}, relay.Deps{Granter: g})
	if text, _, ferr := b.relay.CompleteWhole(t.Context(), b.completion(4)); text != model.Answer(prompt, 4) {
		t.Errorf("with one free server: got %q, %v", text, ferr)
	}
	g.mu.Lock()
	g.refuse[d.GroupName(2)] = true
	g.mu.Unlock()
	start := time.Now()
	_, _, ferr := b.relay.CompleteWhole(t.Context(), b.completion(4))
	if ferr == nil || ferr.Outcome() != fault.NotRun || ferr.RetryAfter() == 0 {
		t.Errorf("with no free server: got %v, want not_run and retry_after", ferr)
	}
	if waited := time.Since(start); waited < 40*time.Millisecond || waited > time.Second {
		t.Errorf("refused after %v, want about 100 ms", waited)
	}
	waitFor(t, "grants released", func() bool { return g.held() == 0 })
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

// Guards against a send that reaches another instance than the one that granted it.
func TestInstanceChange(t *testing.T) {
	t.Parallel()
	g := &granter{}
	b := newBench(t, 2, model.Faults{}, schema.Limits{QueueTimeoutMs: 100}, relay.Deps{Granter: g})
	ids := map[string]string{}
	for i, e := range b.engines {
		ids[b.view.Servers(b.completion(1).Model)[i].Name] = e.Instance()
	}
	g.instance = func(server string) string { return ids[server] }
	for range 2 {
		if _, _, ferr := b.relay.CompleteWhole(t.Context(), b.completion(4)); ferr != nil {
			t.Fatalf("before the restart: %v", ferr)
		}
	}
	b.engines[0].Restart(engine.Cold)
	before := b.engines[0].Stats().Started
	for range 3 {
		if _, _, ferr := b.relay.CompleteWhole(t.Context(), b.completion(4)); ferr != nil {
			t.Fatalf("after the restart: %v", ferr)
		}
	}
	if n := b.engines[0].Stats().Started - before; n != 0 {
		t.Errorf("the new instance got %d sends that were granted for the old one", n)
	}
}

// Guards against a send on a connection that an engine has closed in the meantime: nothing has run, but
// the relay could not prove it.
func TestClosedConnection(t *testing.T) {
	t.Parallel()
	g := &granter{}
	b := newBench(t, 1, model.Faults{}, schema.Limits{QueueTimeoutMs: 50}, relay.Deps{Granter: g})
	old := b.engines[0].Instance()
	g.instance = func(string) string { return old }
	if _, _, ferr := b.relay.CompleteWhole(t.Context(), b.completion(4)); ferr != nil {
		t.Fatalf("before the restart: %v", ferr)
	}
	waitFor(t, "connection returned", func() bool { return g.held() == 0 })
	time.Sleep(50 * time.Millisecond)
	b.engines[0].Restart(engine.Warm)
	time.Sleep(20 * time.Millisecond)
	if _, _, ferr := b.relay.CompleteWhole(t.Context(), b.completion(4)); ferr == nil || ferr.Outcome() != fault.NotRun {
		t.Errorf("got %v, want not_run", ferr)
	}
}

// Guards against a send after the end of a grant, whose owner may have given the room to another.
func TestLateGrant(t *testing.T) {
	t.Parallel()
	g := &granter{until: time.Now().Add(-time.Millisecond)}
	b := newBench(t, 1, model.Faults{}, schema.Limits{QueueTimeoutMs: 50}, relay.Deps{Granter: g})
	_, _, ferr := b.relay.CompleteWhole(t.Context(), b.completion(4))
	if ferr == nil || ferr.Outcome() != fault.NotRun || b.engines[0].Stats().Started != 0 {
		t.Errorf("got %v and %d starts, want not_run and none", ferr, b.engines[0].Stats().Started)
	}
}

// noRetries allows no second attempt.
type noRetries struct{}

func (noRetries) Began(relay.Work)      {}
func (noRetries) Retry(relay.Work) bool { return false }

// Guards against retries that multiply an outage when the retry budget is used up.
func TestRetryBudget(t *testing.T) {
	t.Parallel()
	b := newBench(t, 2, model.Faults{CutAfterTokens: 3}, schema.Limits{}, relay.Deps{Retrier: noRetries{}})
	_, _, ferr := b.relay.CompleteWhole(t.Context(), b.completion(answerTokens))
	if ferr == nil || ferr.Outcome() != fault.Unknown || b.engines[1].Stats().Started != 0 {
		t.Errorf("got %v and %d starts on the second engine", ferr, b.engines[1].Stats().Started)
	}
}

// Guards against a second engine that goes on from a wrong text when the beginning of the answer has been
// dropped; only the engine that has the answer may resume it.
func TestTextDropped(t *testing.T) {
	t.Parallel()
	const tokens = 1500
	want := model.Answer(prompt, tokens)
	tests := []struct {
		name  string
		whole bool
	}{
		{"engine well", true},
		{"engine restarts", false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			b := newBench(t, 2, model.Faults{}, schema.Limits{RequestBufferBytes: 4 << 10, QueueTimeoutMs: 100}, relay.Deps{})
			c := &collector{t: t, each: func(f stream.Frame) error {
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
				t.Errorf("%d attempts on the engine that does not have the answer", n)
			}
			if tt.whole && b.engines[0].Stats().ResumedAlone == 0 {
				t.Error("the engine never went on by itself")
			}
		})
	}
}

// closedGate admits nothing.
type closedGate struct{}

func (closedGate) Enter(context.Context, *view.View, relay.Work) (func(), *fault.Error) {
	return nil, fault.New(fault.RateLimited, fault.NotRun, "closed")
}

// Guards against ended requests that pile up, and against texts that are held although their request is
// forgotten.
func TestRecentBounds(t *testing.T) {
	t.Parallel()
	const known = 8 << 10
	b := newBench(t, 1, model.Faults{}, schema.Limits{}, relay.Deps{Gate: closedGate{}})
	ids := make([]string, 0, known+200)
	for range known + 200 {
		c := b.completion(1)
		ids = append(ids, c.ID)
		if _, _, ferr := b.relay.CompleteWhole(t.Context(), c); ferr == nil || ferr.Code() != fault.RateLimited {
			t.Fatalf("got %v", ferr)
		}
	}
	account := b.view.Document().Accounts[0].Name
	waitFor(t, "oldest request forgotten", func() bool { _, ok := b.relay.Status(ids[0], account); return !ok })
	if _, ok := b.relay.Status(ids[len(ids)-1], account); !ok {
		t.Error("the newest request is not known")
	}
	waitFor(t, "no more bytes held than by the known requests", func() bool {
		return b.relay.BufferedBytes() <= known*(stream.InitialBytes+len(prompt))
	})
}

// Guards against requests on a closed route that wait for a timeout instead of failing over.
func TestAbortServer(t *testing.T) {
	t.Parallel()
	b := newBench(t, 2, model.Faults{StallAfterTokens: 5}, schema.Limits{}, relay.Deps{
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

// Guards against an engine that goes on working for a caller that is gone.
func TestCallerGone(t *testing.T) {
	t.Parallel()
	b := newBench(t, 1, model.Faults{StallAfterTokens: 5}, schema.Limits{}, relay.Deps{
		Timeouts: relay.Timeouts{FirstFrame: time.Minute, Frame: time.Minute},
	})
	gone := errors.New("connection reset")
	c := &collector{t: t, each: func(f stream.Frame) error {
		if f.Offset == 3 {
			return gone
		}
		return nil
	}}
	if ferr := b.relay.Complete(t.Context(), b.completion(answerTokens), c.sink); ferr == nil {
		t.Error("no error for a caller that is gone")
	}
	waitFor(t, "attempt cancelled", func() bool { return b.engines[0].Running() == 0 })
	waitFor(t, "in-flight attempts forgotten", func() bool {
		return b.relay.AbortServer(site.Strygekurv().GroupName(0)) == 0
	})
}

// Guards against answer bytes that pile up behind a slow caller, and against an answer that is harmed
// by the pauses.
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
			b := newBench(t, 2, model.Faults{}, tt.limits, relay.Deps{Picker: picker})
			most := 0
			c := &collector{t: t, each: func(f stream.Frame) error {
				// More tokens follow than the bound takes, so the relay must end the attempt both times.
				if f.Offset == 300 || f.Offset == 600 {
					want := int32(f.Offset / 300)
					waitFor(t, "attempt ended behind the caller", func() bool { return picker.ended.Load() >= want })
				}
				most = max(most, b.relay.BufferedBytes())
				return nil
			}}
			if ferr := b.relay.Complete(t.Context(), b.completion(tokens), c.sink); ferr != nil {
				t.Fatalf("complete: %v", ferr)
			}
			if c.String() != model.Answer(prompt, tokens) {
				t.Error("the answer is harmed")
			}
			if most > limit+len(prompt) {
				t.Errorf("held %d bytes, bound is %d", most, limit)
			}
			// Each pause frees at least an eighth of the bound, so more resumes mean that the relay did
			// not wait for the caller.
			if n := b.engines[0].Stats().Resumed; n == 0 || n > 8*len(c.String())/limit {
				t.Errorf("%d resumes", n)
			}
		})
	}
}

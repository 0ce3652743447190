package pick_test

import (
	"maps"
	"strconv"
	"sync"
	"testing"
	"time"

	"geraniumhollow/internal/bench/site"
	"geraniumhollow/internal/conf/schema"
	"geraniumhollow/internal/conf/view"
	"geraniumhollow/internal/core/fault"
	"geraniumhollow/internal/core/sets"
	"geraniumhollow/internal/node/pick"
	"geraniumhollow/internal/node/relay"
	"geraniumhollow/internal/plat/engine"
	"geraniumhollow/internal/route/choose"
	"geraniumhollow/internal/route/prefix"
	"geraniumhollow/internal/wire/frame"
)

var deployment = site.Strygekurv()

// afterPickTimeout exceeds the 2 s after which a pending pick expires.
const afterPickTimeout = 2100 * time.Millisecond

// newView returns a configuration with n runners. If change is not nil, it edits the document and the
// configuration has the higher version 2.
func newView(n int, change func(*schema.Document)) *view.View {
	doc := deployment.Document(site.Addresses{Runners: make([]string, n)})
	if change != nil {
		change(doc)
		return view.New(2, doc)
	}
	return view.New(1, doc)
}

func newPicker(t *testing.T, v *view.View) *pick.Picker {
	t.Helper()
	p, err := pick.New(pick.Config{
		DataCentre: "herning", View: func() *view.View { return v }, Now: time.Now, Seed: 1,
		Choose: choose.DefaultConfig(), PrefixEntries: 1000,
	})
	if err != nil {
		t.Fatalf("make picker: %v", err)
	}
	return p
}

func digest(i int) frame.LoadDigest {
	return frame.LoadDigest{
		Server: deployment.GroupName(i), Inst: "i", State: string(engine.Warm), Open: true, Run: 4, Held: 1000, Cap: 200_000,
	}
}

func observeBoth(p *pick.Picker) {
	p.Observe(digest(0))
	p.Observe(digest(1))
}

func newWork() relay.RequestInfo {
	return relay.RequestInfo{RequestID: "r", Model: deployment.Model, PromptTokens: 2000, MaxTokens: 100, Tried: sets.New[string]()}
}

// Guards against picking a server that the digests, the configuration or earlier attempts of the request rule
// out. Of two runners, only the wanted one may be picked.
func TestPick(t *testing.T) {
	t.Parallel()
	chain := []uint64{1, 2, 3, 4, 5, 6, 7, 8}
	tests := []struct {
		name   string
		change func(*schema.Document)
		setup  func(*pick.Picker, *relay.RequestInfo)
		want   int // -1: none
		code   fault.Code
	}{
		{name: "no digest", want: -1, code: fault.NoBackend},
		{name: "one digest", setup: func(p *pick.Picker, _ *relay.RequestInfo) { p.Observe(digest(1)) }, want: 1},
		{name: "tried", setup: func(p *pick.Picker, w *relay.RequestInfo) {
			observeBoth(p)
			w.Tried.Add(deployment.GroupName(0))
		}, want: 1},
		{
			name: "data centre out of service", change: func(d *schema.Document) { d.DataCentres[0].InService = false },
			setup: func(p *pick.Picker, _ *relay.RequestInfo) {
				p.Observe(digest(0))
				p.Observe(digest(1))
			}, want: 1,
		},
		{name: "memory full", setup: func(p *pick.Picker, _ *relay.RequestInfo) {
			d := digest(0)
			d.Held = d.Cap
			p.Observe(d)
		}, want: -1, code: fault.Overloaded},
		{name: "cache events", setup: func(p *pick.Picker, w *relay.RequestInfo) {
			observeBoth(p)
			for i, fp := range chain {
				p.Events(deployment.GroupName(1), "i", []engine.CacheEvent{{Seq: uint64(i + 1), Hash: fp, Stored: true}})
			}
			w.Prefix = chain
		}, want: 1},
		{name: "earlier request with the prefix", setup: func(p *pick.Picker, w *relay.RequestInfo) {
			observeBoth(p)
			w.Prefix = chain
			p.Started(deployment.GroupName(1), *w)
			p.Ended(deployment.GroupName(1), *w, relay.Result{Instance: "i", State: engine.Warm, PromptTokens: 1000})
		}, want: 1},
		{name: "result from a cold instance", setup: func(p *pick.Picker, w *relay.RequestInfo) {
			observeBoth(p)
			p.Started(deployment.GroupName(0), *w)
			p.Ended(deployment.GroupName(0), *w, relay.Result{Instance: "j", State: engine.Cold})
			// This digest is from the previous instance.
			stale := digest(0)
			stale.AgeMs = 500
			p.Observe(stale)
		}, want: 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			v := newView(2, tt.change)
			p, w := newPicker(t, v), newWork()
			if tt.setup != nil {
				tt.setup(p, &w)
			}
			for range 20 {
				s, err := p.Pick(newView(2, nil), w)
				if tt.want < 0 {
					if err == nil || err.Code() != tt.code || err.Outcome() != fault.NotRun || err.RetryAfter() == 0 {
						t.Fatalf("got %s, %v; want %s, not_run", s.Name, err, tt.code)
					}
					continue
				}
				if err != nil || s.Name != deployment.GroupName(tt.want) {
					t.Fatalf("got %q, %v; want runner %d", s.Name, err, tt.want)
				}
			}
		})
	}
}

// Guards against concurrent requests that are all sent to the same server because pending picks do not count
// as load, and against picks that count forever although their request was never started.
func TestPendingPicksCountAsLoad(t *testing.T) {
	t.Parallel()
	v, now := newView(2, nil), time.Now()
	p, err := pick.New(pick.Config{
		View: func() *view.View { return v }, Now: func() time.Time { return now }, Choose: choose.DefaultConfig(), PrefixEntries: 10,
	})
	if err != nil {
		t.Fatalf("make picker: %v", err)
	}
	next := 0
	fill := func() map[string]int {
		got := make(map[string]int)
		for range 200 {
			next++
			w := newWork()
			w.RequestID = strconv.Itoa(next)
			if s, err := p.Pick(v, w); err == nil {
				got[s.Name]++
			}
		}
		return got
	}
	observeBoth(p)
	first := fill()
	capacity := 199_000 / 2_100
	want := map[string]int{deployment.GroupName(0): capacity, deployment.GroupName(1): capacity}
	if !maps.Equal(first, want) {
		t.Errorf("%v picks, but only %d fit into the memory of each server", first, capacity)
	}
	now = now.Add(afterPickTimeout)
	if second := fill(); !maps.Equal(second, want) {
		t.Errorf("%v picks after the earlier ones have expired, want %v", second, want)
	}
}

// Guards against data races between requests, digests and configuration changes.
func TestConcurrentUse(t *testing.T) {
	t.Parallel()
	v := newView(20, nil)
	p := newPicker(t, v)
	changed := newView(10, func(*schema.Document) {})
	var wg sync.WaitGroup
	for g := range 8 {
		wg.Go(func() {
			for i := range 200 {
				w := newWork()
				w.RequestID = strconv.Itoa(g*1000 + i)
				w.Prefix = prefix.Append(nil, 0, string(make([]byte, 2000)))
				p.Observe(digest(i % 20))
				if s, err := p.Pick(v, w); err == nil {
					p.Started(s.Name, w)
					p.Ended(s.Name, w, relay.Result{Instance: "i", State: engine.Warm, PromptTokens: 500})
				}
				if i == 100 {
					_, _ = p.Pick(changed, w)
				}
			}
		})
	}
	wg.Wait()
}

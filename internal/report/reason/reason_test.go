package reason_test

import (
	"context"
	"encoding/json"
	"strconv"
	"testing"
	"time"

	"geraniumhollow/internal/core/tasks"
	"geraniumhollow/internal/report/reason"
)

// Guards against searches that miss decisions, return others, or return them in the wrong order.
func TestSearch(t *testing.T) {
	t.Parallel()
	r := reason.New(3, time.Now)
	r.Add(reason.Choice, "n-1", "dropped", "the ring is full")
	r.Add(reason.Choice, "n-1", "first", "x", reason.Int("queue", 0), reason.Name("server", "g-1"))
	r.Add(reason.Retry, "n-2", "second", "x")
	r.Add(reason.Refusal, "n-1", "third", "x", reason.Int("a", 1), reason.Int("b", 2), reason.Int("c", 3), reason.Int("d", 4), reason.Int("e", 5))
	tests := []struct {
		name string
		q    reason.Query
		want []reason.Text
	}{
		{"all, newest first", reason.Query{}, []reason.Text{"third", "second", "first"}},
		{"subject", reason.Query{Subject: "n-1"}, []reason.Text{"third", "first"}},
		{"kind", reason.Query{Kind: reason.Retry}, []reason.Text{"second"}},
		{"subject and kind", reason.Query{Subject: "n-1", Kind: reason.Choice}, []reason.Text{"first"}},
		{"limit", reason.Query{Limit: 1}, []reason.Text{"third"}},
		{"nothing", reason.Query{Subject: "n-3"}, nil},
	}
	for _, tt := range tests {
		got := r.Search(tt.q)
		if len(got) != len(tt.want) {
			t.Errorf("%s: got %d entries, want %d", tt.name, len(got), len(tt.want))
			continue
		}
		for i, e := range got {
			if e.Decision != tt.want[i] {
				t.Errorf("%s: entry %d is %q, want %q", tt.name, i, e.Decision, tt.want[i])
			}
		}
	}
	raw, err := json.Marshal(r.Search(reason.Query{Kind: reason.Choice}))
	var back []reason.Entry
	if err != nil || json.Unmarshal(raw, &back) != nil || back[0].Details[0].Value() != "0" || back[0].Details[1].Value() != "g-1" {
		t.Errorf("details do not survive JSON: %s, %v", raw, err)
	}
	if n := len(r.Search(reason.Query{Kind: reason.Refusal})[0].Details); n != 4 {
		t.Errorf("%d details kept, want 4", n)
	}
}

// Guards against caller text or keys in the ring.
func TestNames(t *testing.T) {
	t.Parallel()
	r := reason.New(4, time.Now)
	for _, s := range []string{"book a van for Ms Lund", "", "key=secret", string(make([]byte, 200))} {
		r.Add(reason.Choice, s, "d", "r", reason.Name("server", s))
	}
	for _, e := range r.Search(reason.Query{}) {
		if e.Subject != "(not a name)" || e.Details[0].Value() != "(not a name)" {
			t.Errorf("kept %q, %q", e.Subject, e.Details[0].Value())
		}
	}
}

// Guards against data races and lost writes between requests and an operator's search.
func TestConcurrentUse(t *testing.T) {
	t.Parallel()
	const writers, each = 4, 100
	r := reason.New(writers*each, time.Now)
	g := tasks.New(t.Context())
	for w := range writers {
		g.Go("writer", func(context.Context) error {
			for i := range each {
				r.Add(reason.Choice, strconv.Itoa(w), "d", "r", reason.Int("i", i))
				r.Search(reason.Query{Limit: 1})
			}
			return nil
		})
	}
	if err := g.Wait(); err != nil {
		t.Fatal(err)
	}
	if n := len(r.Search(reason.Query{})); n != writers*each {
		t.Errorf("%d entries, want %d", n, writers*each)
	}
}

func BenchmarkAdd(b *testing.B) {
	r := reason.New(4096, time.Now)
	b.ReportAllocs()
	for b.Loop() {
		r.Add(reason.Choice, "node-0-5f-0123456789", "sent", "shortest wait", reason.Int("queue", 3))
	}
}

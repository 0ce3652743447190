package burn_test

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"geraniumhollow/internal/conf/schema"
	"geraniumhollow/internal/fake/store"
	"geraniumhollow/internal/report/burn"
)

var start = time.Date(2026, 8, 10, 11, 30, 0, 0, time.UTC)

func objective() schema.Objective {
	return schema.Objective{Account: "a", Model: "m", Quantile: 0.95}
}

func good() burn.Request {
	return burn.Request{Account: "a", Model: "m", DataCentre: "vejle", FirstToken: time.Second, BetweenTokens: 30 * time.Millisecond}
}

// Guards against requests that are judged by the wrong bound, or against none.
func TestJudge(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name   string
		change func(r *burn.Request)
		want   burn.Cause
	}{
		{"met", func(*burn.Request) {}, burn.Good},
		{"first token at the bound", func(r *burn.Request) { r.FirstToken = 2 * time.Second }, burn.Good},
		{"first token late", func(r *burn.Request) { r.FirstToken = 2001 * time.Millisecond }, burn.SlowFirst},
		{"tokens slow", func(r *burn.Request) { r.BetweenTokens = 37 * time.Millisecond }, burn.SlowBetween},
		{"refused", func(r *burn.Request) { r.Refused = true }, burn.Refused},
		{"failed and late", func(r *burn.Request) { r.Failed = true; r.FirstToken = time.Minute }, burn.Failed},
		{"unknown", func(r *burn.Request) { r.Unknown = true }, burn.OutcomeUnsure},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			r := good()
			tt.change(&r)
			if got := burn.Judge(objective(), r); got != tt.want {
				t.Errorf("got %s, want %s", got, tt.want)
			}
		})
	}
}

// record adds n requests a minute for some minutes, of which bad ones are refused, and returns the end.
func record(rec *burn.Recorder, from time.Time, minutes, n, bad int) time.Time {
	for m := range minutes {
		for i := range n {
			r := good()
			r.Refused = i < bad
			rec.Add(from.Add(time.Duration(m)*time.Minute), []schema.Objective{objective()}, r)
		}
	}
	return from.Add(time.Duration(minutes) * time.Minute)
}

// Guards against alerts that fire on a blip, stay silent in an outage, or go on after it ended.
func TestAlerts(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name string
		run  func(rec *burn.Recorder) time.Time
		want burn.Alert
	}{
		{"no requests", func(*burn.Recorder) time.Time { return start }, burn.None},
		{"within the budget", func(r *burn.Recorder) time.Time { return record(r, start, 60, 100, 5) }, burn.None},
		{"blip of two minutes", func(r *burn.Recorder) time.Time { return record(r, record(r, start, 60, 100, 0), 2, 100, 100) }, burn.None},
		{"outage of an hour", func(r *burn.Recorder) time.Time { return record(r, start, 60, 100, 100) }, burn.Fast},
		{"outage that has ended", func(r *burn.Recorder) time.Time { return record(r, record(r, start, 50, 100, 100), 10, 100, 0) }, burn.Slow},
		{"slow burn", func(r *burn.Recorder) time.Time { return record(r, start, 330, 100, 40) }, burn.Slow},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			rec := burn.New()
			now := tt.run(rec)
			rep := burn.Make(now, []schema.Objective{objective()}, [][]burn.Bucket{rec.Buckets(now.Add(-7*time.Hour), now.Add(time.Hour))})
			if got := rep.Objectives[0].Alert; got != tt.want {
				t.Errorf("alert %s, want %s: %+v", got, tt.want, rep.Objectives[0].Windows)
			}
		})
	}
}

// Guards against counts that are lost or counted twice when a node is replaced, and when an hour ends.
func TestArchive(t *testing.T) {
	t.Parallel()
	objects := store.New().Objects()
	objectives := []schema.Objective{objective()}
	now := start
	for i, incarnation := range []string{"one", "two"} {
		rec := burn.New()
		ar := burn.NewArchive(objects, rec, "node-0", incarnation)
		for range 40 {
			r := good()
			r.Failed = i == 1
			rec.Add(now, objectives, r)
			now = now.Add(30 * time.Second)
			if err := ar.Write(t.Context(), now); err != nil {
				t.Fatal(err)
			}
		}
	}
	rep, err := burn.Read(t.Context(), objects, now, objectives)
	if err != nil {
		t.Fatal(err)
	}
	w := rep.Objectives[0].Windows[len(rep.Objectives[0].Windows)-1]
	if w.Total != 80 || w.Bad != 40 || math.Abs(w.Burn-10) > 1e-9 {
		t.Errorf("6h window: %+v, want 80 requests, 40 bad, burn 10", w)
	}
}

func ExampleReport_WriteText() {
	rec := burn.New()
	now := record(rec, start, 5, 100, 10)
	rep := burn.Make(now, []schema.Objective{objective()}, [][]burn.Bucket{rec.Buckets(start, now)})
	var b strings.Builder
	if err := rep.WriteText(&b); err != nil {
		fmt.Println(err)
	}
	fmt.Println(strings.Split(b.String(), "\n")[2])
	fmt.Println(strings.TrimSpace(strings.Split(b.String(), "\n")[8]))
	// Output:
	// a / m, objective 95%, alert none
	// 100.0% refused in vejle (50)
}

// Guards against a plot that cannot be drawn or that misses the time of an outage.
func TestSeriesAndPlot(t *testing.T) {
	t.Parallel()
	rec := burn.New()
	now := record(rec, record(rec, record(rec, start, 60, 100, 0), 10, 100, 100), 60, 100, 0)
	nodes := [][]burn.Bucket{rec.Buckets(start, now)}
	peak := 0.0
	for _, p := range burn.Series(now, objective(), nodes) {
		if ago := now.Sub(p.At); p.Burn > 1 && (ago < time.Hour-5*time.Minute || ago > 75*time.Minute) {
			t.Errorf("burn %.1f outside of the outage, %v ago", p.Burn, ago)
		}
		peak = max(peak, p.Burn)
	}
	if math.Abs(peak-20) > 1e-9 {
		t.Errorf("peak burn %.2f, want 20", peak)
	}
	var b strings.Builder
	if err := burn.WritePlot(&b, now, []schema.Objective{objective()}, nodes); err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(b.String(), "</svg>") {
		t.Error("the plot is no SVG")
	}
}

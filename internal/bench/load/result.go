package load

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"
	"time"

	"geraniumhollow/internal/core/fault"
	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"
)

// Verdict is what became of one request, as the caller saw it.
type Verdict string

// Verdicts. Right answers and refusals are what callers may expect; Unknown is an honest error after
// the request may have run; the others are failures of the system.
const (
	Right   Verdict = "right"
	Refused Verdict = "refused_not_run"
	Unknown Verdict = "outcome_unknown"
	Wrong   Verdict = "wrong_answer"
	Cut     Verdict = "cut_answer"
	Lost    Verdict = "no_answer"
)

// histogram bounds: 1 µs to 10 min with three digits.
const (
	lowestMicros  = 1
	highestMicros = 600_000_000
	digits        = 3
)

// Result is what a load showed.
type Result struct {
	Name     string            `json:"name"`
	Seed     uint64            `json:"seed"`
	Requests int               `json:"requests"`
	Verdicts map[Verdict]int   `json:"verdicts"`
	Codes    map[string]int    `json:"codes"`
	Latency  map[string]Spread `json:"latency_ms"`
	// Duplicates are bookings that ran more than once; FalseNotRun are requests that ran although
	// the caller was told not_run.
	Duplicates int `json:"duplicates"`
	// Comebacks are the times that a caller came back after its connection broke.
	Comebacks   int `json:"comebacks"`
	FalseNotRun int `json:"false_not_run"`
	// Checks are the bounds that were looked at, with what was seen.
	Checks []Check `json:"checks"`
}

// Check is one bound.
type Check struct {
	Name string `json:"name"`
	Seen string `json:"seen"`
	Want string `json:"want"`
	OK   bool   `json:"ok"`
}

// Spread is a distribution of times, in milliseconds.
type Spread struct {
	N   int64   `json:"n"`
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
	Max float64 `json:"max"`
	// Histogram is the whole distribution: the time that each quantile, in percent, does not exceed.
	Histogram []Quantile `json:"histogram"`
}

// Quantile is one point of a distribution.
type Quantile struct {
	Percent float64 `json:"percent"`
	Ms      float64 `json:"ms"`
}

// Failed reports whether any check failed.
func (r *Result) Failed() bool {
	return slices.ContainsFunc(r.Checks, func(c Check) bool { return !c.OK })
}

// recorder collects outcomes while the load runs. It is safe for concurrent use.
type recorder struct {
	mu       sync.Mutex
	verdicts map[Verdict]int
	codes    map[string]int
	spreads  map[string]*hdrhistogram.Histogram
	notRun   []Request
	failures []string
	// comebacks counts callers that came back.
	comebacks int
}

func newRecorder() *recorder {
	return &recorder{
		verdicts: make(map[Verdict]int),
		codes:    make(map[string]int),
		spreads:  make(map[string]*hdrhistogram.Histogram),
	}
}

// maxFailures bounds the failures that are kept in words.
const maxFailures = 20

func (r *recorder) verdict(req Request, v Verdict, code fault.Code, detail string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.verdicts[v]++
	if code != "" {
		r.codes[string(code)]++
	}
	if v == Refused {
		r.notRun = append(r.notRun, req)
	}
	if (v == Wrong || v == Cut || v == Lost) && len(r.failures) < maxFailures {
		r.failures = append(r.failures, fmt.Sprintf("request %d (%s) at %v: %s: %s", req.Index, req.Kind, req.At, v, detail))
	}
}

func (r *recorder) cameBack() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.comebacks++
}

func (r *recorder) time(name string, d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	h, ok := r.spreads[name]
	if !ok {
		h = hdrhistogram.New(lowestMicros, highestMicros, digits)
		r.spreads[name] = h
	}
	// A time above the range counts as the longest one that the histogram holds.
	_ = h.RecordValue(min(max(d.Microseconds(), lowestMicros), highestMicros))
}

// result returns what was collected.
func (r *recorder) result(name string, m Mix, n int) *Result {
	r.mu.Lock()
	defer r.mu.Unlock()
	res := &Result{
		Name: name, Seed: m.Seed, Requests: n, Verdicts: maps.Clone(r.verdicts), Codes: maps.Clone(r.codes),
		Comebacks: r.comebacks,
		Latency:   make(map[string]Spread, len(r.spreads)),
	}
	for name, h := range r.spreads {
		res.Latency[name] = spread(h)
	}
	return res
}

func spread(h *hdrhistogram.Histogram) Spread {
	ms := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	out := Spread{N: h.TotalCount(), P50: ms(50), P95: ms(95), P99: ms(99), Max: float64(h.Max()) / 1000}
	for _, b := range h.CumulativeDistribution() {
		out.Histogram = append(out.Histogram, Quantile{Percent: b.Quantile, Ms: float64(b.ValueAt) / 1000})
	}
	return out
}

// WriteTable writes the result for a person to read.
func (r *Result) WriteTable(w io.Writer) {
	_, _ = fmt.Fprintf(w, "%s: seed %d, %d requests\n", r.Name, r.Seed, r.Requests)
	for _, v := range []Verdict{Right, Refused, Unknown, Wrong, Cut, Lost} {
		_, _ = fmt.Fprintf(w, "  %-18s %7d\n", v, r.Verdicts[v])
	}
	_, _ = fmt.Fprintf(w, "  %-18s %7d\n", "comebacks", r.Comebacks)
	for _, c := range slices.Sorted(maps.Keys(r.Codes)) {
		_, _ = fmt.Fprintf(w, "  code %-24s %d\n", c, r.Codes[c])
	}
	_, _ = fmt.Fprintf(w, "  %-24s %8s %9s %9s %9s %9s\n", "milliseconds", "n", "p50", "p95", "p99", "max")
	for _, name := range slices.Sorted(maps.Keys(r.Latency)) {
		s := r.Latency[name]
		_, _ = fmt.Fprintf(w, "  %-24s %8d %9.2f %9.2f %9.2f %9.2f\n", name, s.N, s.P50, s.P95, s.P99, s.Max)
	}
	for _, c := range r.Checks {
		mark := "ok"
		if !c.OK {
			mark = "FAILED"
		}
		_, _ = fmt.Fprintf(w, "  %-6s %-44s seen %s, want %s\n", mark, c.Name, c.Seen, c.Want)
	}
}

// WriteJSON writes the result for a program to read.
func (r *Result) WriteJSON(w io.Writer) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	if err := enc.Encode(r); err != nil {
		return errors.Newf("encode result: %w", err)
	}
	return nil
}

// CompareResults writes two results side by side.
func CompareResults(w io.Writer, a, b *Result) {
	_, _ = fmt.Fprintf(w, "%-36s %12s %12s\n", "", a.Name, b.Name)
	for _, v := range []Verdict{Right, Refused, Unknown, Wrong, Cut, Lost} {
		_, _ = fmt.Fprintf(w, "%-36s %12d %12d\n", v, a.Verdicts[v], b.Verdicts[v])
	}
	_, _ = fmt.Fprintf(w, "%-36s %12d %12d\n", "duplicates", a.Duplicates, b.Duplicates)
	_, _ = fmt.Fprintf(w, "%-36s %12d %12d\n", "false_not_run", a.FalseNotRun, b.FalseNotRun)
	for _, name := range slices.Sorted(maps.Keys(a.Latency)) {
		x, y := a.Latency[name], b.Latency[name]
		_, _ = fmt.Fprintf(w, "%-36s %12.2f %12.2f\n", name+" p50 ms", x.P50, y.P50)
		_, _ = fmt.Fprintf(w, "%-36s %12.2f %12.2f\n", name+" p95 ms", x.P95, y.P95)
		_, _ = fmt.Fprintf(w, "%-36s %12.2f %12.2f\n", name+" p99 ms", x.P99, y.P99)
	}
}

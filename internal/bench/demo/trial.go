package demo

import (
	"context"
	"fmt"
	"io"
	"strconv"
	"time"

	"geraniumhollow/internal/bench/load"
	"geraniumhollow/internal/fake/model"
	"github.com/cockroachdb/errors"
)

// ErrCheckFailed marks a run that broke one of its bounds.
var ErrCheckFailed = errors.New("a bound was broken")

// Bounds of a trial, from the design page.
const (
	firstTokenBoundMs    = 2_000
	betweenTokensBoundMs = 36
	outOfServiceBound    = 4 * time.Second
	coldLimit            = 2
)

// Trial is a load with a schedule of faults.
type Trial struct {
	Name string
	Mix  load.Mix
	// DataCentreOut and DataCentreBack are when the first data centre leaves and returns; 0 for never.
	DataCentreOut  time.Duration
	DataCentreBack time.Duration
	// EngineKilled is when engines of the other data centres are killed in mid-stream.
	EngineKilled time.Duration
	// StoreDown and StoreUp are the ends of an outage.
	StoreDown time.Duration
	StoreUp   time.Duration
	// NodeStopped is when the last node begins its planned stop.
	NodeStopped time.Duration
	// NodeKilled is when the second node ends without notice. Callers come back then.
	NodeKilled time.Duration
	// Crasher is when a request that crashes every engine is sent, again and again through every node.
	Crasher time.Duration
}

// crashPrompt is the prompt that crashes every stand-in engine of a trial with a crasher.
const crashPrompt = "crash"

// crashRuns is how often such a request may run: once unsuspected, and crash_runs times alone, which
// the demo's document leaves at 2.
const crashRuns = 3

// Run runs the trial on a running system and returns its result with every bound checked.
func (t Trial) Run(ctx context.Context, s *System, w io.Writer) (*load.Result, error) {
	var outAt time.Time
	var lastWork time.Time
	out := s.Site.Deployment.DataCentres[0]
	var faults []load.Fault
	add := func(name string, at time.Duration, do func(ctx context.Context) error) {
		if at > 0 {
			faults = append(faults, load.Fault{Name: name, At: at, Do: do})
		}
	}
	add("data centre out", t.DataCentreOut, func(ctx context.Context) error {
		// The time counts from before the change was sent, which is a little early.
		outAt = time.Now()
		return s.SetDataCentre(ctx, out, false)
	})
	add("data centre back", t.DataCentreBack, func(ctx context.Context) error {
		lastWork = s.lastWork(out)
		return s.SetDataCentre(ctx, out, true)
	})
	add("engines killed", t.EngineKilled, func(ctx context.Context) error { return s.RestartEngine(ctx, 1) })
	add("store down", t.StoreDown, func(context.Context) error { s.SetStoreDown(true); return nil })
	add("store up", t.StoreUp, func(context.Context) error { s.SetStoreDown(false); return nil })
	add("crasher", t.Crasher, s.sendCrasher)
	add("node killed", t.NodeKilled, func(context.Context) error { s.kills[1](); return nil })
	t.Mix.Persistent = t.Mix.Persistent || t.NodeKilled > 0
	add("node stopped", t.NodeStopped, func(context.Context) error { s.StopNode(len(s.Nodes) - 1); return nil })

	res, failures, err := load.Run(ctx, t.Name, t.Mix, s.target(), faults)
	if err != nil {
		return nil, errors.Newf("trial %s: %w", t.Name, err)
	}
	s.judge(res, t.Crasher > 0)
	if t.DataCentreBack > 0 {
		late := max(0, lastWork.Sub(outAt))
		res.Checks = append(res.Checks, load.Check{
			Name: "last new work after a data centre was taken out",
			Seen: late.Round(time.Millisecond).String(), Want: "at most " + outOfServiceBound.String(),
			OK: late <= outOfServiceBound,
		})
	}
	res.WriteTable(w)
	_, _ = fmt.Fprintf(w, "  prompt tokens found in engine caches: %.0f%%\n", 100*s.cacheHits())
	for _, f := range failures {
		_, _ = fmt.Fprintln(w, "  "+f)
	}
	return res, nil
}

// judge adds the checks that every trial has.
func (s *System) judge(res *load.Result, crasher bool) {
	none := func(name string, n int) {
		res.Checks = append(res.Checks, load.Check{Name: name, Seen: strconv.Itoa(n), Want: "0", OK: n == 0})
	}
	none("wrong answers", res.Verdicts[load.Wrong])
	none("cut answers", res.Verdicts[load.Cut])
	none("lost answers", res.Verdicts[load.Lost])
	none("bookings that ran twice", res.Duplicates)
	none("false not_run", res.FalseNotRun)
	if crasher {
		runs := s.Prompts(model.PromptHash(crashPrompt))
		res.Checks = append(res.Checks, load.Check{
			Name: "runs of the request that crashes engines", Seen: strconv.Itoa(runs),
			Want: "1 to " + strconv.Itoa(crashRuns), OK: runs >= 1 && runs <= crashRuns,
		})
		none("other engines that fell over", s.crashes()-runs)
	} else {
		none("engines that fell over", s.crashes())
	}
	atMost := func(name string, seen, bound float64) {
		res.Checks = append(res.Checks, load.Check{
			Name: name, Seen: fmt.Sprintf("%.1f", seen), Want: fmt.Sprintf("at most %.0f", bound), OK: seen <= bound,
		})
	}
	atMost("most requests held in cold start", float64(s.maxColdHeld()), coldLimit)
	atMost("first token, 95 in 100, ms", res.Latency["first_token"].P95, firstTokenBoundMs)
	atMost("between tokens, 95 in 100, ms", res.Latency["between_tokens"].P95, betweenTokensBoundMs)
}

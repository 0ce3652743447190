package burn

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"geraniumhollow/internal/conf/schema"
	"github.com/cockroachdb/errors"
)

// Window is a span over which the burn of a budget is averaged.
type Window struct {
	Name   string
	Length time.Duration
}

// Windows are the spans that alerts look at, in pairs: an alert needs both of a pair, the short one to
// end soon after the trouble ends, the long one to ignore a blip.
var (
	FastShort = Window{Name: "5m", Length: 5 * time.Minute}
	FastLong  = Window{Name: "1h", Length: time.Hour}
	SlowShort = Window{Name: "30m", Length: 30 * time.Minute}
	SlowLong  = Window{Name: "6h", Length: 6 * time.Hour}
)

// windows lists all windows, shortest first.
var windows = []Window{FastShort, SlowShort, FastLong, SlowLong}

// Burn rates above which an alert fires. 14.4 spends 2% of a 30 day budget in an hour, 6 spends 5% of
// it in six hours.
const (
	fastThreshold = 14.4
	slowThreshold = 6
)

// Alert is how urgent the burn of an objective is.
type Alert string

// Alerts.
const (
	None Alert = "none"
	Slow Alert = "slow"
	Fast Alert = "fast"
)

// WindowReport is the burn of one objective over one window.
type WindowReport struct {
	Window string `json:"window"`
	Total  int64  `json:"total"`
	Bad    int64  `json:"bad"`
	// Burn is the share of bad requests over the share that the objective allows; above 1 the budget
	// shrinks faster than time passes.
	Burn float64 `json:"burn"`
}

// Part is what one cause in one data centre contributed to the bad requests of the longest window.
type Part struct {
	Cause      Cause   `json:"cause"`
	DataCentre string  `json:"data_centre"`
	Bad        int64   `json:"bad"`
	Share      float64 `json:"share"`
}

// ObjectiveReport is the state of one objective.
type ObjectiveReport struct {
	Account  string         `json:"account"`
	Model    string         `json:"model"`
	Quantile float64        `json:"quantile"`
	Alert    Alert          `json:"alert"`
	Windows  []WindowReport `json:"windows"`
	Parts    []Part         `json:"parts"`
}

// Report is the state of all objectives.
type Report struct {
	At         time.Time         `json:"at"`
	Nodes      int               `json:"nodes"`
	Objectives []ObjectiveReport `json:"objectives"`
	// Missing names snapshots that could not be read; the report lacks their counts.
	Missing []string `json:"missing,omitempty"`
}

// Make returns the report over the buckets of any number of nodes.
func Make(now time.Time, objectives []schema.Objective, nodes [][]Bucket) Report {
	rep := Report{At: now.UTC(), Nodes: len(nodes), Objectives: []ObjectiveReport{}}
	for _, o := range objectives {
		rep.Objectives = append(rep.Objectives, makeObjective(now, o, nodes))
	}
	return rep
}

func makeObjective(now time.Time, o schema.Objective, nodes [][]Bucket) ObjectiveReport {
	rep := ObjectiveReport{Account: o.Account, Model: o.Model, Quantile: o.Quantile, Parts: []Part{}}
	burns := make(map[string]float64, len(windows))
	for _, w := range windows {
		total, bad := sum(now, w, o, nodes)
		wr := WindowReport{Window: w.Name, Total: total, Bad: bad, Burn: rate(total, bad, o.Quantile)}
		burns[w.Name] = wr.Burn
		rep.Windows = append(rep.Windows, wr)
	}
	rep.Alert = alert(burns)
	rep.Parts = parts(now, o, nodes)
	return rep
}

// rate returns how fast bad requests spend the budget that the quantile leaves.
func rate(total, bad int64, quantile float64) float64 {
	if total == 0 {
		return 0
	}
	return float64(bad) / float64(total) / (1 - quantile)
}

func alert(burns map[string]float64) Alert {
	switch {
	case min(burns[FastShort.Name], burns[FastLong.Name]) >= fastThreshold:
		return Fast
	case min(burns[SlowShort.Name], burns[SlowLong.Name]) >= slowThreshold:
		return Slow
	default:
		return None
	}
}

// each calls f for the counts of an objective in a window.
func each(now time.Time, w Window, o schema.Objective, nodes [][]Bucket, f func(Count)) {
	from := now.Add(-w.Length)
	for _, buckets := range nodes {
		for _, b := range buckets {
			if b.Start.Before(from) || b.Start.After(now) {
				continue
			}
			for _, c := range b.Counts {
				if c.Account == o.Account && c.Model == o.Model {
					f(c)
				}
			}
		}
	}
}

func sum(now time.Time, w Window, o schema.Objective, nodes [][]Bucket) (int64, int64) {
	var total, bad int64
	each(now, w, o, nodes, func(c Count) {
		total += c.N
		if c.Cause != Good {
			bad += c.N
		}
	})
	return total, bad
}

// parts returns what burned the budget over the longest window, largest first.
func parts(now time.Time, o schema.Objective, nodes [][]Bucket) []Part {
	type place struct {
		cause      Cause
		dataCentre string
	}
	bad := make(map[place]int64)
	var total int64
	each(now, SlowLong, o, nodes, func(c Count) {
		if c.Cause != Good {
			bad[place{c.Cause, c.DataCentre}] += c.N
			total += c.N
		}
	})
	out := make([]Part, 0, len(bad))
	for p, n := range bad {
		out = append(out, Part{Cause: p.cause, DataCentre: p.dataCentre, Bad: n, Share: float64(n) / float64(total)})
	}
	slices.SortFunc(out, func(a, b Part) int {
		return cmp.Or(cmp.Compare(b.Bad, a.Bad), cmp.Compare(a.Cause, b.Cause), cmp.Compare(a.DataCentre, b.DataCentre))
	})
	return out
}

// WriteText writes the report for a person to read.
func (r Report) WriteText(w io.Writer) error {
	var b strings.Builder
	fmt.Fprintf(&b, "service-level burn at %s, %d nodes\n", r.At.Format(time.RFC3339), r.Nodes)
	for _, m := range r.Missing {
		fmt.Fprintf(&b, "not read: %s\n", m)
	}
	for _, o := range r.Objectives {
		fmt.Fprintf(&b, "\n%s / %s, objective %.4g%%, alert %s\n", o.Account, o.Model, o.Quantile*100, o.Alert)
		fmt.Fprintf(&b, "  %-6s %10s %10s %8s\n", "window", "total", "bad", "burn")
		for _, wr := range o.Windows {
			fmt.Fprintf(&b, "  %-6s %10d %10d %8.2f\n", wr.Window, wr.Total, wr.Bad, wr.Burn)
		}
		for _, p := range o.Parts {
			fmt.Fprintf(&b, "  %5.1f%% %s in %s (%d)\n", p.Share*100, p.Cause, p.DataCentre, p.Bad)
		}
	}
	if _, err := io.WriteString(w, b.String()); err != nil {
		return errors.Newf("write burn report: %w", err)
	}
	return nil
}

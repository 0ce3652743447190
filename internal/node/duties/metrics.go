package duties

import (
	"geraniumhollow/internal/core/clock"
	"geraniumhollow/internal/plat/cloud"
	"geraniumhollow/internal/report/metric"
	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
)

// namespace is that of all metrics of a node.
const namespace = "geraniumhollow"

// Calls of the platform's API, as labels.
const (
	callUsage = "usage"
	callScale = "scale"
)

// metrics counts what the duties do.
type metrics struct {
	calls  *prometheus.CounterVec
	missed *prometheus.CounterVec
}

// newMetrics registers the metrics of the duties.
func newMetrics(set *metric.Set, d *Duties) metrics {
	m := metrics{
		calls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "cloud_calls_total", Help: "Calls of the platform's API by call and result.",
		}, []string{"call", "result"}),
		missed: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "usage_windows_missed_total", Help: "Windows whose usage this node did not report, by reason.",
		}, []string{"reason"}),
	}
	set.Registry().MustRegister(m.calls, m.missed)
	set.Func("duty_held_seconds", "Time for which this node has held the duty to call the platform's API, 0 if it does not.", func() float64 {
		d.mu.Lock()
		defer d.mu.Unlock()
		if !d.collecting {
			return 0
		}
		return (clock.Since() - d.heldSince).Seconds()
	})
	set.Func("usage_last_window", "Last window whose usage this node reported, 0 for none.", func() float64 {
		d.mu.Lock()
		defer d.mu.Unlock()
		if d.ledger == nil {
			return 0
		}
		return float64(d.ledger.LastSent())
	})
	set.Func("usage_late_requests", "Requests whose counts reached this node after those of their window were stored.", func() float64 {
		d.mu.Lock()
		defer d.mu.Unlock()
		if d.ledger == nil {
			return 0
		}
		return float64(d.ledger.LateCounts())
	})
	set.Func("wall_clock_offset_seconds", "How far the wall clock of this node is ahead of its estimate of true time.", func() float64 {
		d.mu.Lock()
		defer d.mu.Unlock()
		if d.trueTime == nil {
			return 0
		}
		return d.trueTime.OwnOffset().Seconds()
	})
	return m
}

// callResult returns the label for the result of a call.
func callResult(err error) string {
	switch {
	case err == nil:
		return "ok"
	case errors.Is(err, errNotCalled):
		return "not_sent"
	case errors.Is(err, cloud.ErrRateLimited):
		return "rate_limited"
	case errors.Is(err, cloud.ErrUnavailable):
		return "unavailable"
	default:
		return "unknown"
	}
}

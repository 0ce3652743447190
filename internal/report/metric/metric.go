// Package metric counts what a node does, for Prometheus. Label values come from fixed sets, so that
// the number of series does not grow with callers, accounts or backend servers.
package metric

import (
	"net/http"
	"slices"
	"time"

	"geraniumhollow/internal/core/fault"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

const namespace = "geraniumhollow"

// other is the label value of everything outside a fixed set.
const other = "other"

// Values of labels.
var (
	attemptResults = []string{"answered", "failed", "cancelled", "unknown"}
	grantResults   = []string{"granted", "released", "busy", "closed", "waiting", "no_owner"}
	modes          = []string{"current", "store_down", "isolated"}
	stallReasons   = []string{"no_answer", "streams_silent", "departed", "refused"}
	cutReasons     = []string{
		"caller_left", "caller_write", "node_ends", "time_up", "cut_short", "may_have_run", "no_time", "attempts", "retry_budget", "no_server",
		"quarantined", "isolated",
	}
	orderKinds   = []string{"join", "open", "close", "leave", "stage"}
	orderResults = []string{"accepted", "rejected", "unknown"}
	groupStates  = []string{"open", "planned", "retired", "free", "lost"}
	queueReasons = []string{"threshold", "wait", "expired", "full"}
	peerStates   = []string{"live", "suspect", "leaving", "gone"}
	tableCalls   = []string{"get", "scan", "commit", "snapshot", "changes"}
	tableResults = []string{"ok", "not_found", "conflict", "history_lost", "unavailable", "unknown"}
)

// Set is the metrics of one node on a registry of its own. It is safe for concurrent use.
type Set struct {
	registry *prometheus.Registry

	requests  *prometheus.CounterVec
	duration  prometheus.Histogram
	attempts  *prometheus.CounterVec
	retries   prometheus.Counter
	refusals  *prometheus.CounterVec
	queue     prometheus.Gauge
	buffered  prometheus.Gauge
	grants    *prometheus.CounterVec
	granted   prometheus.Gauge
	version   prometheus.Gauge
	age       prometheus.Gauge
	mode      *prometheus.GaugeVec
	peers     *prometheus.GaugeVec
	tableUses *prometheus.CounterVec
	tableTime *prometheus.HistogramVec
	first     prometheus.Histogram
	stalls    *prometheus.CounterVec
	cuts      *prometheus.CounterVec
	orders    *prometheus.CounterVec
	groups    *prometheus.GaugeVec
	queueOut  *prometheus.CounterVec
}

// New returns the metrics of one node.
func New() *Set {
	s := &Set{
		registry:  prometheus.NewRegistry(),
		requests:  counters("requests_total", "Requests by error code; ok is a whole answer.", "code"),
		duration:  histogram("request_seconds", "Time from the request to the end of its answer."),
		attempts:  counters("attempts_total", "Attempts at backend servers by result.", "result"),
		retries:   prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Name: "retries_total", Help: "Attempts after the first one."}),
		refusals:  counters("refusals_total", "Requests refused before an attempt, by error code.", "code"),
		queue:     gauge("queue_requests", "Requests that wait for admission."),
		buffered:  gauge("buffered_bytes", "Bytes of prompts and answers held for callers."),
		grants:    counters("grants_total", "Grants of shared budgets by result.", "result"),
		granted:   gauge("grants_held", "Grants that this node holds."),
		version:   gauge("config_version", "Configuration version in force."),
		age:       gauge("config_age_seconds", "Time since the table last confirmed the version."),
		mode:      gauges("mode", "1 for the mode of the node, 0 for the others.", "mode"),
		peers:     gauges("peers", "Known peers by state.", "state"),
		tableUses: counters("table_calls_total", "Calls of the table by call and result.", "call", "result"),
		tableTime: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: namespace, Name: "table_call_seconds", Help: "Time of a call of the table.", Buckets: prometheus.DefBuckets,
		}, []string{"call"}),
		first:    histogram("first_event_seconds", "Time from the request to the first bytes of its answer."),
		stalls:   counters("stalls_total", "Backend servers found to make no progress, by what showed it.", "reason"),
		cuts:     counters("answers_cut_total", "Answers that ended before they were complete, by why nothing followed.", "reason"),
		orders:   counters("orders_total", "Orders to backend servers by kind and result.", "kind", "result"),
		groups:   gauges("groups", "Serving groups by state, on the node that keeps them.", "state"),
		queueOut: counters("queue_refusals_total", "Requests that the waiting queues of models refused, by why.", "reason"),
	}
	s.registry.MustRegister(s.requests, s.duration, s.attempts, s.retries, s.refusals, s.queue, s.buffered, s.grants,
		s.granted, s.version, s.age, s.mode, s.peers, s.tableUses, s.tableTime, s.first, s.stalls, s.cuts, s.orders, s.groups, s.queueOut)
	return s
}

func counters(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, labels)
}

func gauge(name, help string) prometheus.Gauge {
	return prometheus.NewGauge(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help})
}

func gauges(name, help, label string) *prometheus.GaugeVec {
	return prometheus.NewGaugeVec(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help}, []string{label})
}

func histogram(name, help string) prometheus.Histogram {
	return prometheus.NewHistogram(prometheus.HistogramOpts{
		Namespace: namespace, Name: name, Help: help, Buckets: prometheus.ExponentialBuckets(0.005, 2, 15),
	})
}

// Registry returns the registry of the set, on which other parts may register metrics of their own.
func (s *Set) Registry() *prometheus.Registry { return s.registry }

// Handler returns the page that Prometheus reads.
func (s *Set) Handler() http.Handler {
	return promhttp.HandlerFor(s.registry, promhttp.HandlerOpts{})
}

// RequestEnded counts a request that took d. code is empty for a whole answer.
func (s *Set) RequestEnded(code fault.Code, d time.Duration) {
	s.requests.WithLabelValues(codeLabel(code)).Inc()
	s.duration.Observe(d.Seconds())
}

// Refused counts a request that was refused before an attempt.
func (s *Set) Refused(code fault.Code) { s.refusals.WithLabelValues(codeLabel(code)).Inc() }

// QueueRefused counts a request that the waiting queue of a model refused: threshold, wait, expired or full.
func (s *Set) QueueRefused(reason string) {
	s.queueOut.WithLabelValues(known(reason, queueReasons)).Inc()
}

// AttemptEnded counts an attempt: answered, failed, cancelled or unknown.
func (s *Set) AttemptEnded(result string) {
	s.attempts.WithLabelValues(known(result, attemptResults)).Inc()
}

// Retried counts an attempt after the first one.
func (s *Set) Retried() { s.retries.Inc() }

// Queue sets the number of requests that wait for admission.
func (s *Set) Queue(n int) { s.queue.Set(float64(n)) }

// Buffered sets the bytes of prompts and answers that are held for callers.
func (s *Set) Buffered(n int) { s.buffered.Set(float64(n)) }

// Grant counts a grant that was granted or released, or why there was none: busy, closed, waiting or
// no_owner.
func (s *Set) Grant(result string) { s.grants.WithLabelValues(known(result, grantResults)).Inc() }

// GrantsHeld sets the number of grants that this node holds.
func (s *Set) GrantsHeld(n int) { s.granted.Set(float64(n)) }

// Configuration sets the version in force, its age, and the mode: current, store_down or isolated.
func (s *Set) Configuration(version uint64, age time.Duration, mode string) {
	s.version.Set(float64(version))
	s.age.Set(age.Seconds())
	for _, m := range modes {
		s.mode.WithLabelValues(m).Set(oneIf(m == mode))
	}
}

// Peers sets the number of peers by state: live, suspect, leaving or gone.
func (s *Set) Peers(counts map[string]int) {
	for _, state := range peerStates {
		s.peers.WithLabelValues(state).Set(float64(counts[state]))
	}
}

// TableCalled counts a call of the table: get, scan or commit.
func (s *Set) TableCalled(call, result string, d time.Duration) {
	call = known(call, tableCalls)
	s.tableUses.WithLabelValues(call, known(result, tableResults)).Inc()
	s.tableTime.WithLabelValues(call).Observe(d.Seconds())
}

// FirstEvent notes the time to the first bytes of an answer.
func (s *Set) FirstEvent(d time.Duration) { s.first.Observe(d.Seconds()) }

// Stalled counts a backend server that makes no progress: no_answer or streams_silent.
func (s *Set) Stalled(reason string) { s.stalls.WithLabelValues(known(reason, stallReasons)).Inc() }

// AnswerCut counts an answer that ended before it was complete, by why nothing followed.
func (s *Set) AnswerCut(reason string) { s.cuts.WithLabelValues(known(reason, cutReasons)).Inc() }

// Order counts an order to a backend server; result is accepted, rejected or unknown.
func (s *Set) Order(kind, result string) {
	s.orders.WithLabelValues(known(kind, orderKinds), known(result, orderResults)).Inc()
}

// Groups sets the number of groups that are open, planned or retired, and of servers that are free or lost.
func (s *Set) Groups(counts map[string]int) {
	for _, state := range groupStates {
		s.groups.WithLabelValues(state).Set(float64(counts[state]))
	}
}

// Func registers a gauge whose value is read when it is asked for.
func (s *Set) Func(name, help string, value func() float64) {
	s.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help}, value))
}

// known returns v if it is in the set, and other if not.
func known(v string, set []string) string {
	if slices.Contains(set, v) {
		return v
	}
	return other
}

// codeLabel returns ok for no code, and other for one that this package does not know.
func codeLabel(code fault.Code) string {
	if code == "" {
		return "ok"
	}
	if !slices.Contains(codes, code) {
		return other
	}
	return string(code)
}

func oneIf(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// Collect registers a collector. The names of its metrics are made by Name.
func (s *Set) Collect(c prometheus.Collector) { s.registry.MustRegister(c) }

// Name returns the full name of a metric.
func Name(name string) string { return prometheus.BuildFQName(namespace, "", name) }

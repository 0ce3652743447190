// Package duties calls the platform's API for all nodes while this node holds the duty, and sends what the holder needs to know from
// this node towards it: counts of requests by account, and demand by model.
//
// The duty is the one of package duty, which is held by the node that keeps the groups. Its fencing number is sent with each call.
package duties

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"geraniumhollow/internal/core/clock"
	"geraniumhollow/internal/core/tasks"
	"geraniumhollow/internal/fleet/duty"
	"geraniumhollow/internal/fleet/usage"
	"geraniumhollow/internal/plat/cloud"
	"geraniumhollow/internal/plat/table"
	"geraniumhollow/internal/report/metric"
	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
	"golang.org/x/time/rate"
)

// Settings configure the calls of the platform's API, which the holder of the duty makes for all nodes. The zero value turns them off.
type Settings struct {
	Address string
	// ReportUsage and Scale ask for reports of usage, and for scaling.
	ReportUsage bool
	Scale       bool
	// CallsPerSecond is the maximum rate of calls of all nodes together.
	CallsPerSecond float64
	// UsageWindow is the length of a window of usage, UsageLateness how long after its end its report may arrive.
	UsageWindow   time.Duration
	UsageLateness time.Duration
	// Lease is the time within which the holder of the duty must not change and change back.
	Lease time.Duration
}

// active reports whether any duty is asked for.
func (s Settings) active() bool { return s.ReportUsage || s.Scale }

// Network sends messages to other nodes.
type Network interface {
	// SendUsage sends reports one link further towards the holder of the duty. An error means that some were not sent.
	SendUsage(list []usage.Report) error
	// CopyUsage sends reports of this node, which holds the duty, to other nodes.
	CopyUsage(list []usage.Report)
	// UsageRoute returns the process of the linked node to which SendUsage sends, "" if there is none, and then the
	// holder of the duty.
	UsageRoute() (string, string)
	// SetCollectsUsage sets whether this node receives the reports of all nodes.
	SetCollectsUsage(collects bool)
	// SendClock tells the linked nodes the time of this node's wall clock and its estimate of true time.
	SendClock(wall, estimate time.Time)
}

// Config holds the dependencies of the duties. All are required unless noted otherwise.
type Config struct {
	// Node is the name of this node, by which the platform knows the holder. Process identifies this process among the nodes.
	Node    string
	Process usage.Process
	// Settings returns the current settings.
	Settings func() Settings
	// NewAPI creates a client of the platform's API at an address.
	NewAPI func(address string) cloud.API
	// Tenure returns the current tenure of this node, and whether it holds the duty.
	Tenure  func() (duty.Tenure, bool)
	Table   table.Table
	Network Network
	// Nodes returns the addresses of the registered nodes.
	Nodes func() []string
	// TakeDemand returns the demand at this node since the previous call. It is called once a second while scaling is asked for. Nil
	// means that this node reports no demand.
	TakeDemand func() []usage.Demand
	// Scaler decides on numbers of backend servers while this node holds the duty and scaling is asked for; nil for none.
	Scaler  Scaler
	Metrics *metric.Set
	Log     hclog.Logger
}

// Intervals and limits.
const (
	// tickInterval is the time between two messages with reports. A report passes through up to four nodes.
	tickInterval = 250 * time.Millisecond
	// demandInterval is the time between reports of demand, clockInterval that between notices of the time.
	demandInterval = time.Second
	clockInterval  = 2 * time.Second
	// idleInterval is the time between checks of the settings while no duty is asked for.
	idleInterval = 2 * time.Second
	// callTimeout limits a call of the platform's API.
	callTimeout = 5 * time.Second
	// tenureCheckInterval is the time between checks whether the tenure still lasts, during a call.
	tenureCheckInterval = 50 * time.Millisecond
	// callRateShare is the part of the rate of calls that is used, as calls may be closer to each other when they arrive.
	callRateShare = 0.8
	// defaultCallRate is the number of calls per second if the settings do not limit them.
	defaultCallRate = 1
)

// Duties runs the duties of one node. It is safe for concurrent use.
type Duties struct {
	cfg     Config
	metrics metrics
	// active is set while a duty is asked for.
	active atomic.Bool

	mu        sync.Mutex
	settings  Settings
	api       cloud.API
	limiter   *rate.Limiter
	forwarder *usage.Forwarder
	// trueTime is nil unless a duty is asked for, counter and ledger are nil unless reports of usage are.
	trueTime *usage.TrueTime
	counter  *usage.Counter
	ledger   *usage.Ledger
	// next and holder are the last route of reports.
	next, holder string
	demandSeq    uint64
	reportedAt   time.Duration
	clockSentAt  time.Duration
	// collecting is set while this node holds the duty, in the tenure with the number fence, which was last known to last until
	// tenureEnd.
	collecting bool
	fence      uint64
	heldSince  time.Duration
	tenureEnd  time.Duration
}

// New returns duties that are started by Run.
func New(cfg Config) *Duties {
	d := &Duties{cfg: cfg}
	d.metrics = newMetrics(cfg.Metrics, d)
	return d
}

// Run runs the duties until ctx ends.
func (d *Duties) Run(ctx context.Context) error {
	g := tasks.New(ctx)
	g.Go("reports", d.runReports)
	g.Go("holder", func(ctx context.Context) error { return d.runHolder(ctx, g) })
	if d.cfg.Scaler != nil {
		g.Go("scaling", d.runScaling)
	}
	if err := g.Wait(); err != nil {
		return errors.Newf("duties: %w", err)
	}
	return nil
}

// runReports sends reports towards the holder of the duty.
func (d *Duties) runReports(ctx context.Context) error {
	for {
		wait := idleInterval
		if d.applySettings(d.cfg.Settings()) {
			wait = tickInterval
			d.tick(clock.Since(), time.Now())
		}
		if !tasks.Sleep(ctx, wait) {
			return nil
		}
	}
}

// applySettings reports whether any duty is asked for. A change of the settings discards what was counted.
func (d *Duties) applySettings(s Settings) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if s == d.settings {
		return s.active()
	}
	d.settings, d.api, d.limiter, d.forwarder, d.trueTime, d.counter, d.ledger = s, nil, nil, nil, nil, nil, nil
	d.collecting = false
	if s.active() {
		d.forwarder, d.api = usage.NewForwarder(d.cfg.Process, s.UsageWindow), d.cfg.NewAPI(s.Address)
		perSecond := s.CallsPerSecond
		if perSecond <= 0 {
			perSecond = defaultCallRate
		}
		d.limiter = rate.NewLimiter(rate.Limit(callRateShare*perSecond), 1)
		mono := clock.Since()
		d.trueTime = usage.NewTrueTime(mono, time.Now())
		if s.ReportUsage {
			d.counter = usage.NewCounter(d.trueTime.Now(mono), s.UsageWindow)
			d.ledger = usage.NewLedger(usage.LedgerConfig{Length: s.UsageWindow, Lateness: s.UsageLateness})
		}
	}
	d.active.Store(s.active())
	d.cfg.Log.Info("settings of duties", "report_usage", s.ReportUsage, "scale", s.Scale, "address", s.Address)
	return s.active()
}

// Began counts a request of an account that began to run.
func (d *Duties) Began(account string) {
	if !d.active.Load() {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.counter != nil {
		d.counter.Began(d.trueTime.Now(clock.Since()), account)
	}
}

// Flush sends the counts that have not been sent, because the process ends. It reports whether there were any.
func (d *Duties) Flush() bool {
	d.mu.Lock()
	var list []usage.Report
	if d.counter != nil {
		d.merge(clock.Since(), []usage.Report{{Process: d.cfg.Process, Windows: d.counter.Close()}})
		list = d.forwarder.Take(d.trueTime.Now(clock.Since()))
	}
	d.mu.Unlock()
	if len(list) == 0 {
		return false
	}
	if err := d.cfg.Network.SendUsage(list); err != nil {
		d.cfg.Log.Info("cannot send the last usage", "error", err)
	}
	return true
}

// HandleClock processes the time of another node's wall clock and its estimate of true time.
func (d *Duties) HandleClock(node string, wall, estimate time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.trueTime != nil {
		d.trueTime.ObservePeer(clock.Since(), node, wall, estimate)
	}
}

// PeerConnected has reports sent again if they are sent to a node to which a link was made: some may have been lost on the last link.
func (d *Duties) PeerConnected(address, incarnation string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.forwarder != nil && d.next == address+"/"+incarnation {
		d.forwarder.Resend()
	}
}

// tick sends what has not been sent towards the holder of the duty. The holder sends copies of its own counts. wall is the time of the wall clock.
func (d *Duties) tick(now time.Duration, wall time.Time) {
	next, holder := d.cfg.Network.UsageRoute()
	estimate, list, collecting := d.prepare(now, wall, next, holder)
	d.cfg.Network.SetCollectsUsage(collecting)
	if !estimate.IsZero() {
		d.cfg.Network.SendClock(wall, estimate)
	}
	if len(list) == 0 {
		return
	}
	if collecting {
		d.cfg.Network.CopyUsage(list)
		return
	}
	if err := d.cfg.Network.SendUsage(list); err != nil {
		d.cfg.Log.Info("cannot send usage", "to", next, "error", err)
		d.mu.Lock()
		defer d.mu.Unlock()
		if d.forwarder != nil {
			d.forwarder.Resend()
		}
	}
}

// prepare returns what to send now: the estimate of true time, zero if it is not due, and the reports. It also reports whether this
// node collects the reports of all nodes.
func (d *Duties) prepare(now time.Duration, wall time.Time, next, holder string) (time.Time, []usage.Report, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.trueTime.ObserveOwn(now, wall)
	estimate := time.Time{}
	if now-d.clockSentAt >= clockInterval {
		d.clockSentAt, estimate = now, d.trueTime.Now(now)
	}
	if d.counter != nil {
		if windows := d.counter.Reports(d.trueTime.Now(now)); len(windows) > 0 {
			d.merge(now, []usage.Report{{Process: d.cfg.Process, Windows: windows}})
		}
	}
	if now-d.reportedAt >= demandInterval {
		d.reportedAt = now
		d.reportDemand(now)
	}
	if next != d.next || holder != d.holder {
		if holder != d.holder {
			d.cfg.Log.Info("holder of the duty to call the platform's API", "holder", holder, "reports_to", next)
		}
		d.next, d.holder = next, holder
		d.forwarder.Resend()
	}
	if d.collecting || next == "" {
		d.forwarder.DropDemand()
	}
	switch {
	case d.collecting:
		return estimate, d.forwarder.TakeOwn(), true
	case next == "":
		return estimate, nil, false
	}
	return estimate, d.forwarder.Take(d.trueTime.Now(now)), false
}

// reportDemand adds the demand at this node to the reports. The lock must be held.
func (d *Duties) reportDemand(now time.Duration) {
	if !d.settings.Scale || d.cfg.TakeDemand == nil {
		return
	}
	if list := d.cfg.TakeDemand(); len(list) > 0 {
		d.demandSeq++
		d.merge(now, []usage.Report{{Process: d.cfg.Process, DemandSeq: d.demandSeq, Demand: list}})
	}
}

// HandleReports processes reports of other nodes.
func (d *Duties) HandleReports(list []usage.Report) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.forwarder != nil {
		d.merge(clock.Since(), list)
	}
}

// merge adds reports to those that are sent on, and passes what is new to the deciders if this node holds the duty. The lock must be
// held.
func (d *Duties) merge(now time.Duration, list []usage.Report) {
	list = d.forwarder.Merge(now, list)
	if !d.collecting {
		return
	}
	if d.ledger != nil {
		d.ledger.Merge(d.trueTime.Now(now), list)
	}
	if d.cfg.Scaler == nil || !d.settings.Scale {
		return
	}
	for _, r := range list {
		if r.DemandSeq > 0 {
			d.cfg.Scaler.Observe(time.Now(), r.Process, r.Demand)
		}
	}
}

// mayCall reports whether a call of the platform's API may begin now in a tenure that lasts.
func (d *Duties) mayCall(now time.Duration, t duty.Tenure) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return t.MayCall(now, d.settings.Lease)
}

// errNotCalled means that this node may not make a call now.
var errNotCalled = errors.New("this node may not call the platform's API now")

// call makes a call of the platform's API with the fencing number of a tenure. The call ends with the tenure.
func (d *Duties) call(ctx context.Context, name string, fence uint64, f func(ctx context.Context, api cloud.API, c cloud.Call) error) error {
	err := d.guardedCall(ctx, fence, f)
	d.metrics.calls.WithLabelValues(name, callResult(err)).Inc()
	return err
}

func (d *Duties) guardedCall(ctx context.Context, fence uint64, f func(ctx context.Context, api cloud.API, c cloud.Call) error) error {
	d.mu.Lock()
	api, limiter := d.api, d.limiter
	d.mu.Unlock()
	if api == nil {
		return errors.Mark(errNotCalled, cloud.ErrUnavailable)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := limiter.Wait(ctx); err != nil {
		return errors.Mark(errors.Newf("wait for the rate of calls: %w", err), cloud.ErrUnavailable)
	}
	t, holds := d.cfg.Tenure()
	now := clock.Since()
	if !holds || t.Fence != fence || !d.mayCall(now, t) {
		return errors.Mark(errNotCalled, cloud.ErrUnavailable)
	}
	call := cloud.Call{Holder: d.cfg.Node, Fence: fence, SendBy: time.Now().Add(t.LastCall() - now)}
	g := tasks.New(ctx)
	g.Go("tenure", func(ctx context.Context) error {
		for tasks.Sleep(ctx, tenureCheckInterval) {
			if t, holds := d.cfg.Tenure(); !holds || t.Fence != fence {
				cancel()
			}
		}
		return nil
	})
	var err error
	g.Go("call", func(ctx context.Context) error {
		defer cancel()
		err = f(ctx, api, call)
		return nil
	})
	if werr := g.Wait(); werr != nil {
		return errors.Mark(werr, cloud.ErrUnknown)
	}
	return err
}

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
	// reportInterval is the time between reports of demand, and between notices of the time.
	reportInterval = time.Second
	// idleInterval is the time between checks of the settings while no duty is asked for.
	idleInterval = 2 * time.Second
	// takeoverMargin is added to the lease before the first call of a tenure.
	takeoverMargin = 500 * time.Millisecond
	// lastCallMargin is how long before the end of the tenure the last call begins.
	lastCallMargin = 300 * time.Millisecond
	// callTimeout limits a call of the platform's API.
	callTimeout = 3 * time.Second
	// tenureCheckInterval is the time between checks whether the tenure still lasts, during a call.
	tenureCheckInterval = 50 * time.Millisecond
	// defaultCallRate is the number of calls per second if the settings do not limit them.
	defaultCallRate = 1
)

// Duties runs the duties of one node. It is safe for concurrent use.
type Duties struct {
	cfg Config
	// active is set while a duty is asked for.
	active atomic.Bool

	mu        sync.Mutex
	settings  Settings
	api       cloud.API
	limiter   *rate.Limiter
	forwarder *usage.Forwarder
	// next and holder are the last route of reports.
	next, holder string
	demandSeq    uint64
	reportedAt   time.Duration
	// collecting is set while this node holds the duty.
	collecting bool
}

// New returns duties that are started by Run.
func New(cfg Config) *Duties { return &Duties{cfg: cfg} }

// Run runs the duties until ctx ends.
func (d *Duties) Run(ctx context.Context) error {
	g := tasks.New(ctx)
	g.Go("reports", d.runReports)
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
			d.tick(clock.Since())
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
	d.settings, d.api, d.limiter, d.forwarder = s, nil, nil, nil
	if s.active() {
		d.forwarder, d.api = usage.NewForwarder(), d.cfg.NewAPI(s.Address)
		perSecond := s.CallsPerSecond
		if perSecond <= 0 {
			perSecond = defaultCallRate
		}
		d.limiter = rate.NewLimiter(rate.Limit(perSecond), 1)
	}
	d.active.Store(s.active())
	d.cfg.Log.Info("duties changed", "report_usage", s.ReportUsage, "scale", s.Scale, "address", s.Address)
	return s.active()
}

// tick sends what has not been sent, unless this node holds the duty.
func (d *Duties) tick(now time.Duration) {
	tenure, holds := d.cfg.Tenure()
	next, holder := d.cfg.Network.UsageRoute()
	d.mu.Lock()
	if now-d.reportedAt >= reportInterval {
		d.reportedAt = now
		d.reportDemand(now)
	}
	if next != d.next || holder != d.holder {
		d.next, d.holder = next, holder
		d.forwarder.Resend()
	}
	if holds != d.collecting {
		d.collecting = holds
		d.cfg.Log.Info("the duty to call the platform's API has changed", "holds", holds, "fence", tenure.Fence, "holder", holder)
	}
	var list []usage.Report
	switch {
	case holds:
		d.forwarder.DropDemand()
	case next != "":
		list = d.forwarder.Take()
	default:
		d.forwarder.DropDemand()
	}
	d.mu.Unlock()
	d.cfg.Network.SetCollectsUsage(holds)
	if len(list) == 0 {
		return
	}
	if err := d.cfg.Network.SendUsage(list); err != nil {
		d.cfg.Log.Info("cannot send usage", "to", next, "error", err)
		d.mu.Lock()
		d.forwarder.Resend()
		d.mu.Unlock()
	}
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
	if !d.collecting || d.cfg.Scaler == nil || !d.settings.Scale {
		return
	}
	for _, r := range list {
		if r.DemandSeq > 0 {
			d.cfg.Scaler.Observe(time.Now(), r.Process, r.Demand)
		}
	}
}

// mayCall returns the tenure of this node, and whether a call of the platform's API may begin now: neither so early that the previous
// holder may have made calls within the lease, nor so late that the next one may be about to.
func (d *Duties) mayCall(now time.Duration) (duty.Tenure, bool) {
	t, holds := d.cfg.Tenure()
	d.mu.Lock()
	lease := d.settings.Lease
	d.mu.Unlock()
	return t, holds && now >= max(t.Began, t.PredecessorEnd)+lease+takeoverMargin && t.End-now > lastCallMargin
}

// errNotCalled means that this node may not make a call now.
var errNotCalled = errors.Mark(errors.New("this node may not call the platform's API now"), cloud.ErrUnavailable)

// call makes a call of the platform's API with the fencing number of a tenure. The call ends with the tenure.
func (d *Duties) call(ctx context.Context, fence uint64, f func(ctx context.Context, api cloud.API, c cloud.Call) error) error {
	d.mu.Lock()
	api, limiter := d.api, d.limiter
	d.mu.Unlock()
	if api == nil {
		return errNotCalled
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := limiter.Wait(ctx); err != nil {
		return errors.Mark(errors.Newf("wait for the rate of calls: %w", err), cloud.ErrUnavailable)
	}
	if t, ok := d.mayCall(clock.Since()); !ok || t.Fence != fence {
		return errNotCalled
	}
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
		err = f(ctx, api, cloud.Call{Holder: d.cfg.Node, Fence: fence})
		return nil
	})
	if werr := g.Wait(); werr != nil {
		return errors.Mark(werr, cloud.ErrUnknown)
	}
	return err
}

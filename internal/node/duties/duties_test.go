package duties_test

import (
	"context"
	"slices"
	"sync"
	"testing"
	"time"

	"geraniumhollow/internal/core/clock"
	"geraniumhollow/internal/core/tasks"
	"geraniumhollow/internal/fleet/duty"
	"geraniumhollow/internal/fleet/usage"
	"geraniumhollow/internal/node/duties"
	"geraniumhollow/internal/plat/cloud"
	"geraniumhollow/internal/plat/table"
	"geraniumhollow/internal/report/metric"
	"github.com/hashicorp/go-hclog"
)

// bed is a node with stand-ins for everything around it. It implements duties.Network, cloud.API, table.Table and duties.Scaler.
type bed struct {
	table.Table

	mu       sync.Mutex
	settings duties.Settings
	holds    bool
	holder   string
	sent     []usage.Report
	clocks   int
	rows     int
	windows  []cloud.Window
	scaled   int
	observed []usage.Demand
	// cancelled counts calls that ended with the tenure.
	cancelled int
	// hangs has the calls of the API not be answered.
	hangs bool
}

// with calls f with the lock.
func (b *bed) with(f func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	f()
}

func (b *bed) SendUsage(list []usage.Report) error {
	b.with(func() { b.sent = append(b.sent, list...) })
	return nil
}

func (b *bed) CopyUsage([]usage.Report)       {}
func (b *bed) SetCollectsUsage(bool)          {}
func (b *bed) SendClock(time.Time, time.Time) { b.with(func() { b.clocks++ }) }

func (b *bed) UsageRoute() (string, string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return "next/1", b.holder
}

func (b *bed) ReportUsage(ctx context.Context, _ cloud.Call, w cloud.Window, _ cloud.Counts) error {
	b.mu.Lock()
	hangs := b.hangs
	b.windows = append(b.windows, w)
	b.mu.Unlock()
	if hangs {
		<-ctx.Done()
		b.with(func() { b.cancelled++ })
		return cloud.ErrUnknown
	}
	return nil
}

func (b *bed) Scale(context.Context, cloud.Call, string, string, int) error {
	b.with(func() { b.scaled++ })
	return nil
}

func (b *bed) Scan(context.Context, string, string, int) ([]table.Row, error) { return nil, nil }

func (b *bed) Commit(context.Context, table.Txn) (table.Revision, error) {
	b.with(func() { b.rows++ })
	return table.Revision{Era: 1, Number: 1}, nil
}

func (b *bed) Start(time.Time, uint64) {}
func (b *bed) Stop()                   {}
func (b *bed) Observe(_ time.Time, _ usage.Process, list []usage.Demand) {
	b.with(func() { b.observed = append(b.observed, list...) })
}

func (b *bed) Next(_ time.Time, mayCall bool) []duties.ScaleOrder {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !mayCall || b.scaled > 0 {
		return nil
	}
	return []duties.ScaleOrder{{Service: "s", DataCentre: "d", Desired: 2}}
}

func (b *bed) Done(time.Time, duties.ScaleOrder, error) {}

// tenure returns a tenure that began long enough ago for calls.
func (b *bed) tenure() (duty.Tenure, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := clock.Since()
	return duty.Tenure{Fence: 1, Began: now - time.Minute, PredecessorEnd: now - time.Minute, End: now + duty.HoldTime}, b.holds
}

func (b *bed) start(t *testing.T) *duties.Duties {
	t.Helper()
	d := duties.New(duties.Config{
		Node: "n", Process: usage.Process{Node: "n", Incarnation: "1"}, Settings: func() duties.Settings { return b.settings },
		NewAPI: func(string) cloud.API { return b }, Tenure: b.tenure, Table: b, Network: b, Nodes: func() []string { return []string{"n"} },
		TakeDemand: func() []usage.Demand { return []usage.Demand{{Service: "s", Arrivals: 1}} },
		Scaler:     b, Metrics: metric.New(), Log: hclog.NewNullLogger(),
	})
	ctx, cancel := context.WithCancel(context.Background())
	g := tasks.New(ctx)
	g.Go("duties", d.Run)
	t.Cleanup(func() {
		cancel()
		if err := g.Wait(); err != nil {
			t.Error(err)
		}
	})
	return d
}

func await(t *testing.T, b *bed, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		b.mu.Lock()
		got := ok()
		b.mu.Unlock()
		if got {
			return
		}
		if time.Now().After(end) {
			t.Fatal(what)
		}
	}
}

// on asks for both duties.
var on = duties.Settings{
	Address: "a", ReportUsage: true, Scale: true, CallsPerSecond: 20, UsageWindow: time.Second, UsageLateness: 10 * time.Second, Lease: time.Second,
}

// Guards against a node that sends, stores or counts anything although no duty is asked for.
func TestOff(t *testing.T) {
	t.Parallel()
	b := &bed{holds: true, holder: "n"}
	d := b.start(t)
	d.Began("a")
	d.HandleReports([]usage.Report{{Process: usage.Process{Node: "m", Incarnation: "1"}, DemandSeq: 1}})
	time.Sleep(600 * time.Millisecond)
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.sent)+b.clocks+b.rows+len(b.windows)+b.scaled+len(b.observed) > 0 {
		t.Errorf("got %d reports, %d clocks, %d rows, %d windows, %d orders, %d demands", len(b.sent), b.clocks, b.rows, len(b.windows), b.scaled, len(b.observed))
	}
}

// Guards against counts that do not reach the next node, and counts that are not sent again to a new holder.
func TestSendsTowardsHolder(t *testing.T) {
	t.Parallel()
	b := &bed{settings: on, holder: "h1"}
	d := b.start(t)
	await(t, b, "the time is not sent", func() bool { return b.clocks > 0 })
	d.Began("a")
	has := func() bool {
		return slices.ContainsFunc(b.sent, func(r usage.Report) bool {
			return slices.ContainsFunc(r.Windows, func(w usage.WindowCounts) bool { return w.Counts["a"] == 1 })
		})
	}
	await(t, b, "the count is not sent", has)
	await(t, b, "the demand is not sent", func() bool { return slices.ContainsFunc(b.sent, func(r usage.Report) bool { return r.DemandSeq > 0 }) })
	b.with(func() { b.holder, b.sent = "h2", nil })
	await(t, b, "the count is not sent to the new holder", has)
}

// Guards against a holder that reports and scales nothing, and against a call that goes on when the tenure has ended.
func TestHolder(t *testing.T) {
	t.Parallel()
	b := &bed{settings: on, holder: "n", holds: true}
	b.start(t)
	await(t, b, "no window is stored and reported", func() bool { return b.rows > 0 && len(b.windows) > 0 })
	await(t, b, "no order is sent, or no demand is seen", func() bool { return b.scaled > 0 && len(b.observed) > 0 })
	seen := 0
	b.with(func() { b.hangs, seen = true, len(b.windows) })
	await(t, b, "no call hangs", func() bool { return len(b.windows) > seen })
	b.with(func() { b.holds = false })
	begun := time.Now()
	await(t, b, "the call has not ended", func() bool { return b.cancelled > 0 })
	if took := time.Since(begun); took > 2*time.Second {
		t.Errorf("the call ended %v after the tenure", took)
	}
}

package share

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"geraniumhollow/internal/core/tasks"
	"geraniumhollow/internal/fake/store"
	"geraniumhollow/internal/fleet/lease"
	nodeshare "geraniumhollow/internal/node/share"
	"geraniumhollow/internal/plat/table"
	"geraniumhollow/internal/route/budget"
	"geraniumhollow/internal/wire/frame"
	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"github.com/hashicorp/go-hclog"
)

// grantRounds is how many grants are given and released in one measurement.
const grantRounds = 1_000_000

// Grants measures the owner decider on one goroutine: ask and release with a number of grants out.
func Grants(w io.Writer) {
	_, _ = fmt.Fprint(w, "| grants out | grants a second on one core | ns for an ask and its release |\n| --- | --- | --- |\n")
	for _, out := range []int{1, 64, 1024} {
		now := time.Now()
		l := MakeLimits(out+1, out+1)
		o := budget.NewOwner(budget.DefaultConfig(maxRun, reqTokens), l)
		o.StartTenure(now, budget.Tenure{Fence: 1, Clean: true})
		now = now.Add(time.Second)
		o.Report(now, now, budget.Report{Instance: "i", State: budget.Warm, GroupComplete: true})
		for i := range out {
			o.Ask(now, true, budget.Ask{Key: budget.Key{Holder: "h", ID: uint64(i)}, Tokens: 1}) //nolint:gosec // Never negative.
		}
		start := time.Now()
		given := 0
		for i := range grantRounds {
			k := budget.Key{Holder: "h", ID: uint64(out + i)} //nolint:gosec // Never negative.
			if o.Ask(now, true, budget.Ask{Key: k, Tokens: 1}).Status == budget.Granted {
				given++
			}
			o.Release(now, budget.Release{Key: k, End: budget.EndConfirmed, Instance: "i", State: budget.Warm})
		}
		took := time.Since(start)
		_, _ = fmt.Fprintf(w, "| %d | %.0f | %.0f |\n", out, float64(given)/took.Seconds(), float64(took.Nanoseconds())/float64(given))
	}
}

// Sizes measures the messages of a grant in CBOR, with names and numbers as in a large fleet.
func Sizes(w io.Writer) error {
	digest := frame.LoadDigest{
		Server: "presse-lm-599", Inst: "0f8fad5b-d9cb-469f-a165-70867728950e", State: "warm",
		Run: 60, Wait: 4, Held: 180_000, Cap: 200_000, Free: 4, Open: true, AgeMs: 740,
	}
	messages := []struct {
		name string
		m    any
	}{
		{"grant_ask", frame.GrantAsk{Id: 1_000_000, Server: digest.Server, Tokens: 3000}},
		{"grant_reply, granted", frame.GrantReply{
			Id: 1_000_000, Status: frame.GrantReplyStatusGranted, Inst: digest.Inst, Fence: 1000, TtlMs: 2000, Load: &digest,
		}},
		{"grant_reply, busy", frame.GrantReply{Id: 1_000_000, Status: frame.GrantReplyStatusBusy, Fence: 1000, Load: &digest}},
		{"grant_release", frame.GrantRelease{
			Id: 1_000_000, Server: digest.Server, Fence: 1000, Proof: "ended", Inst: digest.Inst, State: "warm",
		}},
		{"load_digest", digest},
	}
	_, _ = fmt.Fprint(w, "| message | bytes in CBOR, without the frame around it |\n| --- | --- |\n")
	for _, m := range messages {
		b, err := cbor.Marshal(m.m)
		if err != nil {
			return errors.Newf("encode %s: %w", m.name, err)
		}
		_, _ = fmt.Fprintf(w, "| %s | %d |\n", m.name, len(b))
	}
	return nil
}

// counting counts the rows and bytes that scans return.
type counting struct {
	*store.Store

	mu    sync.Mutex
	rows  int
	bytes int
}

// Scan implements table.Table.
func (c *counting) Scan(ctx context.Context, prefix, after string, limit int) ([]table.Row, error) {
	rows, err := c.Store.Scan(ctx, prefix, after, limit)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rows += len(rows)
	for _, r := range rows {
		c.bytes += len(r.Key) + len(r.Value)
	}
	return rows, err //nolint:wrapcheck // Passed through.
}

func (c *counting) scanned() (int, int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rows, c.bytes
}

// targetNodes is the size of the fleet that the slopes are extended to.
const targetNodes = 380

// point is what one fleet size costs the table.
type point struct {
	nodes                      int
	reads, writes, rows, bytes float64 // per second
}

// Leases measures the load of real lease loops on the table, with 64 duties, after a warm-up.
func Leases(ctx context.Context, w io.Writer, sizes []int, measure time.Duration) error {
	_, _ = fmt.Fprint(w, "| nodes | reads/s | writes/s | rows read/s | bytes read/s for one node |\n| --- | --- | --- | --- | --- |\n")
	points := make([]point, 0, len(sizes))
	for _, n := range sizes {
		p, err := leaseLoad(ctx, n, measure)
		if err != nil {
			return err
		}
		points = append(points, p)
		_, _ = fmt.Fprintf(w, "| %d | %.2f | %.2f | %.0f | %.0f |\n", n, p.reads, p.writes, p.rows, p.bytes/float64(n))
	}
	a, b := points[0], points[len(points)-1]
	if a.nodes == b.nodes {
		return nil
	}
	at := func(f func(point) float64) float64 {
		slope := (f(b) - f(a)) / float64(b.nodes-a.nodes)
		return f(b) + slope*float64(targetNodes-b.nodes)
	}
	_, _ = fmt.Fprintf(w, "| %d, by the slope | %.0f | %.0f | - | %.0f |\n", targetNodes,
		at(func(p point) float64 { return p.reads }), at(func(p point) float64 { return p.writes }),
		at(func(p point) float64 { return p.bytes / float64(p.nodes) }))
	return nil
}

// warmUp is how long a fleet runs before the measurement: duties have been taken by then.
const warmUp = 20 * time.Second

func leaseLoad(ctx context.Context, n int, measure time.Duration) (point, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	tab := &counting{Store: store.New()}
	g := tasks.New(ctx)
	for i := range n {
		name := fmt.Sprintf("node-%03d", i)
		cfg := lease.DefaultConfig(name, "0f8fad5b-d9cb-469f-a165-"+name, nodeshare.Duties(nodeshare.DefaultShards))
		g.Go(name, lease.NewManager(hclog.NewNullLogger(), tab, nil, cfg).Run)
	}
	if err := sleep(ctx, warmUp); err != nil {
		return point{}, err
	}
	before := tab.Counts()
	rows, bytes := tab.scanned()
	if err := sleep(ctx, measure); err != nil {
		return point{}, err
	}
	after := tab.Counts()
	rows2, bytes2 := tab.scanned()
	cancel()
	if err := g.Wait(); err != nil {
		return point{}, errors.Newf("lease loops: %w", err)
	}
	s := measure.Seconds()
	return point{
		nodes: n, reads: float64(after.Reads-before.Reads) / s, writes: float64(after.Writes-before.Writes) / s,
		rows: float64(rows2-rows) / s, bytes: float64(bytes2-bytes) / s,
	}, nil
}

func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return errors.Newf("stopped: %w", ctx.Err())
	case <-t.C:
		return nil
	}
}

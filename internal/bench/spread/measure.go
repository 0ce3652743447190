package spread

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"os"
	"runtime"
	"slices"
	"syscall"
	"time"

	"geraniumhollow/internal/bench/site"
	"geraniumhollow/internal/core/tasks"
	"geraniumhollow/internal/node/peers"
	"geraniumhollow/internal/wire/frame"
	"geraniumhollow/internal/wire/peer"
	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"
)

// options are the flags of the measurements.
type options struct {
	nodes       int
	dataCentres int
	engines     int
	changes     int
	scenario    string
	duration    time.Duration
	pause       time.Duration
	refresh     bool
}

func measureCommand(name, usage string, extra []cli.Flag, o *options, run func(ctx context.Context, f *fleet, base uint64) error) *cli.Command {
	return &cli.Command{
		Name: name, Usage: usage,
		Flags: append([]cli.Flag{
			&cli.IntFlag{Name: "nodes", Value: 6, Destination: &o.nodes, Usage: "number of nodes"},
			&cli.IntFlag{Name: "data-centres", Value: 3, Destination: &o.dataCentres, Usage: "number of data centres"},
			&cli.IntFlag{Name: "engine-hosts", Value: 130, Destination: &o.engines, Usage: "engine hosts on the live list"},
		}, extra...),
		Action: func(ctx context.Context, _ *cli.Command) error {
			base := memory()
			ctx, cancel := context.WithCancel(ctx)
			defer cancel()
			g := tasks.New(ctx)
			f, err := startFleet(ctx, g, o.nodes, o.dataCentres, o.engines)
			if err == nil {
				err = run(ctx, f, base)
			}
			cancel()
			return errors.CombineErrors(err, g.Wait())
		},
	}
}

// Scenarios of the propagation.
const (
	quiet  = "quiet"
	third  = "store-down-for-a-third"
	paused = "node-paused"
)

func propagateCommand() *cli.Command {
	o := &options{}
	return measureCommand("propagate", "time until a change is in force on all nodes", []cli.Flag{
		&cli.IntFlag{Name: "changes", Value: 20, Destination: &o.changes, Usage: "number of changes"},
		&cli.StringFlag{Name: "scenario", Value: quiet, Destination: &o.scenario, Usage: quiet + ", " + third + " or " + paused},
		&cli.DurationFlag{Name: "pause", Value: time.Second, Destination: &o.pause, Usage: "length of the pause"},
		&cli.BoolFlag{Name: "refresh", Destination: &o.refresh, Usage: "let a node that reaches the table read it right after the commit"},
	}, o, func(ctx context.Context, f *fleet, _ uint64) error { return propagate(ctx, os.Stdout, f, o) })
}

// propagate commits changes at random moments and prints how long each took.
func propagate(ctx context.Context, w io.Writer, f *fleet, o *options) error {
	if o.scenario == third {
		for i, n := range f.nodes {
			n.platform.SetDown(i%3 == 0)
		}
		time.Sleep(settleTimeout / 12)
	}
	var took []time.Duration
	for range o.changes {
		time.Sleep(time.Duration(rand.Int64N(int64(time.Second)))) //nolint:gosec // Spreads the commits over the reader's interval.
		d, err := propagateOne(ctx, f, o)
		if err != nil {
			return err
		}
		took = append(took, d)
	}
	slices.Sort(took)
	_, _ = fmt.Fprintf(w, "nodes %d, %s, refresh %v, changes %d: in force on all after median %v, longest %v; false suspicions %d\n",
		o.nodes, o.scenario, o.refresh, len(took), took[len(took)/2].Round(time.Millisecond),
		took[len(took)-1].Round(time.Millisecond), suspicions(f))
	return nil
}

// propagateOne commits a change and returns the time until all nodes have it. A node that is paused
// has it when it has woken.
func propagateOne(ctx context.Context, f *fleet, o *options) (time.Duration, error) {
	if o.scenario == paused {
		release := f.nodes[rand.IntN(len(f.nodes))].peers.Hold() //nolint:gosec // Repeats cover the nodes.
		time.AfterFunc(o.pause, release)
	}
	began := time.Now()
	if err := f.commit(ctx); err != nil {
		return 0, err
	}
	if o.refresh {
		// Node 1 reaches the table in every scenario; a paused one reads when it has woken.
		f.nodes[1].peers.Refresh()
	}
	err := f.await(ctx, settleTimeout, func(n *fleetNode) bool {
		v, _ := n.inForce()
		return v >= f.version
	})
	last := began
	for _, n := range f.nodes {
		if _, at := n.inForce(); at.After(last) {
			last = at
		}
	}
	return last.Sub(began), err
}

func suspicions(f *fleet) uint64 {
	sum := uint64(0)
	for _, n := range f.nodes {
		sum += n.peers.Suspicions()
	}
	return sum
}

func pausesCommand() *cli.Command {
	o := &options{}
	return measureCommand("pauses", "false suspicions while nodes pause", []cli.Flag{
		&cli.DurationFlag{Name: "pause", Value: 500 * time.Millisecond, Destination: &o.pause, Usage: "length of a pause"},
		&cli.DurationFlag{Name: "duration", Value: 30 * time.Second, Destination: &o.duration, Usage: "length of the measurement"},
	}, o, func(ctx context.Context, f *fleet, _ uint64) error { return pauses(ctx, os.Stdout, f, o) })
}

// pauses holds one random node after the other, each as soon as the last one has woken.
func pauses(ctx context.Context, w io.Writer, f *fleet, o *options) error {
	count := 0
	for end := time.Now().Add(o.duration); time.Now().Before(end) && ctx.Err() == nil; count++ {
		release := f.nodes[rand.IntN(len(f.nodes))].peers.Hold() //nolint:gosec // Repeats cover the nodes.
		time.Sleep(o.pause)
		release()
	}
	_, _ = fmt.Fprintf(w, "nodes %d, %d pauses of %v: false suspicions %d\n", o.nodes, count, o.pause, suspicions(f))
	return nil
}

func costCommand() *cli.Command {
	o := &options{}
	return measureCommand("cost", "CPU, memory and bytes of control for each node", []cli.Flag{
		&cli.DurationFlag{Name: "duration", Value: 20 * time.Second, Destination: &o.duration, Usage: "length of the measurement"},
	}, o, func(ctx context.Context, f *fleet, base uint64) error { return cost(ctx, os.Stdout, f, o, base) })
}

// cost measures a quiet fleet. Memory is the growth of heap and stacks since before the nodes.
func cost(ctx context.Context, w io.Writer, f *fleet, o *options, base uint64) error {
	before := make([]peer.Stats, len(f.nodes))
	for i, n := range f.nodes {
		before[i] = n.peers.Net().Stats()
	}
	reads, lists := tableReads(f), listReads(f)
	listing, err := json.Marshal(f.list)
	if err != nil {
		return errors.Newf("encode live list: %w", err)
	}
	cpu := cpuTime()
	select {
	case <-ctx.Done():
		return ctx.Err() //nolint:wrapcheck // The command was cancelled.
	case <-time.After(o.duration):
	}
	cpu = cpuTime() - cpu
	seconds, size := o.duration.Seconds(), float64(len(f.nodes))
	sum, most, links := uint64(0), uint64(0), 0
	kinds := make(map[frame.Kind]peer.Count)
	for i, n := range f.nodes {
		after := n.peers.Net().Stats()
		bytes := peer.Total(after.Sent).Bytes + peer.Total(after.Received).Bytes -
			peer.Total(before[i].Sent).Bytes - peer.Total(before[i].Received).Bytes
		sum, most = sum+bytes, max(most, bytes)
		links += n.peers.Net().Links()
		for k, c := range after.Sent {
			t := kinds[k]
			kinds[k] = peer.Count{Messages: t.Messages + c.Messages, Bytes: t.Bytes + c.Bytes}
		}
	}
	_, _ = fmt.Fprintf(w, "nodes %d: CPU %.3f%% of a core, memory %.0f KB, sent and received %.0f B/s (most %.0f), "+
		"links %.1f, table reads %.2f/s for each node; goroutines %d in all\n",
		o.nodes, 100*cpu.Seconds()/seconds/size, float64(memory()-base)/size/1e3, float64(sum)/seconds/size,
		float64(most)/seconds, float64(links)/size, float64(tableReads(f)-reads)/seconds/size, runtime.NumGoroutine())
	perSecond := float64(listReads(f)-lists) / seconds / size
	_, _ = fmt.Fprintf(w, "  live list: %.2f reads/s of %d B, %.0f B/s for each node\n",
		perSecond, len(listing), perSecond*float64(len(listing)))
	for _, k := range slices.Sorted(maps.Keys(kinds)) {
		c := kinds[k]
		_, _ = fmt.Fprintf(w, "  %s: %d sent since the start, %.0f B each\n", k, c.Messages, float64(c.Bytes)/float64(c.Messages))
	}
	return nil
}

func tableReads(f *fleet) uint64 {
	sum := uint64(0)
	for _, n := range f.nodes {
		sum += n.platform.Reads()
	}
	return sum
}

func listReads(f *fleet) uint64 {
	sum := uint64(0)
	for _, n := range f.nodes {
		sum += n.platform.Lists()
	}
	return sum
}

// memory returns the bytes of live heap and of stacks.
func memory() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc + m.StackInuse
}

// cpuTime returns the CPU time of the process.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func sizesCommand() *cli.Command {
	return &cli.Command{
		Name:  "sizes",
		Usage: "bytes of each message of membership and configuration",
		Action: func(context.Context, *cli.Command) error {
			return sizes(os.Stdout)
		},
	}
}

// targetRunners is the number of runners of the target size.
const targetRunners = 600

// sizes prints the encoded length of typical messages.
func sizes(w io.Writer) error {
	d := site.Strygekurv()
	small, err := peers.Pack(document(d, d.Runners))
	if err != nil {
		return errors.Newf("pack: %w", err)
	}
	large, err := peers.Pack(document(d, targetRunners))
	if err != nil {
		return errors.Newf("pack: %w", err)
	}
	for _, m := range []struct {
		name string
		msg  any
	}{
		{"hello", &frame.Hello{Node: "node-001", Inc: "18be0c0d5ab3f2a1", Dc: "esbjerg"}},
		{"heartbeat, mesh", &frame.Heartbeat{Seq: 9_000_000, Echo: 9_000_000, HoldMs: 500, Rel: frame.HeartbeatRelMesh, Ver: 390, AgeMs: 900}},
		{"heartbeat, to parent", &frame.Heartbeat{Seq: 9_000_000, Echo: 9_000_000, HoldMs: 500, Rel: frame.HeartbeatRelParent, Ver: 390, AgeMs: 900, Heard: 8}},
		{"probe_ask", &frame.ProbeAsk{Node: "node-001"}},
		{"probe_reply", &frame.ProbeReply{Heard: true}},
		{"config_offer", &frame.ConfigOffer{Ver: 390}},
		{"config_ask", &frame.ConfigAsk{Ver: 390}},
		{"config_document, 65 runners", &frame.ConfigDocument{Ver: 390, Doc: small}},
		{"config_document, 600 runners", &frame.ConfigDocument{Ver: 390, Doc: large}},
	} {
		b, err := frame.Encode(frame.Header{Exchange: frame.Ask, ID: 100}, m.msg)
		if err != nil {
			return errors.Newf("encode: %w", err)
		}
		_, _ = fmt.Fprintf(w, "%s: %d B\n", m.name, len(b))
	}
	return nil
}

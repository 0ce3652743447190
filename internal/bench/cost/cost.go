// Package cost measures what a request, a token and an open stream cost a node in processor time and
// memory. The node runs in a process of its own, so that the stand-ins and the load do not count.
package cost

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"geraniumhollow/internal/bench/load"
	"geraniumhollow/internal/bench/site"
	"geraniumhollow/internal/conf/flags"
	"geraniumhollow/internal/core/tasks"
	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"
	"gonum.org/v1/gonum/mat"
)

// Step is one load level.
type Step struct {
	Rate   float64
	Tokens int
}

// Sample is what one step showed.
type Sample struct {
	Step
	Requests int
	Right    int
	// CPU is cores of processor time; Memory is resident bytes at the end.
	CPU    float64
	Memory int64
}

// Slopes are fitted to the samples: cores = Base + PerRequest * requests/s + PerToken * tokens/s.
type Slopes struct {
	Base       float64
	PerRequest float64
	PerToken   float64
	// Worst is the largest difference between a sample and the fit, in cores.
	Worst float64
}

// steps vary requests and tokens independently, so that the fit can tell their costs apart.
var steps = []Step{{0, 0}, {50, 8}, {100, 8}, {200, 8}, {50, 64}, {100, 64}, {50, 128}, {100, 128}}

// Command returns the subcommand that measures and prints the slopes.
func Command() *cli.Command {
	var length time.Duration
	var runners int
	return &cli.Command{
		Name:  "cost",
		Usage: "measure processor time and memory of one node against requests and tokens",
		Flags: []cli.Flag{
			&cli.DurationFlag{Name: "length", Usage: "length of each step", Value: 6 * time.Second, Destination: &length},
			&cli.IntFlag{Name: "runners", Usage: "model runners in the document", Value: 65, Destination: &runners},
		},
		Action: func(ctx context.Context, _ *cli.Command) error {
			return Run(ctx, os.Stdout, length, runners)
		},
	}
}

// Run measures every step and prints the samples and the slopes.
func Run(ctx context.Context, w io.Writer, length time.Duration, runners int) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	g := tasks.New(ctx)
	s, err := site.Start(g, site.Strygekurv().WithRunners(runners))
	if err != nil {
		return errors.Newf("start stand-ins: %w", err)
	}
	g.Go("measure", func(ctx context.Context) error {
		defer cancel()
		return measure(ctx, w, s, length)
	})
	return g.Wait()
}

func measure(ctx context.Context, w io.Writer, s *site.Site, length time.Duration) error {
	n, err := startNode(ctx, s)
	if err != nil {
		return err
	}
	defer n.stop()
	_, _ = fmt.Fprintf(w, "%8s %8s %10s %8s %10s %12s\n", "req/s", "tokens", "requests", "right", "cores", "memory_MB")
	var samples []Sample
	for _, st := range steps {
		sm, err := n.sample(ctx, s, st, length)
		if err != nil {
			return err
		}
		samples = append(samples, sm)
		_, _ = fmt.Fprintf(w, "%8.0f %8d %10d %8d %10.4f %12.1f\n", st.Rate, st.Tokens, sm.Requests, sm.Right, sm.CPU, float64(sm.Memory)/1e6)
	}
	sl, err := Fit(samples)
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintf(w, "slopes: base %.4f cores, %.1f us a request, %.2f us a token, worst fit %.4f cores\n",
		sl.Base, sl.PerRequest*1e6, sl.PerToken*1e6, sl.Worst)
	return nil
}

// Fit returns the least-squares slopes of at least three samples.
func Fit(samples []Sample) (Slopes, error) {
	a := mat.NewDense(len(samples), 3, nil)
	b := mat.NewVecDense(len(samples), nil)
	for i, s := range samples {
		a.SetRow(i, []float64{1, s.Rate, s.Rate * float64(s.Tokens)})
		b.SetVec(i, s.CPU)
	}
	var x mat.VecDense
	if err := x.SolveVec(a, b); err != nil {
		return Slopes{}, errors.Newf("fit slopes: %w", err)
	}
	sl := Slopes{Base: x.AtVec(0), PerRequest: x.AtVec(1), PerToken: x.AtVec(2)}
	for _, s := range samples {
		fit := sl.Base + sl.PerRequest*s.Rate + sl.PerToken*s.Rate*float64(s.Tokens)
		sl.Worst = max(sl.Worst, max(fit-s.CPU, s.CPU-fit))
	}
	return sl, nil
}

// node is the measured process.
type node struct {
	cmd  *exec.Cmd
	addr string
}

// startTimeout bounds the start of the node.
const startTimeout = 15 * time.Second

func startNode(ctx context.Context, s *site.Site) (*node, error) {
	cmd, cfg, err := site.StartProcess(ctx, flags.Settings{
		NodeName: "node-0", DataCentre: s.Deployment.DataCentres[0], TableAddress: s.PlatformAddress,
		ObjectAddress: s.PlatformAddress, HostsAddress: s.PlatformAddress, LogLevel: "error",
	})
	if err != nil {
		return nil, errors.Newf("start node: %w", err)
	}
	n := &node{cmd: cmd, addr: cfg.CallerAddress}
	if err := n.waitReady(ctx, s); err != nil {
		n.stop()
		return nil, err
	}
	return n, nil
}

// waitReady sends single requests until one is answered right.
func (n *node) waitReady(ctx context.Context, s *site.Site) error {
	deadline := time.Now().Add(startTimeout)
	for time.Now().Before(deadline) && ctx.Err() == nil {
		sm, err := n.sample(ctx, s, Step{Rate: 20, Tokens: 2}, 200*time.Millisecond)
		if err == nil && sm.Requests > 0 && sm.Right == sm.Requests {
			return nil
		}
	}
	return errors.Newf("node did not serve within %v", startTimeout)
}

func (n *node) stop() {
	_ = n.cmd.Process.Signal(os.Interrupt)
	_ = n.cmd.Wait()
}

func (n *node) sample(ctx context.Context, s *site.Site, st Step, length time.Duration) (Sample, error) {
	before, err := n.cpu()
	if err != nil {
		return Sample{}, err
	}
	start := time.Now()
	out := Sample{Step: st}
	if st.Rate == 0 {
		time.Sleep(length)
	} else {
		m := load.Mix{
			Deployment: s.Deployment, Seed: uint64(start.UnixNano()), Length: length, Rate: st.Rate,
			Profile: load.Steady, Tokens: st.Tokens,
		}
		res, _, err := load.Run(ctx, "cost", m, load.Target{Callers: []string{n.addr}}, nil)
		if err != nil {
			return Sample{}, errors.Newf("run step: %w", err)
		}
		out.Requests, out.Right = res.Requests, res.Verdicts[load.Right]
	}
	after, err := n.cpu()
	if err != nil {
		return Sample{}, err
	}
	out.CPU = (after - before).Seconds() / time.Since(start).Seconds()
	out.Memory, err = n.memory()
	return out, err
}

// clockTick is the unit of processor time in /proc; it is 100 Hz on every Linux that Go runs on.
const clockTick = 10 * time.Millisecond

// cpu returns the processor time that the node has used.
func (n *node) cpu() (time.Duration, error) {
	raw, err := os.ReadFile(n.proc("stat"))
	if err != nil {
		return 0, errors.Newf("read processor time: %w", err)
	}
	// The name of the program stands in brackets and may hold spaces; user and system time are the
	// 12th and 13th fields after it.
	_, rest, _ := strings.Cut(string(raw), ") ")
	fields := strings.Fields(rest)
	const user, system = 11, 12
	if len(fields) <= system {
		return 0, errors.New("read processor time: too few fields")
	}
	ticks := 0
	for _, f := range []string{fields[user], fields[system]} {
		v, err := strconv.Atoi(f)
		if err != nil {
			return 0, errors.Newf("read processor time: %w", err)
		}
		ticks += v
	}
	return time.Duration(ticks) * clockTick, nil
}

// memory returns the resident memory of the node in bytes.
func (n *node) memory() (int64, error) {
	raw, err := os.ReadFile(n.proc("statm"))
	if err != nil {
		return 0, errors.Newf("read memory: %w", err)
	}
	fields := strings.Fields(string(raw))
	if len(fields) < 2 {
		return 0, errors.New("read memory: too few fields")
	}
	pages, err := strconv.ParseInt(fields[1], 10, 64)
	if err != nil {
		return 0, errors.Newf("read memory: %w", err)
	}
	return pages * int64(os.Getpagesize()), nil
}

func (n *node) proc(file string) string {
	return filepath.Join("/proc", strconv.Itoa(n.cmd.Process.Pid), file)
}

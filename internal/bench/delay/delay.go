// Package delay measures the time that a node adds to the first token and between tokens, against a
// direct call to the same stand-in engines.
package delay

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"sync"
	"time"

	"geraniumhollow/internal/bench/site"
	"geraniumhollow/internal/conf/flags"
	"geraniumhollow/internal/core/tasks"
	"geraniumhollow/internal/node/serve"
	"geraniumhollow/internal/plat/conns"
	"geraniumhollow/internal/plat/engine"
	"geraniumhollow/internal/wire/event"
	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
	"github.com/urfave/cli/v3"
	"github.com/valyala/fasthttp"
)

// Bounds of a run.
const (
	maxRate     = 2_000
	maxSeconds  = 60
	maxInFlight = 1_024
	readyWait   = 20 * time.Second
	readyPause  = 50 * time.Millisecond
)

// options shape a run.
type options struct {
	runners, rate, seconds, rounds, tokens int
}

// Command returns the delay subcommand.
func Command() *cli.Command {
	o := options{}
	return &cli.Command{
		Name:  "delay",
		Usage: "measure the time that a node adds to each token, on loopback",
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "runners", Usage: "backend servers in the document", Value: 65, Destination: &o.runners},
			&cli.IntFlag{Name: "rate", Usage: "requests per second", Value: 200, Destination: &o.rate},
			&cli.IntFlag{Name: "seconds", Usage: "length of each part of a round", Value: 1, Destination: &o.seconds},
			&cli.IntFlag{Name: "rounds", Usage: "rounds of a part through the node between two direct ones", Value: 15, Destination: &o.rounds},
			&cli.IntFlag{Name: "tokens", Usage: "tokens of each answer", Value: 32, Destination: &o.tokens},
		},
		Action: func(ctx context.Context, _ *cli.Command) error {
			if o.rate < 1 || o.rate > maxRate || o.seconds < 1 || o.seconds > maxSeconds {
				return errors.Newf("rate must be within 1 and %d, seconds within 1 and %d", maxRate, maxSeconds)
			}
			ctx, cancel := context.WithCancel(ctx)
			defer cancel()
			g := tasks.New(ctx)
			g.Go("measure", func(ctx context.Context) error {
				defer cancel()
				return measure(ctx, g, o, os.Stdout)
			})
			return g.Wait()
		},
	}
}

// measure starts the stand-ins and a node and compares both ways to an engine.
func measure(ctx context.Context, g *tasks.Group, o options, w io.Writer) error {
	s, err := site.Start(g, site.Strygekurv().WithRunners(o.runners))
	if err != nil {
		return errors.Newf("start stand-ins: %w", err)
	}
	node, err := startNode(ctx, g, s)
	if err != nil {
		return err
	}
	through := newNodeWay(s, node)
	direct := newDirectWay(s)
	if err := waitReady(ctx, through); err != nil {
		return err
	}
	ways := []way{direct, through, direct}
	for _, to := range ways[:2] {
		if err := warm(ctx, to, o.runners); err != nil {
			return err
		}
	}
	// Short parts in turn meet the same load of the machine. The second direct part shows the noise.
	got := make([]samples, len(ways))
	for range o.rounds {
		for i, to := range ways {
			if err := drive(ctx, o, to, &got[i]); err != nil {
				return err
			}
		}
	}
	_, _ = fmt.Fprintf(w, "%d backend servers, %d requests/s, %d requests each way, %d failed direct, %d failed through the node\n\n",
		o.runners, o.rate, o.rate*o.seconds*o.rounds, got[0].failed+got[2].failed, got[1].failed)
	printTable(w, got[0], got[1], got[2])
	return nil
}

// warm sends a request to each engine, so that connections exist as they do under steady load.
func warm(ctx context.Context, to way, engines int) error {
	if err := awaitFirst(ctx, to); err != nil {
		return err
	}
	for n := range engines {
		if _, err := once(ctx, to, n, 1); err != nil {
			return errors.Newf("warm up: %w", err)
		}
	}
	return nil
}

// startTimeout bounds the wait for the first answer: a node serves once it holds the shards of the
// engines and knows their load.
const startTimeout = 20 * time.Second

func awaitFirst(ctx context.Context, to way) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for {
		_, err := once(ctx, to, 0, 1)
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Newf("wait for the first answer: %w", err)
		case <-time.After(100 * time.Millisecond):
		}
	}
}

func startNode(ctx context.Context, g *tasks.Group, s *site.Site) (flags.Settings, error) {
	cfg := flags.Settings{
		NodeName: "node-0", DataCentre: s.Deployment.RunnerDataCentre(0), CallerAddress: "127.0.0.1:0",
		OperatorAddress: "127.0.0.1:0", PeerAddress: "127.0.0.1:0", TableAddress: s.PlatformAddress,
		ObjectAddress: s.PlatformAddress, HostsAddress: s.PlatformAddress, LogLevel: "warn",
		DrainNotice: time.Second, DrainTimeout: time.Second,
	}
	lns, cfg, err := serve.Listen(ctx, cfg)
	if err != nil {
		return cfg, errors.Newf("open sockets: %w", err)
	}
	n, err := serve.New(cfg, lns, hclog.New(&hclog.LoggerOptions{Level: hclog.Error, Output: os.Stderr}), serve.Parts{})
	if err != nil {
		return cfg, errors.Newf("build node: %w", err)
	}
	g.Go(cfg.NodeName, n.Run)
	return cfg, nil
}

// way is a way to an engine.
type way interface {
	// request fills a request for a streamed completion and returns the pool that takes it.
	request(req *fasthttp.Request, n, tokens int) (*conns.Pool, error)
}

// directWay calls the engines in turn.
type directWay struct {
	model string
	pools []*conns.Pool
}

func newDirectWay(s *site.Site) directWay {
	d := directWay{model: s.Deployment.Model}
	for _, h := range s.Document.Hosts {
		if h.Address != "" {
			d.pools = append(d.pools, conns.New(h.Address, conns.Options{}))
		}
	}
	return d
}

func (d directWay) request(req *fasthttp.Request, n, tokens int) (*conns.Pool, error) {
	body, err := json.Marshal(engine.Body{Model: d.model, Prompt: prompt(n), MaxTokens: tokens})
	if err != nil {
		return nil, errors.Newf("encode request: %w", err)
	}
	req.Header.Set(engine.HeaderRequestID, fmt.Sprintf("direct-%d", n))
	req.Header.Set(engine.HeaderAttempt, "1")
	req.SetBody(body)
	return d.pools[n%len(d.pools)], nil
}

// nodeWay calls a node.
type nodeWay struct {
	model, key string
	pool       *conns.Pool
}

func newNodeWay(s *site.Site, node flags.Settings) nodeWay {
	return nodeWay{
		model: s.Deployment.Model, key: s.Deployment.AccountKey(0),
		pool: conns.New(node.CallerAddress, conns.Options{MaxIdle: maxInFlight}),
	}
}

type nodeBody struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
}

func (w nodeWay) request(req *fasthttp.Request, n, tokens int) (*conns.Pool, error) {
	body, err := json.Marshal(nodeBody{Model: w.model, Prompt: prompt(n), MaxTokens: tokens, Stream: true})
	if err != nil {
		return nil, errors.Newf("encode request: %w", err)
	}
	req.Header.Set("Authorization", "Bearer "+w.key)
	req.SetBody(body)
	return w.pool, nil
}

func prompt(n int) string { return fmt.Sprintf("prompt number %d of a load", n) }

func waitReady(ctx context.Context, to way) error {
	ctx, cancel := context.WithTimeout(ctx, readyWait)
	defer cancel()
	for {
		_, err := once(ctx, to, 0, 1)
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Newf("node is not ready: %w", err)
		case <-time.After(readyPause):
		}
	}
}

// drive sends requests at random times with the rate's mean distance and adds what it saw to out.
func drive(ctx context.Context, o options, to way, out *samples) error {
	var mu sync.Mutex
	g := tasks.New(ctx)
	slots := make(chan struct{}, maxInFlight)
	mean := float64(time.Second) / float64(o.rate)
	next := time.Now()
	for n := range o.rate * o.seconds {
		next = next.Add(time.Duration(rand.ExpFloat64() * mean))
		select {
		case <-ctx.Done():
			return errors.Newf("drive load: %w", ctx.Err())
		case <-time.After(time.Until(next)):
		}
		slots <- struct{}{}
		g.Go("request", func(ctx context.Context) error {
			defer func() { <-slots }()
			got, err := once(ctx, to, n, o.tokens)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				out.failed++
				return nil
			}
			out.add(got)
			return nil
		})
	}
	return g.Wait()
}

// once runs one streamed completion and returns the time to each of its tokens.
func once(ctx context.Context, to way, n, tokens int) ([]time.Duration, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI(engine.PathCompletions)
	req.Header.SetHost("127.0.0.1")
	pool, err := to.request(req, n, tokens)
	if err != nil {
		return nil, err
	}
	start := time.Now()
	resp, err := pool.Do(ctx, req, time.Time{})
	if err != nil {
		return nil, errors.Newf("send: %w", err)
	}
	defer resp.Close()
	if code := resp.Header.StatusCode(); code != fasthttp.StatusOK {
		_, _ = io.Copy(io.Discard, resp)
		return nil, errors.Newf("status %d", code)
	}
	events := event.NewReader(resp)
	times := make([]time.Duration, 0, tokens)
	for {
		_, err := events.Next()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return nil, errors.Newf("read event: %w", err)
		}
		times = append(times, time.Since(start))
	}
	if len(times) < tokens {
		return nil, errors.Newf("%d events for %d tokens", len(times), tokens)
	}
	return times[:tokens], nil
}

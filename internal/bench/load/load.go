// Package load drives a running system with a seeded, open-loop mix of requests and a schedule of
// faults, checks every answer in full, and prints what it saw. It talks to real nodes over sockets.
package load

import (
	"context"
	"strconv"
	"time"

	"geraniumhollow/internal/core/tasks"
	"geraniumhollow/internal/fake/model"
	"github.com/cockroachdb/errors"
)

// Fault is something that happens to the system during a load.
type Fault struct {
	Name string
	At   time.Duration
	Do   func(ctx context.Context) error
}

// Ground is what the stand-ins know of the requests that reached them; it shows work that ran twice
// and refusals that were not true.
type Ground interface {
	// Runs returns how often a named call of the plain service ran.
	Runs(call string) int
	// Prompts returns how often a prompt was started on an engine.
	Prompts(hash uint64) int
}

// requestTimeout bounds one request as its caller sees it.
const requestTimeout = 60 * time.Second

// Target is the system that a load is sent to.
type Target struct {
	// Callers are where callers reach the nodes.
	Callers []string
	// Ready tells, as the check of the platform's load balancer does, whether a node may be sent new
	// requests; nil for always.
	Ready func(ctx context.Context, node int) bool
	// Ground may be nil, when the stand-ins are out of reach.
	Ground Ground
}

// readyInterval is the time between the balancer's checks of a node.
const readyInterval = time.Second

// Run runs the load against a target.
func Run(ctx context.Context, name string, m Mix, target Target, faults []Fault) (*Result, []string, error) {
	m.Nodes = len(target.Callers)
	requests := m.Requests()
	rec := newRecorder()
	c := newClient(m, target.Callers, rec)
	balancing, stopBalancer := context.WithCancel(ctx)
	defer stopBalancer()
	if target.Ready != nil {
		tasks.New(balancing).Go("balancer", func(ctx context.Context) error {
			c.balance(ctx, target.Ready)
			return nil
		})
	}
	g := tasks.New(ctx)
	start := time.Now()
	for _, f := range faults {
		g.Go("fault "+f.Name, func(ctx context.Context) error {
			if !tasks.Sleep(ctx, time.Until(start.Add(f.At))) {
				return nil
			}
			return f.Do(ctx)
		})
	}
	g.Go("arrivals", func(ctx context.Context) error {
		for _, r := range requests {
			due := start.Add(r.At)
			if !tasks.Sleep(ctx, time.Until(due)) {
				return nil
			}
			g.Go("request "+strconv.Itoa(r.Index), func(ctx context.Context) error {
				ctx, cancel := context.WithTimeout(ctx, requestTimeout)
				defer cancel()
				c.do(ctx, r, due)
				return nil
			})
		}
		return nil
	})
	if err := g.Wait(); err != nil {
		return nil, nil, errors.Newf("run load: %w", err)
	}
	res := rec.result(name, m, len(requests))
	if target.Ground != nil {
		rec.inspect(res, requests, target.Ground)
	}
	return res, rec.failures, nil
}

// inspect compares what callers were told with what ran.
func (r *recorder) inspect(res *Result, requests []Request, ground Ground) {
	for _, q := range requests {
		if q.Kind == Booking && ground.Runs(q.callName()) > 1 {
			res.Duplicates++
		}
	}
	for _, q := range r.notRun {
		ran := ground.Prompts(model.PromptHash(q.Prompt)) > 0
		if q.Kind == Booking || q.Kind == Read {
			ran = ground.Runs(q.callName()) > 0
		}
		if ran {
			res.FalseNotRun++
		}
	}
}

package scaler_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"geraniumhollow/internal/fleet/index"
	"geraniumhollow/internal/fleet/server"
	"geraniumhollow/internal/fleet/usage"
	"geraniumhollow/internal/node/duties"
	"geraniumhollow/internal/node/scaler"
	"geraniumhollow/internal/plan/group"
	"geraniumhollow/internal/plat/cloud"
	"geraniumhollow/internal/report/metric"
	"geraniumhollow/internal/route/batch"
	"geraniumhollow/internal/route/match"
	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
)

// holder runs a Scaler with a simulated clock. Its service has 40 servers in two data centres, and needs 12 at most.
type holder struct {
	s       *scaler.Scaler
	now     time.Time
	service *match.Service
	targets *group.Targets
	index   *index.Index
	calls   []string
	at      []time.Duration
	mayCall bool
	// slow is set while a call is not answered. factor multiplies demand.
	slow   bool
	factor uint64
	// result returns the result of a call.
	result func(o duties.ScaleOrder) error
}

func newHolder() *holder {
	h := &holder{
		now: time.Unix(1000, 0), factor: 1, index: index.New(), mayCall: true, result: func(duties.ScaleOrder) error { return nil },
		service: &match.Service{
			Name: "llm", Scaling: &match.Scaling{Min: 6, Max: 30, Boot: 8 * time.Second},
			Engine: &batch.Engine{
				Models: []batch.Model{{Name: "m", Hosts: 2, TimeFactor: 1, WorkFraction: 1}}, MaxRequests: 16, StepsPerPass: 1,
				StepBase: 10 * time.Millisecond, PrefillRate: 50_000, MeanAnswerTokens: 100,
			},
		},
	}
	h.s = scaler.New(scaler.Config{
		Service: func() *match.Service { return h.service }, View: h.index.View,
		Objectives: func(string) map[string]time.Duration { return nil },
		SetTargets: func(t *group.Targets) { h.targets = t }, Metrics: metric.New(), Log: hclog.NewNullLogger(),
	})
	c := index.Change{Full: true}
	for i := range 40 {
		dc := fmt.Sprintf("dc%d", i%2)
		c.Put = append(c.Put, server.Info{ID: fmt.Sprint(i), Service: "llm", DataCentre: dc, Domain: dc + "-d0", Model: "m", Member: server.Member{
			Group: fmt.Sprintf("g%d-%d", i%2, i/4), Epoch: 1, Rank: i / 2 % 2, State: server.Open,
		}})
	}
	h.index.Apply(h.now, c)
	h.s.Start(h.now, 1)
	return h
}

// run has two nodes report demand and calls the Scaler several times a second.
func (h *holder) run(d time.Duration) {
	begin := h.now
	for ; h.now.Sub(begin) < d; h.now = h.now.Add(200 * time.Millisecond) {
		for dc := range 2 {
			h.s.Observe(h.now, usage.Process{Node: fmt.Sprint(dc)}, []usage.Demand{{
				Service: "llm", Model: "m", DataCentre: fmt.Sprintf("dc%d", dc), Arrivals: 3 * h.factor, PromptTokens: 300 * h.factor, AnswerTokens: 300 * h.factor,
			}})
		}
		if h.slow {
			continue
		}
		for _, o := range h.s.Next(h.now, h.mayCall) {
			if !h.mayCall {
				continue
			}
			h.calls = append(h.calls, fmt.Sprintf("%s %s %d", o.Service, o.DataCentre, o.Desired))
			h.at = append(h.at, h.now.Sub(begin))
			h.s.Done(h.now, o, h.result(o))
		}
	}
}

// Guards against orders that are not sent, are sent too often, or only once although the platform may have forgotten them.
func TestSendsAndRepeatsOrders(t *testing.T) {
	t.Parallel()
	h := newHolder()
	h.run(20 * time.Second)
	if len(h.calls) < 2 || len(h.calls) > 4 || h.at[0] < 15*time.Second {
		t.Fatalf("calls in 20 s: %v at %v", h.calls, h.at)
	}
	if h.targets == nil || h.targets.Groups["m"] == 0 {
		t.Errorf("targets %+v", h.targets)
	}
	n := len(h.calls)
	h.run(20 * time.Second)
	if repeated := len(h.calls) - n; repeated < 3 || repeated > 6 {
		t.Errorf("calls in 20 s: %v", h.calls[n:])
	}
}

// Guards against calling in vain while the platform refuses, and against giving up.
func TestRetries(t *testing.T) {
	t.Parallel()
	for name, err := range map[string]error{"rate": cloud.ErrRateLimited, "down": cloud.ErrUnavailable, "silent": cloud.ErrUnknown} {
		h := newHolder()
		h.result = func(duties.ScaleOrder) error { return errors.Wrap(err, "call") }
		h.run(20 * time.Second)
		if n := len(h.calls); n < 4 || n > 14 {
			t.Errorf("%s: %d calls in 20 s", name, n)
		}
		h.result, h.calls = func(duties.ScaleOrder) error { return nil }, nil
		h.run(4 * time.Second)
		if n := len(h.calls); n < 2 || n > 4 {
			t.Errorf("%s: %d calls once the platform answers: %v", name, n, h.calls)
		}
	}
}

// Guards against demand that is forgotten, or an order that is out of date, because the API takes long to answer.
func TestSlowAPI(t *testing.T) {
	t.Parallel()
	h := newHolder()
	h.run(20 * time.Second)
	before := h.calls[len(h.calls)-1]
	h.slow, h.factor = true, 12
	h.run(12 * time.Second)
	h.slow, h.calls = false, nil
	h.run(300 * time.Millisecond)
	if len(h.calls) == 0 || h.calls[0] == before || !strings.HasSuffix(h.calls[0], " 30") {
		t.Errorf("the first call after a slow one is %v, before %s", h.calls, before)
	}
}

// Guards against orders before the API may be called, while the groups should follow demand already, and after the tenure.
func TestTenure(t *testing.T) {
	t.Parallel()
	h := newHolder()
	h.mayCall = false
	h.run(4 * time.Second)
	if h.targets == nil || len(h.calls) > 0 {
		t.Errorf("targets %+v and calls %v before calls are allowed", h.targets, h.calls)
	}
	h.s.Stop()
	h.mayCall = true
	h.run(12 * time.Second)
	if h.targets != nil || len(h.calls) > 0 {
		t.Errorf("targets %+v and calls %v after the tenure", h.targets, h.calls)
	}
	h.s.Start(h.now, 2)
	h.run(time.Second)
	if h.targets == nil || h.targets.Groups != nil {
		t.Errorf("a new tenure does not keep the numbers of groups until it knows the demand: %+v", h.targets)
	}
	h.run(2 * time.Second)
	if h.targets.Groups == nil {
		t.Error("a new tenure does not know the demand after 3 s")
	}
}

// Guards against orders for a service that does not ask for scaling, also after it has.
func TestServiceWithoutScaling(t *testing.T) {
	t.Parallel()
	h := newHolder()
	scaling := h.service.Scaling
	fixed := *h.service
	fixed.Scaling = nil
	h.run(5 * time.Second)
	h.service = &fixed
	h.calls = nil
	h.run(15 * time.Second)
	if h.targets != nil || len(h.calls) > 0 {
		t.Errorf("targets %+v and calls %v", h.targets, h.calls)
	}
	fixed.Scaling = scaling
	h.run(5 * time.Second)
	if h.targets == nil {
		t.Error("no targets once the service asks for scaling again")
	}
}

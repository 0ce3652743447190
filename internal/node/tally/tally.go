// Package tally counts the demand of the callers of this node for the models of services whose number of servers follows demand.
package tally

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"geraniumhollow/internal/fleet/usage"
	"geraniumhollow/internal/node/pass"
)

// Config holds the settings of a Tally.
type Config struct {
	// DataCentre is that of this node.
	DataCentre string
	// Enabled reports whether demand is reported. If not, nothing is counted.
	Enabled func() bool
}

// Tally counts demand. It implements pass.DemandObserver and is safe for concurrent use.
type Tally struct {
	cfg Config

	mu     sync.Mutex
	models map[key]*counts
}

var _ pass.DemandObserver = (*Tally)(nil)

// key identifies a model that the configuration has, so that callers cannot add any.
type key struct{ service, model string }

// counts is what is counted for a model.
type counts struct {
	usage.Demand
	// objective is the shortest objective for the first byte of an answer.
	objective time.Duration
	// returning is the number of refused calls that are expected to come again.
	returning float64
}

// returningLeft is the share of the refused calls that are still expected to come again after a report of demand, a second later.
// Callers come back within a few seconds or not at all.
const returningLeft = 0.7

// New returns a Tally that has counted nothing.
func New(cfg Config) *Tally { return &Tally{cfg: cfg, models: make(map[key]*counts)} }

// model returns the counts of the model of a call, or nil if they are not counted. The lock must be held.
func (t *Tally) model(c *pass.Call) *counts {
	if c.Service.Scaling == nil || c.Service.Engine == nil {
		return nil
	}
	if _, ok := c.Service.Engine.Model(c.Model); !ok {
		return nil
	}
	k := key{c.Service.Name, c.Model}
	n := t.models[k]
	if n == nil {
		n = &counts{Demand: usage.Demand{Service: k.service, Model: k.model, DataCentre: t.cfg.DataCentre}}
		t.models[k] = n
	}
	return n
}

// Arrived implements pass.DemandObserver. A call that seems to be one that was refused before is not counted again: otherwise demand
// would grow with refusals.
func (t *Tally) Arrived(c *pass.Call) {
	if !t.cfg.Enabled() {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	n := t.model(c)
	if n == nil {
		return
	}
	if objective := c.Route.Objective; objective > 0 && (n.objective == 0 || objective < n.objective) {
		n.objective = objective
	}
	if n.returning >= 1 && c.IsCallerRetry() {
		n.returning--
		return
	}
	n.Arrivals++
	n.PromptTokens += uint64(max(0, c.PromptTokens))
}

// Answered implements pass.DemandObserver. Late answers are counted at once, as it takes seconds until they end.
func (t *Tally) Answered(c *pass.Call, firstByte time.Duration) {
	if !t.cfg.Enabled() || c.Route.Objective <= 0 || firstByte <= c.Route.Objective {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if n := t.model(c); n != nil {
		n.Late++
	}
}

// Ended implements pass.DemandObserver.
func (t *Tally) Ended(c *pass.Call, r pass.CallResult) {
	if !t.cfg.Enabled() {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	n := t.model(c)
	if n == nil {
		return
	}
	n.AnswerTokens += uint64(r.Events * max(1, c.Service.Engine.StepsPerPass))
	switch {
	case r.Refused:
		n.Refused++
		n.returning++
	case r.FirstByte == 0 && c.Route.Objective > 0 && r.Duration > c.Route.Objective:
		n.Late++
	}
}

// Take returns what was counted since the last call.
func (t *Tally) Take() []usage.Demand {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []usage.Demand
	for _, k := range slices.SortedFunc(maps.Keys(t.models), compareKeys) {
		n := t.models[k]
		d := n.Demand
		if d.Arrivals+d.PromptTokens+d.AnswerTokens+d.Refused+d.Late > 0 {
			out = append(out, d)
		}
		n.Demand = usage.Demand{Service: k.service, Model: k.model, DataCentre: t.cfg.DataCentre}
		n.returning *= returningLeft
	}
	return out
}

func compareKeys(a, b key) int {
	return cmp.Or(cmp.Compare(a.service, b.service), cmp.Compare(a.model, b.model))
}

// Objectives returns the shortest objectives of the calls of this node for the models of a service.
func (t *Tally) Objectives(service string) map[string]time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make(map[string]time.Duration)
	for k, n := range t.models {
		if k.service == service && n.objective > 0 {
			out[k.model] = n.objective
		}
	}
	return out
}

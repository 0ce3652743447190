// Package share measures shared budgets: random interleavings of the lease and budget deciders under
// faults, the cost of grants, the sizes of messages and the load on the table.
package share

import (
	"math/rand/v2"
	"time"

	"geraniumhollow/internal/route/budget"
)

// FaultKind is one kind of fault of an interleaving.
type FaultKind int

// Kinds of faults. Each lasts for its duration.
const (
	TableDown  FaultKind = iota // every call of the table fails
	TableLossy                  // answers of the table are lost, and some writes land up to 20 s late
	CutTable                    // one node does not reach the table
	CutLink                     // messages from one node to another are lost, in one direction
	CutNode                     // messages to and from one node are lost
	CutSend                     // one node's packets to the engine are lost or delayed
	CutAnswer                   // the engine's packets to one node are lost
	Pause                       // one node stands still while its clock runs on
	Kill                        // one node dies and starts again afterwards
	Chaos                       // messages are lost, doubled and delayed by up to 3 s
	Restart                     // the engine restarts in cold start
	Fallback                    // the engine goes back to cold start within one instance
	Lower                       // the limits are lowered to half for good
	kinds
)

// Fault is one fault of an interleaving.
type Fault struct {
	Kind FaultKind
	At   time.Duration
	For  time.Duration
	Node int
	Peer int
}

// Plan describes one interleaving. The same plan gives the same run.
type Plan struct {
	Seed   uint64
	Nodes  int
	Limits budget.Limits
	// Warm is the state of the engine at the start. StayCold engines never warm up.
	Warm     bool
	StayCold bool
	// Slow is how many of 1000 sends are held up for up to 15 s after the last check.
	Slow   int
	Faults []Fault
}

// Bounds of the faults of a random plan.
const (
	faultPhase = 150 * time.Second
	maxFaults  = 14
	maxFault   = 60 * time.Second
	maxNodes   = 6
	maxCold    = 4
	maxFactor  = 4
	reqTokens  = 100
)

// RandomPlan returns the plan of a seed.
func RandomPlan(seed uint64) Plan {
	r := rand.New(rand.NewPCG(seed, 1)) //nolint:gosec // A seed must give the same plan again.
	cold := 1 + r.IntN(maxCold)
	p := Plan{
		Seed: seed, Nodes: 2 + r.IntN(maxNodes-1), Warm: r.IntN(2) == 0,
		Limits: MakeLimits(cold, cold*(1+r.IntN(maxFactor))),
	}
	p.StayCold = !p.Warm && r.IntN(2) == 0
	p.Slow = []int{0, 10, 100}[r.IntN(3)]
	for range r.IntN(maxFaults + 1) {
		p.Faults = append(p.Faults, Fault{
			Kind: FaultKind(r.IntN(int(kinds))), At: time.Duration(r.Int64N(int64(faultPhase))),
			For: time.Duration(r.Int64N(int64(maxFault))), Node: r.IntN(p.Nodes), Peer: r.IntN(p.Nodes),
		})
	}
	return p
}

// MakeLimits returns limits with room for one request of the greatest size per request.
func MakeLimits(cold, warm int) budget.Limits {
	return budget.Limits{
		Cold: budget.Load{Requests: cold, Tokens: cold * reqTokens},
		Warm: budget.Load{Requests: warm, Tokens: warm * reqTokens},
	}
}

// Result is what one interleaving showed.
type Result struct {
	// Broken describes the first break of a bound; empty when there was none.
	Broken string
	// MaxCold and MaxWarm are the most requests held that the limit of a cold or warm instance
	// covers, with that limit; see engine.check.
	MaxCold, MaxWarm Held
	// OverCold and OverWarm are the most requests held beyond the limit in force, by the remaining
	// gaps of the design and by grants from before a limit was lowered.
	OverCold, OverWarm int
	Grants, Arrivals   int
	// Dark is how long after the last fault the first grant was given; Dark < 0 means never.
	Dark time.Duration
}

// Held is a number of requests held and the limit then.
type Held struct {
	Requests, Limit int
}

// more returns the one that is closer to or further past its limit.
func (h Held) more(o Held) Held {
	if h.Limit == 0 || o.Requests*h.Limit > h.Requests*o.Limit ||
		(o.Requests*h.Limit == h.Requests*o.Limit && o.Requests > h.Requests) {
		return o
	}
	return h
}

package choose

import (
	"math"
	"time"
)

// learned is a time in seconds, and the samples that it was learned from.
type learned struct {
	value   float64
	samples int
}

// lateReach bounds the part of a sample that counts, in seconds. What is learned then follows the middle of the
// samples; the few that had to wait for a server which stood are seconds late and would make the rest be refused.
const lateReach = 0.1

// refusedPart is what is left of a learned time after a request was refused. No answer tells that the servers are free
// again when all requests are refused, so that refusals have to end by themselves; if they are right, the answers to the
// requests that are let in teach the time anew.
const refusedPart = 0.95

// Learning rates: a step towards each observed first token, and a return to 1 with each report.
const (
	slowStep   = 0.08
	slowReturn = 0.98
	holdStep   = 0.02
	queuedStep = 0.02
)

// Bounds of the learned factor.
const (
	slowMin = 0.25
	slowMax = 16
)

// learnFirst takes by how much a first token was later than estimated. The first samples count most.
func (t *Table) learnFirst(model string, late float64) {
	if t.cfg.FirstStep == 0 {
		return
	}
	l := t.firsts[model]
	l.samples++
	step := max(t.cfg.FirstStep, 1/float64(l.samples))
	l.value = max(0, l.value+step*min(max(late, -lateReach), lateReach))
	t.firsts[model] = l
}

// Refused notes that a request for a model was refused because of the estimate.
func (t *Table) Refused(model string) {
	l := t.firsts[model]
	l.value *= refusedPart
	t.firsts[model] = l
}

// Settle moves what was learned of servers that told nothing for a while towards the usual, so that they are tried
// again. It is to be called every SettleInterval.
func (t *Table) Settle(now time.Time) {
	at := t.clock(now)
	for _, id := range t.ids {
		if l := &t.loads[id]; l.slow != 1 && at-l.madeAt >= int64(SettleInterval) {
			l.slow = math.Sqrt(l.slow)
			t.refresh(id)
		}
	}
}

// SettleInterval is the time between calls of Settle.
const SettleInterval = time.Second

// minEstimate keeps the noise of very short answers out of the learned factor, in seconds.
const minEstimate = 0.005

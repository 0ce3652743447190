package choose

import (
	"math"
	"time"
)

// learned is a time in seconds, of which the last sample was taken at a clock of the table.
type learned struct {
	value float64
	at    int64
}

// Fading of what was learned: while a model's servers answer nothing, as requests are refused because of it, it halves
// with each fadeHalf after fadeAfter.
const (
	fadeAfter = 500 * time.Millisecond
	fadeHalf  = 500 * time.Millisecond
)

// lateReach bounds the part of a sample that counts, in seconds. What is learned then follows the middle of the
// samples; the few that had to wait for a server which stood are seconds late and would make the rest be refused.
const lateReach = 0.1

// now returns the value at a clock.
func (l learned) now(at int64) float64 {
	idle := time.Duration(at-l.at) - fadeAfter
	if idle <= 0 || l.value == 0 {
		return l.value
	}
	return l.value * math.Exp2(-idle.Seconds()/fadeHalf.Seconds())
}

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

// learnFirst takes by how much a first token was later than estimated.
func (t *Table) learnFirst(model string, at int64, late float64) {
	if t.cfg.FirstStep == 0 {
		return
	}
	step := t.cfg.FirstStep * min(max(late, -lateReach), lateReach)
	t.firsts[model] = learned{value: max(0, t.firsts[model].now(at)+step), at: at}
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

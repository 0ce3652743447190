package reach

import "time"

// Wait measures how long a check has waited for answers. Time during which this process did not run does not count: answers
// may have arrived without being read.
type Wait struct {
	total  time.Duration
	waited time.Duration
	// onTime is the time waited since this process last ran late.
	onTime time.Duration
}

// Intervals of a Wait.
const (
	// Step is the interval at which time is added to a Wait.
	Step = 25 * time.Millisecond
	// lateStep is the duration from which a step shows that this process did not run.
	lateStep = 2 * Step
	// settleTime is how long this process must have run on time before a wait is over.
	settleTime = 2 * Step
	// maxTotal bounds a wait of a process that hardly runs, to which each step adds at most maxStep: one long pause does not
	// end a wait.
	maxTotal = time.Second
	maxStep  = 4 * Step
)

// Add adds a step that has taken some time.
func (w *Wait) Add(step time.Duration) {
	w.total += min(step, maxStep)
	if step >= lateStep {
		w.onTime = 0
		return
	}
	w.waited += step
	w.onTime += step
}

// Over reports whether this process has waited for a time while it ran.
func (w *Wait) Over(limit time.Duration) bool { return w.waited >= limit && w.onTime >= settleTime }

// GivenUp reports whether the wait has taken so long that it must end, although this process may not have seen all answers.
func (w *Wait) GivenUp() bool { return w.total >= maxTotal }

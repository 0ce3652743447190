package choose

import (
	"math"
	"math/rand/v2"
	"time"
)

// Chooser selects the backend server for a request.
type Chooser interface {
	// Choose returns the index of the selected server, or false when no server is eligible.
	Choose(t *Table, now time.Time, r Request) (int, bool)
}

// Window is the margin above the lowest estimate within which servers count as equally good: a
// fraction of the lowest estimate plus a fixed time.
type Window struct {
	Fraction float64
	Fixed    time.Duration
}

// DefaultWindow returns the window that nodes use; docs/measurements/choosing.md compares it with others.
func DefaultWindow() Window { return Window{Fraction: 0.1, Fixed: 5 * time.Millisecond} }

// LowestEstimate selects the server with the shortest expected time to first token. Among the servers
// within the window it draws two at random and selects the better one, so that nodes with the same
// load reports do not all choose the same server.
type LowestEstimate struct {
	rnd        *rand.Rand
	window     Window
	costs      []float64
	candidates []int32
}

// NewLowestEstimate returns a chooser that draws from rnd.
func NewLowestEstimate(rnd *rand.Rand, window Window) *LowestEstimate {
	return &LowestEstimate{rnd: rnd, window: window}
}

// Choose implements Chooser.
func (c *LowestEstimate) Choose(t *Table, now time.Time, r Request) (int, bool) {
	ids := t.compatible(r)
	t.mark(r)
	defer t.unmark(r)
	best := c.estimate(t, ids, t.clock(now), r)
	if math.IsInf(best, 1) {
		return 0, false
	}
	maxCost := best*(1+c.window.Fraction) + c.window.Fixed.Seconds()
	c.candidates = c.candidates[:0]
	for k, cost := range c.costs {
		if cost <= maxCost {
			c.candidates = append(c.candidates, int32(k))
		}
	}
	a, b := drawTwo(c.rnd, c.candidates)
	if c.costs[b] < c.costs[a] {
		a = b
	}
	return int(ids[a]), true
}

// estimate fills costs with the estimate of each server, infinite for ineligible ones, and returns
// the lowest.
func (c *LowestEstimate) estimate(t *Table, ids []int32, at int64, r Request) float64 {
	if cap(c.costs) < len(ids) {
		c.costs = make([]float64, len(ids))
	}
	c.costs = c.costs[:len(ids)]
	requiredTokens, promptTokens := r.PromptTokens+r.AnswerTokens, r.PromptTokens
	threshold, oldestReport := utilizationLimit(r.Priority), at-t.maxAge
	best, inf := math.Inf(1), math.Inf(1)
	costs, rows, marks := c.costs, t.rows, t.marks
	// Uses comparisons instead of the built-in min and max. Because those also handle NaN, a decision
	// over 600 servers would take 3.2 instead of 2.6 microseconds.
	for k, id := range ids {
		w, hit := &rows[id], int(marks[id])
		cost := inf
		if w.madeAt >= oldestReport && requiredTokens <= w.freeTokens && hit != tried {
			cost = w.cost(at, float64(max(0, promptTokens-hit)), threshold)
			if cost < best {
				best = cost
			}
		}
		costs[k] = cost
	}
	return best
}

// drawTwo returns two random entries of ids. They are the same entry only if ids has one entry.
func drawTwo(rnd *rand.Rand, ids []int32) (int32, int32) {
	if len(ids) == 1 {
		return ids[0], ids[0]
	}
	i := rnd.IntN(len(ids))
	j := rnd.IntN(len(ids) - 1)
	if j >= i {
		j++
	}
	return ids[i], ids[j]
}

// RoundRobin is a baseline that selects the servers in turn.
type RoundRobin struct {
	next int
}

// Choose implements Chooser.
func (c *RoundRobin) Choose(t *Table, now time.Time, r Request) (int, bool) {
	ids := t.compatible(r)
	t.mark(r)
	defer t.unmark(r)
	at, requiredTokens := t.clock(now), r.PromptTokens+r.AnswerTokens
	for range ids {
		c.next++
		if id := int(ids[c.next%len(ids)]); t.usable(id, at, requiredTokens) {
			return id, true
		}
	}
	return 0, false
}

// LeastOutstanding is a baseline that selects the server with the fewest requests in flight,
// according to the load reports and the requests that this node sent.
type LeastOutstanding struct {
	next int
}

// Choose implements Chooser.
func (c *LeastOutstanding) Choose(t *Table, now time.Time, r Request) (int, bool) {
	ids := t.compatible(r)
	t.mark(r)
	defer t.unmark(r)
	at, requiredTokens := t.clock(now), r.PromptTokens+r.AnswerTokens
	best, fewest := -1, math.MaxInt
	c.next++
	for k := range ids {
		id := int(ids[(c.next+k)%len(ids)])
		if t.usable(id, at, requiredTokens) && t.rows[id].inFlight < fewest {
			best, fewest = id, t.rows[id].inFlight
		}
	}
	return best, best >= 0
}

// PowerOfTwoChoices is a baseline that draws two servers at random and selects the one with fewer requests
// in flight.
type PowerOfTwoChoices struct {
	rnd        *rand.Rand
	candidates []int32
}

// NewPowerOfTwoChoices returns a chooser that draws from rnd.
func NewPowerOfTwoChoices(rnd *rand.Rand) *PowerOfTwoChoices { return &PowerOfTwoChoices{rnd: rnd} }

// Choose implements Chooser.
func (c *PowerOfTwoChoices) Choose(t *Table, now time.Time, r Request) (int, bool) {
	t.mark(r)
	defer t.unmark(r)
	at, requiredTokens := t.clock(now), r.PromptTokens+r.AnswerTokens
	c.candidates = c.candidates[:0]
	for _, id := range t.compatible(r) {
		if t.usable(int(id), at, requiredTokens) {
			c.candidates = append(c.candidates, id)
		}
	}
	if len(c.candidates) == 0 {
		return 0, false
	}
	a, b := drawTwo(c.rnd, c.candidates)
	if t.rows[b].inFlight < t.rows[a].inFlight {
		a = b
	}
	return int(a), true
}

package choose

import (
	"math"
	"math/rand/v2"
	"time"
)

// Chooser picks the server for a request.
type Chooser interface {
	// Choose returns the index of a server, or false when none may be chosen.
	Choose(t *Table, now time.Time, r Request) (int, bool)
}

// Window is how much worse than the best estimate a server may be to count as near-equal: the sum
// of a part of the best estimate and a fixed time.
type Window struct {
	Part  float64
	Fixed time.Duration
}

// DefaultWindow is the window of nodes; docs/measurements/choosing.md compares it with others.
func DefaultWindow() Window { return Window{Part: 0.1, Fixed: 5 * time.Millisecond} }

// Shortest picks the shortest expected time to first token. Among near-equal servers it draws two at
// random and takes the better, so that nodes with the same reports do not all choose the same one.
type Shortest struct {
	rnd    *rand.Rand
	window Window
	costs  []float64
	near   []int32
}

// NewShortest returns a chooser that draws from rnd.
func NewShortest(rnd *rand.Rand, window Window) *Shortest { return &Shortest{rnd: rnd, window: window} }

// Choose implements Chooser.
func (c *Shortest) Choose(t *Table, now time.Time, r Request) (int, bool) {
	ids := t.list(r)
	t.mark(r)
	defer t.unmark(r)
	best := c.estimate(t, ids, t.clock(now), r)
	if math.IsInf(best, 1) {
		return 0, false
	}
	limit := best*(1+c.window.Part) + c.window.Fixed.Seconds()
	c.near = c.near[:0]
	for k, cost := range c.costs {
		if cost <= limit {
			c.near = append(c.near, int32(k))
		}
	}
	a, b := two(c.rnd, c.near)
	if c.costs[b] < c.costs[a] {
		a = b
	}
	return int(ids[a]), true
}

// estimate fills costs, infinite for servers that may not be chosen, and returns the least.
func (c *Shortest) estimate(t *Table, ids []int32, at int64, r Request) float64 {
	if cap(c.costs) < len(ids) {
		c.costs = make([]float64, len(ids))
	}
	c.costs = c.costs[:len(ids)]
	need, prompt := r.PromptTokens+r.AnswerTokens, r.PromptTokens
	full, oldest := fillLimit(r.Priority), at-t.maxAge
	best, inf := math.Inf(1), math.Inf(1)
	costs, rows, marks := c.costs, t.rows, t.marks
	// Comparisons instead of min and max: those of floating-point numbers also handle NaN, with which a
	// decision at 600 servers takes 3.2 microseconds instead of 2.6.
	for k, id := range ids {
		w, hit := &rows[id], int(marks[id])
		cost := inf
		if w.madeAt >= oldest && need <= w.room && hit != tried {
			cost = w.cost(at, float64(max(0, prompt-hit)), full)
			if cost < best {
				best = cost
			}
		}
		costs[k] = cost
	}
	return best
}

// two draws two entries of ids, which are the same only when there is but one.
func two(rnd *rand.Rand, ids []int32) (int32, int32) {
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

// RoundRobin is a baseline: it takes the servers in turn.
type RoundRobin struct {
	next int
}

// Choose implements Chooser.
func (c *RoundRobin) Choose(t *Table, now time.Time, r Request) (int, bool) {
	ids := t.list(r)
	t.mark(r)
	defer t.unmark(r)
	at, need := t.clock(now), r.PromptTokens+r.AnswerTokens
	for range ids {
		c.next++
		if id := int(ids[c.next%len(ids)]); t.usable(id, at, need) {
			return id, true
		}
	}
	return 0, false
}

// LeastOutstanding is a baseline: it takes the server with the fewest requests in flight, as far as
// the reports and the node's own sends tell.
type LeastOutstanding struct {
	next int
}

// Choose implements Chooser.
func (c *LeastOutstanding) Choose(t *Table, now time.Time, r Request) (int, bool) {
	ids := t.list(r)
	t.mark(r)
	defer t.unmark(r)
	at, need := t.clock(now), r.PromptTokens+r.AnswerTokens
	best, fewest := -1, math.MaxInt
	c.next++
	for k := range ids {
		id := int(ids[(c.next+k)%len(ids)])
		if t.usable(id, at, need) && t.rows[id].inFlight < fewest {
			best, fewest = id, t.rows[id].inFlight
		}
	}
	return best, best >= 0
}

// TwoChoices is a baseline: of two servers drawn at random it takes the one with fewer requests in
// flight.
type TwoChoices struct {
	rnd  *rand.Rand
	near []int32
}

// NewTwoChoices returns a chooser that draws from rnd.
func NewTwoChoices(rnd *rand.Rand) *TwoChoices { return &TwoChoices{rnd: rnd} }

// Choose implements Chooser.
func (c *TwoChoices) Choose(t *Table, now time.Time, r Request) (int, bool) {
	t.mark(r)
	defer t.unmark(r)
	at, need := t.clock(now), r.PromptTokens+r.AnswerTokens
	c.near = c.near[:0]
	for _, id := range t.list(r) {
		if t.usable(int(id), at, need) {
			c.near = append(c.near, id)
		}
	}
	if len(c.near) == 0 {
		return 0, false
	}
	a, b := two(c.rnd, c.near)
	if t.rows[b].inFlight < t.rows[a].inFlight {
		a = b
	}
	return int(a), true
}

package choose

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Aged selects the server with the shortest expected time to first token like LowestEstimate, but trusts a load report less the
// older it is: after the time for which requests hold their slots, a report tells nothing about a server, which then counts as one
// with the average load. In a large fleet, a node gets the reports of a server seconds apart. When the servers are full, nodes that
// took these for the present state would send many requests to the same few servers.
type Aged struct {
	rnd   *rand.Rand
	loads []agedLoad
}

// agedLoad is the expected load of a server.
type agedLoad struct {
	id int
	// requests is the number of requests that it is expected to run or hold.
	requests float64
	cost     float64
}

// NewAged returns a chooser that draws from rnd.
func NewAged(rnd *rand.Rand) *Aged { return &Aged{rnd: rnd} }

// Choose implements Chooser.
func (c *Aged) Choose(t *Table, now time.Time, r Request) (int, bool) {
	c.estimate(t, now, r)
	lowest := math.Inf(1)
	for _, l := range c.loads {
		lowest = min(lowest, l.cost)
	}
	window := DefaultWindow()
	limit := lowest*(1+window.Fraction) + window.Fixed.Seconds()
	c.loads = slices.DeleteFunc(c.loads, func(l agedLoad) bool { return l.cost > limit })
	if len(c.loads) == 0 {
		return 0, false
	}
	a, b := c.loads[c.rnd.IntN(len(c.loads))], c.loads[c.rnd.IntN(len(c.loads))]
	if b.requests < a.requests {
		a = b
	}
	return a.id, true
}

// Estimate returns the expected time to first token on a server, or false if the server is not eligible.
func (c *Aged) Estimate(t *Table, id int, now time.Time, r Request) (time.Duration, bool) {
	c.estimate(t, now, r)
	for _, l := range c.loads {
		if l.id == id {
			return time.Duration((l.cost + t.firstTokenDelays[t.servers[id].spec.Model].value) * float64(time.Second)), true
		}
	}
	return 0, false
}

// RecordSend records that this node sent a request to a server that Aged has chosen, like Table.RecordSend.
func (c *Aged) RecordSend(t *Table, id int, now time.Time, r Request) uint64 {
	estimate, ok := c.Estimate(t, id, now, r)
	sendID := t.RecordSend(id, now, r)
	if sends := t.servers[id].sends; ok {
		sends[len(sends)-1].estimate = estimate.Seconds()
	}
	return sendID
}

// estimate fills loads with the eligible servers.
func (c *Aged) estimate(t *Table, now time.Time, r Request) {
	at := t.clock(now)
	t.mark(r)
	defer t.unmark(r)
	c.loads = c.loads[:0]
	sum, weights := 0.0, 0.0
	for _, id := range t.compatible(r) {
		st := &t.servers[id]
		if !t.usable(int(id), at, r.PromptTokens+r.AnswerTokens) {
			continue
		}
		reported, w := st.reportedRequests(), minAverageWeight+t.reportWeight(st, at, 1)
		sum, weights = sum+w*reported, weights+w
		c.loads = append(c.loads, agedLoad{id: int(id), requests: reported})
	}
	if len(c.loads) == 0 {
		return
	}
	average := sum / weights
	for i := range c.loads {
		l := &c.loads[i]
		st, w := &t.servers[l.id], t.reportWeight(&t.servers[l.id], at, reportTrust)
		l.requests = average + w*(l.requests-average) + float64(st.ownChange())
		prefill := cmp.Or(st.spec.PrefillPerToken, t.cfg.PrefillPerToken).Seconds() * st.slowdown
		if st.report.Cold {
			prefill *= t.cfg.ColdFactor
		}
		wait := 0.0
		if slots := float64(st.slots()); slots > 0 {
			l.requests = max(l.requests, slots*(st.unanswered(at)-usualAnswerSeconds)/t.slotSeconds(st)+slots)
			prefill *= 1 + t.cfg.BatchFactor*min(1, (l.requests+1)/slots)
			wait = max(0, (l.requests+1-slots)/slots*t.slotSeconds(st))
		}
		uncachedTokens := max(0, r.PromptTokens-max(0, int(t.marks[l.id])))
		l.cost = t.rows[l.id].roundTrip + prefill*float64(uncachedTokens) + wait
	}
}

// reportTrust is the time constant with which reports lose their weight, as a fraction of the time for which a request holds its
// slot. In bursts, loads change faster than requests end: in the burst of TestBurst in package seat, more requests were on time with
// 0.15 than with 0.3, 0.5 and 1.
const reportTrust = 0.15

// minAverageWeight is the weight of the oldest reports in the average load, relative to new ones, so that a single report does not
// determine it after a time with few requests.
const minAverageWeight = 0.05

// reportWeight returns the weight of a server's load report, which falls with a time constant of the given fraction of the time for
// which a request holds its slot.
func (t *Table) reportWeight(st *serverState, at int64, fraction float64) float64 {
	age := max(0, float64(at-st.madeAt)/float64(time.Second))
	return math.Exp(-age / max(t.slotSeconds(st)*fraction, minEstimateSeconds))
}

func (t *Table) slotSeconds(st *serverState) float64 {
	if s := st.spec.SlotTime.Seconds(); s > 0 {
		return s
	}
	return t.meanHold
}

// slots returns how many requests a server runs at the same time, 0 if that is not known.
func (st *serverState) slots() int {
	if st.report.Cold {
		return st.spec.ColdRequests
	}
	return st.spec.WarmRequests
}

func (st *serverState) reportedRequests() float64 {
	return float64(st.report.Running + st.report.Waiting)
}

// usualAnswerSeconds is the time within which servers with free slots usually send the first byte. A request that waits longer shows that
// the server has a queue, which is at least as long as this node has waited.
const usualAnswerSeconds = 0.15

// unanswered returns the longest time in seconds for which a request has been waiting for its first byte, -Inf if none is.
func (st *serverState) unanswered(at int64) float64 {
	longest := math.Inf(-1)
	for i := range st.sends {
		if s := &st.sends[i]; s.ended == 0 && !s.learned {
			longest = max(longest, float64(at-s.at)/float64(time.Second))
		}
	}
	return longest
}

// ownChange returns by how much this node has changed the load of a server since its report: the requests that it has sent and
// that still run, minus those in the report that have ended.
func (st *serverState) ownChange() int {
	n := 0
	for i := range st.sends {
		s := &st.sends[i]
		switch reported := s.at+int64(st.spec.OneWayDelay) < st.madeAt; {
		case reported && s.ended != 0:
			n--
		case !reported && s.ended == 0:
			n++
		}
	}
	return n
}

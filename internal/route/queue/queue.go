// Package queue holds the requests of one node for one model until a backend server can start them in time, and refuses those
// for which that is not possible.
//
// All nodes bound the requests that the servers of a model run or hold to the slots of these servers: what exceeds them would
// wait in the servers behind work that is late as well. A node releases requests to servers at its share of the rate at which
// the fleet's requests end, plus what free slots allow. See docs/design/queue.md.
//
// The package does no I/O and reads no clock: callers pass the time. No type is safe for concurrent use.
package queue

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Request is a request that waits for a server.
type Request struct {
	// ID is unique among the requests of a Queue.
	ID uint64
	// Priority is 0 for the most urgent requests.
	Priority int
	Account  string
	// Tokens is the size of the request.
	Tokens int
	// Fingerprint is equal for repetitions of the same request.
	Fingerprint uint64
	// FirstArrival is when the caller first sent the request, as far as is known.
	FirstArrival time.Time
	// Objective is the latency objective, counted from FirstArrival; 0 stands for the time until Deadline.
	Objective time.Duration
	// Deadline is when the caller gives up.
	Deadline time.Time
	// StartTime is the expected time from sending the request to a server with a free slot to its first byte.
	StartTime time.Duration
}

// latestSend returns when the request must be sent to a server in order to meet its objective.
func (r *Request) latestSend() time.Time { return r.FirstArrival.Add(r.Objective - r.StartTime) }

// Parameters of a Queue.
const (
	// MaxWaiting bounds the waiting requests.
	MaxWaiting = 512
	// settleTime is the time within which the requests at servers approach their target. It exceeds the age of what nodes know
	// of each other several times, as the release rate would otherwise oscillate.
	settleTime = 600 * time.Millisecond
	// minBurst and burstTime bound the requests that a node may release at once after it had none to release.
	minBurst  = 2
	burstTime = 150 * time.Millisecond
	// trickle is the part of the release rate at which requests of each priority below the threshold are admitted nevertheless, so
	// that none starves. It does not depend on their number, as callers that return at once would otherwise get more of it.
	trickle = 0.03
	// recoveryTime is how long after a saturation late requests are sent at a limited rate only, as many return at about the same time. With
	// 2 s, those that returned after a burst filled the servers again.
	// At other times they are sent like others: a caller with a short timeout of its own cannot be told from one that returns.
	recoveryTime = 4 * time.Second
	// lateWait is the fraction of the objective for which a late request may wait for a free slot.
	lateWait = 0.5
	// minRate is the release rate of a node at which waits are estimated if its share is lower, in requests per second.
	minRate = 0.05
	// forecastTime is the time for which the rate at which requests end now tells how many can start. Where requests take several
	// seconds, none may end for longer than the rates are measured, though all that wait will be served before their deadline.
	forecastTime = 2 * time.Second
	// retryInterval is the time between two attempts to place the first request when no server takes it.
	retryInterval = 20 * time.Millisecond
)

// waiting is a request in the queue.
type waiting struct {
	Request
	seq uint64
	// late is set if the request could not be on time when it arrived, or until is its latest time to be sent otherwise.
	late  bool
	until time.Time
	// passed is set if the request is admitted although it is below the threshold.
	passed bool
}

// Queue holds the waiting requests of one node for one model.
type Queue struct {
	rnd   *rand.Rand
	seq   uint64
	items []*waiting
	// tokens are the requests that may be released now while the fleet is saturated, and lateTokens those that are late while it is not.
	// They were last updated at refilled.
	tokens     float64
	lateTokens float64
	// saturatedAt is when the fleet was last seen to be saturated, recovered is set unless that is less than recoveryTime ago.
	saturatedAt time.Time
	recovered   bool
	refilled    time.Time
	meter       meter
	credits     [Levels]credit
	usage       map[string]*decaying
	// refusedAt holds the times at which refused requests were counted in the demand, by fingerprint.
	refusedAt map[uint64]time.Time
	// holdUntil is when the first request is tried again after no server took it.
	holdUntil time.Time
}

// New returns an empty queue that draws the jitter of retry times from rnd.
func New(now time.Time, rnd *rand.Rand) *Queue {
	return &Queue{rnd: rnd, tokens: minBurst, lateTokens: 1, recovered: true, refilled: now, meter: meter{dirty: true}, usage: make(map[string]*decaying), refusedAt: make(map[uint64]time.Time)}
}

// Arrive adds a request to the queue, or refuses it at once if it could not be served in time.
func (q *Queue) Arrive(now time.Time, r Request) *Refusal {
	r.Priority = min(max(r.Priority, 0), Levels-1)
	if r.Objective <= 0 {
		r.Objective = r.Deadline.Sub(r.FirstArrival)
	}
	w := &waiting{Request: r, seq: q.seq, until: r.latestSend()}
	q.seq++
	if !w.until.After(now) {
		w.late = true
		w.until = now.Add(time.Duration(lateWait * float64(r.Objective)))
	}
	if last := r.Deadline.Add(-r.StartTime); last.Before(w.until) {
		w.until = last
	}
	if !w.late && !q.repeats(now, r.Fingerprint) {
		q.meter.arrived(now, r.Priority)
	}
	q.refill(now)
	if reason, ok := q.hopeless(now, w); ok {
		return q.refuse(now, w, reason)
	}
	if len(q.items) >= MaxWaiting && !q.makeRoom(w) {
		return q.refuse(now, w, Full)
	}
	q.items = append(q.items, w)
	q.countBacklog(w, 1)
	return nil
}

// countBacklog counts a request that joins or leaves the queue in the demand, unless it is late.
func (q *Queue) countBacklog(w *waiting, n int) {
	if !w.late {
		q.meter.backlog[w.Priority] += n
		q.meter.dirty = true
	}
}

// take removes the request at an index and returns it.
func (q *Queue) take(i int) *waiting {
	w := q.items[i]
	q.items = slices.Delete(q.items, i, i+1)
	q.countBacklog(w, -1)
	return w
}

// makeRoom reports whether a request goes before the last one, which then expires with the next call of Expired.
func (q *Queue) makeRoom(w *waiting) bool {
	last := slices.MaxFunc(q.items, q.compare)
	if q.compare(w, last) >= 0 {
		return false
	}
	last.until = time.Time{}
	return true
}

// hopeless reports whether it is certain that a request that arrives cannot be served in time, and why.
func (q *Queue) hopeless(now time.Time, w *waiting) (Reason, bool) {
	s := q.meter.state(now)
	if s.open() {
		return "", false
	}
	left := w.until.Sub(now).Seconds()
	rate := s.rateFor(w.Priority)
	if w.late {
		rate = 0
	}
	ahead := float64(q.ahead(w)) + 1
	if !w.late && left > forecastTime.Seconds() {
		// Every slot is free again once within such a time, or nothing tells otherwise.
		return WaitTooLong, ahead > max(1, s.share*q.meter.capacity.Slots)+rate*left && !q.passes(now, w)
	}
	switch {
	case rate <= minRate:
		return BelowThreshold, !q.passes(now, w)
	case ahead > q.tokens && (ahead-max(0, q.tokens))/rate > left:
		return WaitTooLong, !q.passes(now, w)
	default:
		return "", false
	}
}

// passes reports whether a request that would be refused is admitted in order that its class does not starve. The request then
// counts as one of the most urgent class.
func (q *Queue) passes(now time.Time, w *waiting) bool {
	if w.late || w.Priority == 0 {
		return false
	}
	c := &q.credits[w.Priority]
	if rate := q.meter.state(now).nodeRate(); !c.at.IsZero() && !math.IsInf(rate, 1) {
		c.value = min(1, c.value+trickle*rate*min(now.Sub(c.at), maxCreditTime).Seconds())
	}
	c.at = now
	if c.value < 1 {
		return false
	}
	c.value = 0
	w.passed = true
	return true
}

// credit is the part of a request below the threshold that may pass it, as of a time.
type credit struct {
	value float64
	at    time.Time
}

// maxCreditTime bounds the time for which a priority without requests saves up credit.
const maxCreditTime = time.Minute

// ahead returns the number of waiting requests that go before a new one. Those of other accounts count no more than fair sharing
// lets them go first.
func (q *Queue) ahead(w *waiting) int {
	before, own := 0, 0
	others := make(map[string]int)
	for _, o := range q.items {
		switch {
		case o.level() < w.level():
			before++
		case o.level() > w.level():
		case o.Account == w.Account:
			if q.compare(o, w) < 0 {
				own++
			}
		default:
			others[o.Account]++
		}
	}
	for _, n := range others {
		before += min(n, own+1)
	}
	return before + own
}

// level orders requests before all else: by priority, and late ones after all that can be on time.
func (w *waiting) level() int {
	switch {
	case w.late:
		return Levels + w.Priority
	case w.passed:
		return 0
	default:
		return w.Priority
	}
}

// compare orders waiting requests of any account.
func (q *Queue) compare(a, b *waiting) int {
	return cmp.Or(
		cmp.Compare(a.level(), b.level()), a.FirstArrival.Add(a.Objective).Compare(b.FirstArrival.Add(b.Objective)),
		cmp.Compare(a.Tokens, b.Tokens), cmp.Compare(a.seq, b.seq),
	)
}

// Next returns the request to send to a server now, or false if none may be sent. skip holds requests that were tried in vain.
// The request stays in the queue until Sent or Remove is called.
func (q *Queue) Next(now time.Time, skip func(id uint64) bool) (uint64, bool) {
	if len(q.items) == 0 || now.Before(q.holdUntil) {
		return 0, false
	}
	q.refill(now)
	w := q.first(now, skip)
	if w == nil {
		return 0, false
	}
	s := q.meter.state(now)
	return w.ID, q.mayRelease(s, w)
}

// mayRelease reports whether a request may be sent to a server now.
func (q *Queue) mayRelease(s state, w *waiting) bool {
	switch {
	case w.late:
		return s.open() && (q.lateTokens >= 1 || q.recovered)
	case s.open():
		return true
	default:
		return q.tokens >= 1
	}
}

// first returns the request that goes first. Among the requests of a level, accounts take turns: the one whose requests have used
// the fewest tokens of late goes first.
func (q *Queue) first(now time.Time, skip func(id uint64) bool) *waiting {
	var best *waiting
	bestUsage := 0.0
	for _, w := range q.items {
		if skip(w.ID) || !w.until.After(now) {
			continue
		}
		usage := q.used(now, w.Account)
		if best != nil {
			order := cmp.Or(cmp.Compare(w.level(), best.level()), cmp.Compare(usage, bestUsage))
			if order > 0 || order == 0 && q.compare(w, best) >= 0 {
				continue
			}
		}
		best, bestUsage = w, usage
	}
	return best
}

func (q *Queue) used(now time.Time, account string) float64 {
	if u, ok := q.usage[account]; ok {
		return u.at(now, usageTime)
	}
	return 0
}

// Hold is called when no server takes any of the waiting requests now. Next returns none until until, at most for a short time.
func (q *Queue) Hold(now, until time.Time) {
	q.holdUntil = now.Add(retryInterval)
	if until.After(now) && until.Before(q.holdUntil) {
		q.holdUntil = until
	}
}

// Sent removes a request that was sent to a server.
func (q *Queue) Sent(now time.Time, id uint64) {
	i := q.index(id)
	if i < 0 {
		return
	}
	w := q.take(i)
	q.refill(now)
	switch {
	case w.late:
		q.lateTokens--
	case q.Saturated(now):
		q.tokens = max(q.tokens-1, -minBurst)
	}
	u, ok := q.usage[w.Account]
	if !ok {
		q.forgetAccounts(now)
		u = &decaying{}
		q.usage[w.Account] = u
	}
	u.add(now, usageTime, float64(w.Tokens+requestCost))
}

// Remove removes a request that is not sent to a server.
func (q *Queue) Remove(id uint64) {
	if i := q.index(id); i >= 0 {
		q.take(i)
	}
}

func (q *Queue) index(id uint64) int {
	return slices.IndexFunc(q.items, func(w *waiting) bool { return w.ID == id })
}

// Expired removes and returns the requests that can no longer be served in time.
func (q *Queue) Expired(now time.Time) []Refusal {
	var out []Refusal
	q.items = slices.DeleteFunc(q.items, func(w *waiting) bool {
		if w.until.After(now) {
			return false
		}
		reason := Expired
		if w.until.IsZero() {
			reason = Full
		}
		q.countBacklog(w, -1)
		out = append(out, *q.refuse(now, w, reason))
		return true
	})
	return out
}

// Wakeup returns when Expired and Next have to be called again if nothing else happens, false if no request waits.
func (q *Queue) Wakeup(now time.Time) (time.Time, bool) {
	if len(q.items) == 0 {
		return time.Time{}, false
	}
	at := now.Add(maxWakeup)
	for _, w := range q.items {
		if w.until.Before(at) {
			at = w.until
		}
	}
	if s := q.meter.state(now); q.tokens < 1 && s.nodeRate() > 0 && !s.open() {
		if ready := now.Add(seconds((1 - q.tokens) / s.nodeRate())); ready.Before(at) {
			at = ready
		}
	} else if q.holdUntil.After(now) && q.holdUntil.Before(at) {
		at = q.holdUntil
	}
	return maxTime(at, now.Add(minWakeup)), true
}

// Bounds of the time between two looks at a queue with waiting requests.
const (
	minWakeup = time.Millisecond
	maxWakeup = 20 * time.Millisecond
)

// refill adds the requests that the release rates have allowed since the last call.
func (q *Queue) refill(now time.Time) {
	s := q.meter.state(now)
	if !s.open() {
		q.saturatedAt = now
	}
	q.recovered = q.saturatedAt.IsZero() || now.Sub(q.saturatedAt) >= recoveryTime
	elapsed := now.Sub(q.refilled).Seconds()
	if elapsed <= 0 {
		return
	}
	q.refilled = now
	rate := s.nodeRate()
	if math.IsInf(rate, 1) {
		q.tokens, q.lateTokens = minBurst, 1
		return
	}
	q.tokens = min(q.tokens+elapsed*rate, max(minBurst, rate*burstTime.Seconds()))
	q.lateTokens = min(q.lateTokens+elapsed*s.lateRate, 1)
	if !s.open() {
		// Nodes must not send the late requests that have come back to them all at once when the saturation ends.
		q.lateTokens = 0
	}
}

// Waiting returns the number of waiting requests by priority.
func (q *Queue) Waiting() [Levels]int {
	var out [Levels]int
	for _, w := range q.items {
		out[w.Priority]++
	}
	return out
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return len(q.items) }

// maxAccounts bounds the accounts whose use is remembered, requestCost is added to the tokens of each request.
const (
	maxAccounts = 1024
	requestCost = 50
	usageTime   = 2 * time.Second
)

// forgetAccounts drops the accounts that have used little of late once there are many.
func (q *Queue) forgetAccounts(now time.Time) {
	if len(q.usage) < maxAccounts {
		return
	}
	for name, u := range q.usage {
		if u.at(now, usageTime) < requestCost {
			delete(q.usage, name)
		}
	}
	if len(q.usage) >= maxAccounts {
		clear(q.usage)
	}
}

// seconds converts a time in seconds, at most an hour: the quotients of small rates exceed the range of a Duration.
func seconds(s float64) time.Duration { return time.Duration(min(s, 3600) * float64(time.Second)) }

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

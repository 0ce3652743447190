package queue

import (
	"math"
	"time"
)

// Levels is the number of priorities; higher ones count as the last.
const Levels = 10

// Totals are the demand for a model and its load, summed over some nodes.
type Totals struct {
	// Nodes is the number of nodes in the sums.
	Nodes int
	// InFlight is the number of requests that were sent to servers and have not ended.
	InFlight float64
	// Ended is the rate at which requests end, per second.
	Ended float64
	// Demand is the rate at which requests that can still be on time arrive, per second and priority, plus a rate for those that wait.
	Demand [Levels]float64
	// FirstBytes is the rate of first bytes per second, and Lateness the sum over them of the fraction of the objective that
	// has passed between the request's being sent and its first byte.
	FirstBytes float64
	Lateness   float64
}

// Add adds the totals of other nodes.
func (t *Totals) Add(o Totals) {
	t.Nodes += o.Nodes
	t.InFlight += o.InFlight
	t.Ended += o.Ended
	t.FirstBytes += o.FirstBytes
	t.Lateness += o.Lateness
	for i := range o.Demand {
		t.Demand[i] += o.Demand[i]
	}
}

// demand returns the demand of all priorities below level.
func (t *Totals) demand(level int) float64 {
	sum := 0.0
	for _, d := range t.Demand[:level] {
		sum += d
	}
	return sum
}

// Source is where the threshold in force comes from.
type Source string

// Sources of a threshold.
const (
	// Fleet means the totals of most nodes, and Local the view of this node alone.
	Fleet Source = "fleet"
	Local Source = "local"
)

// Capacity is what the servers of a model can run.
type Capacity struct {
	// Slots is the number of requests that the usable servers run at the same time; 0 if it is not known.
	Slots float64
	// Elsewhere is the number of requests of this node at servers that are not usable, such as stalled ones.
	Elsewhere int
	// Nodes is the number of nodes that send requests to these servers.
	Nodes int
}

// Times over which rates are measured, and for which totals of other nodes hold.
const (
	demandTime = 200 * time.Millisecond
	endedTime  = time.Second
	// backlogTime is the time within which waiting requests should be served if there is capacity.
	backlogTime = time.Second
	// aloneTime is used in place of both where nothing is known from other nodes, as a node sees few requests.
	aloneTime = 2 * time.Second
	loadTime  = time.Second
	totalsAge = 1500 * time.Millisecond
)

// The target for the requests at servers is the number of their slots. It falls, at most to minTarget of it, if first bytes take more
// than slowShare of the objective on average, as servers may be limited by something else than their slots.
const (
	minTarget = 0.85
	slowShare = 0.8
	// maxReserve is the fraction of the slots that a large fleet leaves free, since its nodes, with old knowledge of each server,
	// cannot spread requests evenly. It is reached from reserveNodes nodes on.
	maxReserve   = 0.03
	reserveNodes = 12
	// lateTarget is the part of the target up to which requests that are late anyway are sent to servers, so that slots are left for
	// those that can be on time.
	lateTarget = 0.9
)

// knowledgeAge is the typical age of totals when they are received. What has been sent since is estimated. reactionTime is the time
// within which nodes learn of a change of the demand: requests are not held back while those of this time find free slots.
const (
	knowledgeAge = 200 * time.Millisecond
	reactionTime = 300 * time.Millisecond
)

// minOwnError and maxOwnError bound the load that servers report relative to this node's own requests times the nodes. The reports are
// more exact, but they get old while this node sends few requests.
const (
	minOwnError = 1.25
	maxOwnError = 1.6
)

// portionTime is the time over which the portion of this node in the requests of all nodes is learnt from reports, and priorRequests the
// weight of an equal portion before, in requests.
const (
	portionTime   = 20 * time.Second
	priorRequests = 20
)

// minDemand is added to the demand of each node in computing its share, in requests per second, so that a node without recent
// requests may release its next one.
const minDemand = 0.2

// meter measures the demand and load of a model on this node, and derives the rate at which it may release requests.
type meter struct {
	capacity Capacity
	demand   [Levels]decaying
	// backlog counts the waiting requests that can still be on time.
	backlog [Levels]int
	ended   decaying
	// slowDemand and slowEnded are averages over aloneTime.
	slowDemand [Levels]decaying
	slowEnded  decaying
	first      decaying
	lateness   decaying
	inFlight   float64
	// load and loads are the sums of the reported loads as fractions of the slots, and of their weights.
	load  decaying
	loads decaying
	// reported and own are sums over the reports of the requests at all servers that a report suggests, and of those of this node at that time.
	reported decaying
	own      decaying
	fleet    Totals
	// fleetAt is when fleet was received.
	fleetAt time.Time
	cached  state
	// cachedAt is when cached was computed; it is invalid if dirty is set.
	cachedAt time.Time
	dirty    bool
}

func (m *meter) arrived(now time.Time, level int) {
	m.demand[level].add(now, demandTime, 1)
	m.slowDemand[level].add(now, aloneTime, 1)
	m.dirty = true
}

// SetCapacity sets what the servers of the model can run.
func (q *Queue) SetCapacity(c Capacity) { q.meter.capacity, q.meter.dirty = c, true }

// RequestSent records that a request was sent to a server, whether or not it was in the queue.
func (q *Queue) RequestSent() {
	q.meter.inFlight++
	q.meter.dirty = true
}

// RequestEnded records that a request that was sent to a server has ended. freed is set if another one can start in its place, which
// is not the case if the server has failed.
func (q *Queue) RequestEnded(now time.Time, freed bool) {
	q.meter.inFlight = max(0, q.meter.inFlight-1)
	q.meter.dirty = true
	if !freed {
		return
	}
	q.meter.ended.add(now, endedTime, 1)
	q.meter.slowEnded.add(now, aloneTime, 1)
}

// FirstByte records the time from sending a request to its first byte.
func (q *Queue) FirstByte(now time.Time, d, objective time.Duration) {
	if objective <= 0 {
		return
	}
	q.meter.first.add(now, endedTime, 1)
	q.meter.lateness.add(now, endedTime, min(maxLateness, d.Seconds()/objective.Seconds()))
}

// maxLateness bounds the effect of one response, such as one of a server that has stalled.
const maxLateness = 3

// ObserveLoad records that a server reported the given number of running and waiting requests.
func (q *Queue) ObserveLoad(now time.Time, requests, slots int) {
	if slots > 0 {
		q.meter.load.add(now, loadTime, float64(requests)/float64(slots))
		q.meter.loads.add(now, loadTime, 1)
		q.meter.reported.add(now, portionTime, float64(requests)/float64(slots)*q.meter.capacity.Slots)
		q.meter.own.add(now, portionTime, q.meter.ownInFlight())
		q.meter.dirty = true
	}
}

// Totals returns the totals of this node.
func (q *Queue) Totals(now time.Time) Totals { return q.meter.totals(now) }

func (m *meter) totals(now time.Time) Totals {
	t := Totals{
		Nodes: 1, InFlight: m.ownInFlight(), Ended: m.ended.rate(now, endedTime),
		FirstBytes: m.first.rate(now, endedTime), Lateness: m.lateness.rate(now, endedTime),
	}
	for i := range m.demand {
		t.Demand[i] = m.demand[i].rate(now, demandTime) + m.backlogDemand(i)
	}
	return t
}

// ownInFlight returns the requests of this node at usable servers.
func (m *meter) ownInFlight() float64 { return max(0, m.inFlight-float64(m.capacity.Elsewhere)) }

// multiple returns how many times the requests of this node those of all nodes are. Without reports, this is the number of nodes, but
// callers may use few of them.
func (m *meter) multiple(now time.Time) float64 {
	nodes := float64(max(1, m.capacity.Nodes))
	ratio := (priorRequests*nodes + m.reported.at(now, portionTime)) / (priorRequests + m.own.at(now, portionTime))
	return min(max(1, ratio), nodes)
}

// backlogDemand returns the demand of waiting requests, which should be served within backlogTime.
func (m *meter) backlogDemand(level int) float64 {
	return float64(m.backlog[level]) / backlogTime.Seconds()
}

// SetFleet sets the totals of all nodes, including this one.
func (q *Queue) SetFleet(now time.Time, t Totals) {
	q.meter.fleet, q.meter.fleetAt, q.meter.dirty = t, now, true
}

// state is what follows from the totals for the release of requests by this node.
type state struct {
	totals Totals
	source Source
	// demand is the rate at which requests that can be on time arrive at all nodes, and target the number of requests that should be
	// at servers.
	demand, target float64
	// budget is the rate at which all nodes may release requests; infinite if the capacity is not known.
	budget float64
	// share is the share of this node in it.
	share float64
	// lateRate is the rate at which this node may release requests that are late anyway.
	lateRate float64
	// alone is set for the only node, which knows the requests at servers as of now.
	alone bool
}

// cacheTime is how long a state is used: a queue asks for it several times for each request.
const cacheTime = 2 * time.Millisecond

func (m *meter) state(now time.Time) state {
	if m.dirty || now.Sub(m.cachedAt) >= cacheTime {
		m.cached, m.cachedAt, m.dirty = m.compute(now), now, false
	}
	return m.cached
}

func (m *meter) compute(now time.Time) state {
	own := m.totals(now)
	nodes := float64(max(1, m.capacity.Nodes))
	s := state{totals: own, source: Local, share: 1, alone: nodes == 1 && m.fleet.Nodes <= 1}
	if m.capacity.Slots <= 0 {
		s.budget, s.lateRate = math.Inf(1), math.Inf(1)
		return s
	}
	age := 0.0
	switch {
	case s.alone:
		// The node's own totals are those of all nodes, and newer.
	case now.Sub(m.fleetAt) < totalsAge && 2*m.fleet.Nodes > m.capacity.Nodes:
		// Fewer nodes would not do: those that begin to take part see a higher load than the others.
		s.totals, s.source = m.fleet.scaled(m.missing(now)), Fleet
		age = (knowledgeAge + now.Sub(m.fleetAt)).Seconds()
	case nodes > 1:
		own = m.alone(now)
		s.totals = own.scaled(m.multiple(now))
		if n := m.loads.at(now, loadTime); n > 0 {
			reported := m.load.at(now, loadTime) / n * m.capacity.Slots
			s.totals.InFlight = min(max(reported, s.totals.InFlight/maxOwnError), s.totals.InFlight*minOwnError)
		}
	}
	s.demand = s.totals.demand(Levels)
	s.share = min(1, (own.demand(Levels)+minDemand)/(s.demand+nodes*minDemand))
	reserve := maxReserve * min(1, (nodes-1)/(reserveNodes-1))
	s.target = m.capacity.Slots * (1 - reserve) * s.totals.slowdown()
	s.budget = s.budgetFor(s.target)
	s.totals.InFlight = max(0, s.totals.InFlight+(min(s.demand, s.budget)-s.totals.Ended)*age)
	s.budget = s.budgetFor(s.target)
	s.lateRate = max(0, s.budgetFor(lateTarget*s.target)-s.demand) / m.multiple(now)
	return s
}

// missing returns the factor on the totals of some nodes that accounts for the others. They are taken to have as many requests as the
// mean of these, but no more than the loads that servers report leave for them: callers may use few of the nodes.
func (m *meter) missing(now time.Time) float64 {
	factor := max(1, float64(m.capacity.Nodes)/float64(m.fleet.Nodes))
	if n := m.loads.at(now, loadTime); n > 0 && m.fleet.InFlight > 0 {
		reported := m.load.at(now, loadTime) / n * m.capacity.Slots
		factor = min(factor, max(1, minOwnError*reported/m.fleet.InFlight))
	}
	return factor
}

// alone returns the totals of this node with rates over a longer time.
func (m *meter) alone(now time.Time) Totals {
	t := m.totals(now)
	t.Ended = m.slowEnded.rate(now, aloneTime)
	for i := range t.Demand {
		t.Demand[i] = m.slowDemand[i].rate(now, aloneTime) + m.backlogDemand(i)
	}
	return t
}

// budgetFor returns the rate of requests of all nodes at which the requests at servers approach a target.
func (s state) budgetFor(target float64) float64 {
	return max(0, s.totals.Ended+(target-s.totals.InFlight)/settleTime.Seconds())
}

func (t *Totals) scaled(by float64) Totals {
	out := *t
	out.InFlight *= by
	out.Ended *= by
	out.FirstBytes *= by
	out.Lateness *= by
	for i := range out.Demand {
		out.Demand[i] *= by
	}
	return out
}

// slowdown returns the factor on the target by which requests at servers are reduced because first bytes are late.
func (t *Totals) slowdown() float64 {
	if t.Lateness <= slowShare*t.FirstBytes {
		return 1
	}
	return max(minTarget, slowShare*t.FirstBytes/t.Lateness)
}

// open reports whether all requests that can be on time may be sent to servers.
func (s state) open() bool {
	if s.alone && s.totals.InFlight+1 <= s.target {
		return true
	}
	return s.demand <= s.budget || s.totals.InFlight+s.demand*reactionTime.Seconds() <= s.target
}

// nodeRate returns the rate at which this node may release requests, per second.
func (s state) nodeRate() float64 { return s.budget * s.share }

// rateFor returns the rate at which this node may release requests of a priority, per second.
func (s state) rateFor(priority int) float64 {
	return max(0, s.budget-s.totals.demand(priority)) * s.share
}

// threshold returns the admission level: its integer part is the number of priorities that are admitted in full, and its fraction
// is the share of the next one.
func (s state) threshold() float64 {
	left := s.budget
	for i, d := range s.totals.Demand {
		if left < d {
			return float64(i) + left/d
		}
		left -= d
	}
	return Levels
}

// recovery returns the expected time in seconds until requests of a priority are admitted again, if demand stays as it is: what
// exceeds the target has to end first, and the demand ahead takes its part of the capacity.
func (s state) recovery(priority int) float64 {
	ended := max(s.totals.Ended, 1)
	over := s.totals.demand(priority+1) / ended
	return settleTime.Seconds() * max(1, over)
}

// Saturated reports whether the fleet's servers cannot run all requests that can be on time.
func (q *Queue) Saturated(now time.Time) bool { return !q.meter.state(now).open() }

// Status describes the admission of requests.
type Status struct {
	// Threshold is the admission level: priorities below its integer part are admitted, and its fraction of the next one.
	Threshold float64
	Source    Source
	// Occupancy is the fraction of the target for requests at servers that is taken.
	Occupancy float64
}

// Status returns the threshold in force.
func (q *Queue) Status(now time.Time) Status {
	s := q.meter.state(now)
	out := Status{Threshold: Levels, Source: s.source}
	if s.target > 0 {
		out.Occupancy = s.totals.InFlight / s.target
	}
	if !s.open() {
		out.Threshold = s.threshold()
	}
	return out
}

// decaying is a sum whose terms decay exponentially.
type decaying struct {
	value float64
	last  time.Time
}

func (d *decaying) at(now time.Time, over time.Duration) float64 {
	if d.value == 0 {
		return 0
	}
	return d.value * math.Exp(-max(0, now.Sub(d.last).Seconds())/over.Seconds())
}

func (d *decaying) add(now time.Time, over time.Duration, x float64) {
	d.value, d.last = d.at(now, over)+x, now
}

// rate returns the terms per second.
func (d *decaying) rate(now time.Time, over time.Duration) float64 {
	return d.at(now, over) / over.Seconds()
}

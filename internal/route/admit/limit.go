package admit

import (
	"math"
	"time"
)

// The range in which a limit is learned, relative to the node's part of the configured capacity. The
// upper end lets a node use what others leave; the budgets of the servers are the hard bound. The lower
// end bounds the harm of a change in the mix of requests that looks like congestion.
const (
	limitLow  = 0.5
	limitHigh = 1.25
)

// How a limit is learned: in windows of requests, by comparing their mean hold time with the least mean
// seen. The least mean rises slowly, so a lasting change in the mix is learned as normal.
const (
	windowTime     = time.Second
	windowRequests = 20
	congestedRatio = 2.0
	decrease       = 0.9
	increasePart   = 0.05
	baselineRise   = 1.02
)

// Limit learns how many requests can be in flight: it grows while requests wait for a place and the
// time that requests take stays near the least seen, and shrinks when that time doubles.
type Limit struct {
	low, high float64
	value     float64
	baseline  float64
	sum       float64
	n         int
	full      bool
	since     time.Time
}

// NewLimit returns a limit between low and high; 0 and 0 is no limit.
func NewLimit(low, high float64) *Limit {
	l := &Limit{}
	l.SetRange(low, high)
	return l
}

// SetRange sets the bounds. A limit whose range changes keeps its place in it.
func (l *Limit) SetRange(low, high float64) {
	switch {
	case high == 0:
		l.value = 0
	case l.high == 0:
		l.value = min(max(1, high/limitHigh), math.Max(1, high))
	default:
		l.value *= high / l.high
	}
	l.low, l.high = low, high
}

// Value returns the limit; 0 is no limit.
func (l *Limit) Value() float64 { return l.value }

// Done takes a request that has ended after hold, and whether others waited for its place.
func (l *Limit) Done(now time.Time, hold time.Duration, full bool) {
	if l.high == 0 {
		return
	}
	if l.n == 0 {
		l.since = now
	}
	l.sum += hold.Seconds()
	l.n++
	l.full = l.full || full
	if l.n < windowRequests || now.Sub(l.since) < windowTime {
		return
	}
	mean := l.sum / float64(l.n)
	if l.baseline == 0 || mean < l.baseline {
		l.baseline = mean
	}
	switch {
	case mean > congestedRatio*l.baseline:
		l.value = max(l.low, l.value*decrease)
	case l.full:
		l.value = min(l.high, l.value*(1+increasePart))
	}
	l.baseline *= baselineRise
	l.sum, l.n, l.full = 0, 0, false
}

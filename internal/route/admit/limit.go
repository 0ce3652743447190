package admit

import (
	"math"
	"time"
)

// The range of an adaptive limit, relative to the node's part of the configured capacity. The upper end lets a
// node use capacity that other nodes leave unused; the shared limit of each backend server, which package budget
// enforces, is the hard limit. The lower end limits the damage when a change in the mix of requests looks like
// congestion.
const (
	limitLowRatio  = 0.5
	limitHighRatio = 1.25
)

// Parameters of the adaptive limit. It compares the mean hold time (from admission to end) of a window of requests
// with a baseline, the lowest mean seen so far. The baseline grows slowly, by baselineGrowth per window, so that
// the limit adapts to a lasting change in the mix of requests.
const (
	minWindowDuration = time.Second
	minWindowRequests = 20
	congestedRatio    = 2.0
	decreaseFactor    = 0.9
	increaseRatio     = 0.05
	baselineGrowth    = 1.02
)

// AdaptiveLimit estimates how many requests can be in flight. It grows while requests wait for a slot and the
// mean hold time stays near the baseline, and shrinks when the mean exceeds congestedRatio times the baseline.
type AdaptiveLimit struct {
	low, high       float64
	value           float64
	baselineSeconds float64
	holdSeconds     float64
	n               int
	saturated       bool
	windowStart     time.Time
}

// NewAdaptiveLimit returns a limit between low and high. If high is 0, there is no limit.
func NewAdaptiveLimit(low, high float64) *AdaptiveLimit {
	l := &AdaptiveLimit{}
	l.SetRange(low, high)
	return l
}

// SetRange sets the bounds. The current limit is scaled with the upper bound.
func (l *AdaptiveLimit) SetRange(low, high float64) {
	switch {
	case high == 0:
		l.value = 0
	case l.high == 0:
		l.value = min(max(1, high/limitHighRatio), math.Max(1, high))
	default:
		l.value *= high / l.high
	}
	l.low, l.high = low, high
}

// Value returns the current limit; 0 means no limit.
func (l *AdaptiveLimit) Value() float64 { return l.value }

// RecordCompletion records that a request ended after the given hold time, and whether other requests were
// waiting for a slot (saturated).
func (l *AdaptiveLimit) RecordCompletion(now time.Time, hold time.Duration, saturated bool) {
	if l.high == 0 {
		return
	}
	if l.n == 0 {
		l.windowStart = now
	}
	l.holdSeconds += hold.Seconds()
	l.n++
	l.saturated = l.saturated || saturated
	if l.n < minWindowRequests || now.Sub(l.windowStart) < minWindowDuration {
		return
	}
	mean := l.holdSeconds / float64(l.n)
	if l.baselineSeconds == 0 || mean < l.baselineSeconds {
		l.baselineSeconds = mean
	}
	switch {
	case mean > congestedRatio*l.baselineSeconds:
		l.value = max(l.low, l.value*decreaseFactor)
	case l.saturated:
		l.value = min(l.high, l.value*(1+increaseRatio))
	}
	l.baselineSeconds *= baselineGrowth
	l.holdSeconds, l.n, l.saturated = 0, 0, false
}

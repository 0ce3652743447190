package choose

import (
	"math"
	"time"
)

// learnedDelay is a moving average in seconds and the number of its samples.
type learnedDelay struct {
	value   float64
	samples int
	// learnedAt is when RecordFirstToken last changed it, in nanoseconds since Table.epoch.
	learnedAt int64
}

// maxDelaySampleSeconds limits each sample, so that the average stays near the median. Otherwise a few requests
// that waited seconds for a stalled server would raise the estimate until other requests are refused.
const maxDelaySampleSeconds = 0.1

// refusalDecay is the factor on a learned delay after each refused request. While all requests are refused, no
// response shows that the servers are free again, so the delay must decay without responses. If the refusals were
// justified, the responses to the next admitted requests raise it again.
const refusalDecay = 0.95

// Learning rates. slowdownDecay is the exponent by which the slowdown returns to 1 with each load report.
const (
	slowdownStep     = 0.08
	slowdownDecay    = 0.98
	holdStep         = 0.02
	queuedPromptStep = 0.02
)

// Bounds of the learned slowdown.
const (
	slowdownMin = 0.25
	slowdownMax = 16
)

// learnFirstTokenDelay updates the delay of a model with the time by which a first token was later than
// estimated. The weight of a sample starts at 1 and falls to FirstTokenLearningRate.
func (t *Table) learnFirstTokenDelay(model string, lateSeconds float64) {
	if t.cfg.FirstTokenLearningRate == 0 {
		return
	}
	l := t.firstTokenDelays[model]
	l.samples++
	step := max(t.cfg.FirstTokenLearningRate, 1/float64(l.samples))
	l.value = max(0, l.value+step*min(max(lateSeconds, -maxDelaySampleSeconds), maxDelaySampleSeconds))
	t.firstTokenDelays[model] = l
}

// Parameters of RecordFirstToken: the time constant of the average, the largest weight of a sample, and the largest sample, so
// that single requests that waited for a stalled server change the average little.
const (
	fastDelayTime        = time.Second
	maxFastDelayStep     = 0.25
	maxFastSampleSeconds = 0.3
)

// RecordFirstToken records the time to first token of a running request. The delay of its model then follows within
// about a second, whereas RecordEnd learns only at the end of a request, with a weight that is the same however few requests this
// node has. RecordEnd still has to be called.
func (t *Table) RecordFirstToken(id int, sendID uint64, now time.Time, firstToken time.Duration) {
	st := &t.servers[id]
	for i := range st.sends {
		s := &st.sends[i]
		if s.id != sendID || s.learned || t.cfg.FirstTokenLearningRate == 0 {
			continue
		}
		s.learned = true
		l, at := t.firstTokenDelays[st.spec.Model], t.clock(now)
		elapsed := float64(at-l.learnedAt) / float64(fastDelayTime)
		step := min(max(t.cfg.FirstTokenLearningRate, 1-math.Exp(-elapsed)), maxFastDelayStep)
		late := min(max(firstToken.Seconds()-s.estimate, -maxFastSampleSeconds), maxFastSampleSeconds)
		l.value, l.learnedAt = max(0, l.value+step*late), at
		l.samples++
		t.firstTokenDelays[st.spec.Model] = l
		return
	}
}

// RecordRefusal records that a request for a model was refused because of the estimate.
func (t *Table) RecordRefusal(model string) {
	l := t.firstTokenDelays[model]
	l.value *= refusalDecay
	t.firstTokenDelays[model] = l
}

// DecaySlowdowns moves the slowdown of servers without a recent load report towards 1, so that they are tried again. It
// must be called every SlowdownDecayInterval.
func (t *Table) DecaySlowdowns(now time.Time) {
	at := t.clock(now)
	for _, id := range t.ids {
		if st := &t.servers[id]; st.slowdown != 1 && at-st.madeAt >= int64(SlowdownDecayInterval) {
			st.slowdown = math.Sqrt(st.slowdown)
			t.refresh(id)
		}
	}
}

// SlowdownDecayInterval is the interval between calls of DecaySlowdowns.
const SlowdownDecayInterval = time.Second

// minEstimateSeconds is the lowest estimate that RecordEnd divides an observed time to first token by. It keeps the
// noise of very short times out of the slowdown.
const minEstimateSeconds = 0.005

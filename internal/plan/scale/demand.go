package scale

import (
	"math"
	"time"
)

// Counts are numbers of requests and tokens.
type Counts struct {
	// Arrivals counts requests of callers, including refused ones. Refused counts those refused for lack of capacity, Late those
	// whose first token missed the objective.
	Arrivals     float64
	PromptTokens float64
	AnswerTokens float64
	Refused      float64
	Late         float64
}

// Add returns the sum of two counts.
func (c Counts) Add(o Counts) Counts {
	return Counts{
		c.Arrivals + o.Arrivals, c.PromptTokens + o.PromptTokens, c.AnswerTokens + o.AnswerTokens, c.Refused + o.Refused, c.Late + o.Late,
	}
}

// Key identifies the requests for a model that nodes of a data centre received.
type Key struct {
	Model      string
	DataCentre string
}

// Demand holds the requests of a time.
type Demand map[Key]Counts

// Observation of demand.
const (
	// windowBins is the number of seconds over which demand is averaged and its peak is taken. It covers a period of the usual
	// oscillation of demand, 11 s, so that neither a trough leads to scaling in nor a crest to scaling out.
	windowBins = 12
	// smoothBins is the number of seconds over which the rates are averaged whose highest is the peak. It evens out the delay of
	// reports of up to a second.
	smoothBins = 3
	// usualSwing is the ratio of peak to mean that is assumed before demand was observed for a window.
	usualSwing = 1.25
	// noiseDeviations is how many standard deviations a peak of one model may exceed that of all models before it counts as a change
	// of demand: a model with few requests varies more.
	noiseDeviations = 2
	// riseFactor is the ratio of a rate to that two seconds before from which demand counts as rising.
	riseFactor = 1.05
	// answerBins is the number of seconds in which answers that began before or have not ended yet distort the mean answer.
	answerBins = 4
	// maxStepGap is the time between steps after which what was observed before is discarded, because reports were missed.
	maxStepGap = 3 * time.Second
)

// bin holds the requests that were reported in a second.
type bin struct {
	models map[string]Counts
	sites  map[string]float64
}

// estimator estimates demand from the requests of the last seconds. The last bin is incomplete.
type estimator struct {
	bins    []bin
	binEnd  time.Time
	lastAdd time.Time
	// since is when demand was first seen. trimmed is set once the first bin has been dropped, in which not all nodes have reported.
	since   time.Time
	trimmed bool
}

// add adds the requests that were reported since the last call.
func (e *estimator) add(now time.Time, d Demand) {
	if !e.lastAdd.IsZero() && now.Sub(e.lastAdd) > maxStepGap {
		*e = estimator{}
	}
	e.lastAdd = now
	if e.since.IsZero() {
		if len(d) == 0 {
			return
		}
		e.since, e.binEnd = now, now.Add(time.Second)
		e.bins = []bin{newBin()}
	}
	for !now.Before(e.binEnd) {
		e.bins = append(e.bins, newBin())
		e.binEnd = e.binEnd.Add(time.Second)
		if len(e.bins) > windowBins+1 || !e.trimmed && len(e.bins) > smoothBins {
			e.bins, e.trimmed = e.bins[1:], true
		}
	}
	last := e.bins[len(e.bins)-1]
	for k, c := range d {
		last.models[k.Model] = last.models[k.Model].Add(c)
		last.sites[k.DataCentre] += c.Arrivals
	}
}

func newBin() bin { return bin{models: make(map[string]Counts), sites: make(map[string]float64)} }

// age returns for how long demand has been observed.
func (e *estimator) age(now time.Time) time.Duration {
	if e.since.IsZero() {
		return 0
	}
	return now.Sub(e.since)
}

// full reports whether demand has been observed for a window.
func (e *estimator) full() bool { return len(e.complete()) >= windowBins }

// complete returns the complete bins.
func (e *estimator) complete() []bin {
	if len(e.bins) == 0 {
		return nil
	}
	return e.bins[:len(e.bins)-1]
}

// total returns the counts of a model in bins, or of all models for "".
func total(bins []bin, model string) Counts {
	var sum Counts
	for _, b := range bins {
		if model != "" {
			sum = sum.Add(b.models[model])
			continue
		}
		for _, c := range b.models {
			sum = sum.Add(c)
		}
	}
	return sum
}

// rate returns the mean requests per second for a model in bins.
func rate(bins []bin, model string) float64 {
	if len(bins) == 0 {
		return 0
	}
	return total(bins, model).Arrivals / float64(len(bins))
}

// recent returns the last complete bins, at most smoothBins.
func (e *estimator) recent() []bin {
	b := e.complete()
	return b[max(0, len(b)-smoothBins):]
}

// mean returns the mean requests per second for a model.
func (e *estimator) mean(model string) float64 { return rate(e.complete(), model) }

// highest returns the highest smoothed rate of a model.
func (e *estimator) highest(model string) float64 {
	b := e.complete()
	best := rate(e.recent(), model)
	for i := smoothBins; i <= len(b); i++ {
		best = max(best, rate(b[i-smoothBins:i], model))
	}
	return best
}

// swing returns the ratio of the peak of all requests to their mean.
func (e *estimator) swing() float64 {
	mean := e.mean("")
	if mean <= 0 {
		return 1
	}
	s := e.highest("") / mean
	if !e.full() {
		s = max(s, usualSwing)
	}
	return s
}

// peak returns the peak of the requests per second for a model. Demand for all models oscillates together. A model has a peak of its
// own if its rate exceeds that by more than chance.
func (e *estimator) peak(model string) float64 {
	own := e.highest(model)
	own -= noiseDeviations * math.Sqrt(own/smoothBins)
	return max(e.mean(model)*e.swing(), own)
}

// mix returns the mean size of requests for a model. usualAnswer is used while answers have not ended yet.
func (e *estimator) mix(model string, usualAnswer int) Mix {
	c := total(e.complete(), model)
	if c.Arrivals <= 0 {
		return Mix{}
	}
	m := Mix{PromptTokens: c.PromptTokens / c.Arrivals}
	// Requests that were refused may have been refused more than once.
	m.AnswerTokens = c.AnswerTokens / max(c.Arrivals-c.Refused, c.Arrivals/2)
	if len(e.complete()) < answerBins || m.AnswerTokens <= 0 {
		m.AnswerTokens = max(m.AnswerTokens, float64(usualAnswer))
	}
	return m
}

// rising reports whether demand has risen in the last two seconds, so that its peak is not known yet.
func (e *estimator) rising() bool {
	b := e.complete()
	if len(b) < smoothBins+1 {
		return true
	}
	before := b[:len(b)-min(2, len(b)-smoothBins)]
	return rate(e.recent(), "") > riseFactor*rate(before[max(0, len(before)-smoothBins):], "")
}

// minSiteRate is the rate of requests from which a data centre without any for smoothBins seconds is no chance.
const minSiteRate = 3

// silent reports whether a data centre had requests in the window and none in its last seconds. Its nodes may be cut off from this
// one rather than without callers.
func (e *estimator) silent() bool {
	recent, all := siteCounts(e.recent()), siteCounts(e.complete())
	for dc, n := range all {
		if n >= minSiteRate*float64(len(e.complete())) && recent[dc] == 0 {
			return true
		}
	}
	return false
}

// siteCounts returns the requests in bins by data centre.
func siteCounts(bins []bin) map[string]float64 {
	out := make(map[string]float64)
	for _, b := range bins {
		for dc, n := range b.sites {
			out[dc] += n
		}
	}
	return out
}

// siteRate returns the mean requests per second of the callers of a data centre.
func (e *estimator) siteRate(dc string) float64 {
	return siteCounts(e.complete())[dc] / float64(max(1, len(e.complete())))
}

// failedShare returns the share of the recent requests for a model that were refused or late.
func (e *estimator) failedShare(model string) float64 {
	c := total(e.recent(), model)
	if c.Arrivals <= 0 {
		return 0
	}
	return (c.Refused + c.Late) / c.Arrivals
}

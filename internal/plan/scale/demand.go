package scale

import "time"

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

// failedShare returns the share of the requests that were refused or late.
func (c Counts) failedShare() float64 {
	if c.Arrivals+c.Refused+c.Late <= 0 {
		return 0
	}
	return (c.Refused + c.Late) / max(c.Arrivals, c.Refused+c.Late)
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
	// binTime is the time of a bin.
	binTime = 500 * time.Millisecond
	// windowBins is the number of bins in which the highest demand is looked for, 2 minutes. It bounds how long servers are kept for
	// demand that does not return.
	windowBins = 240
	// recentBins is the number of bins over which rates are averaged, 2 s. It evens out the delay of reports of up to a second.
	recentBins = 4
	// knownBins is the number of bins from which demand is acted on. All nodes report within a second.
	knownBins = 3
	// sizeBins is the number of bins over which the sizes of requests are averaged, 12 s.
	sizeBins = 24
	// answerBins is the number of bins in which answers that have not ended yet distort the mean answer, 4 s.
	answerBins = 8
	// maxStepGap is the time between steps after which what was observed before is discarded, because reports were missed.
	maxStepGap = 3 * time.Second
)

// bin holds the requests that were reported in a time of binTime.
type bin struct {
	models  map[string]Counts
	callers map[string]float64
}

// estimator estimates demand from the requests of the last seconds. The last bin is incomplete.
type estimator struct {
	bins    []bin
	binEnd  time.Time
	lastAdd time.Time
	// answers holds the mean answers by model when requests last were in time.
	answers map[string]float64
}

// add adds the requests that were reported since the last call.
func (e *estimator) add(now time.Time, d Demand) {
	if !e.lastAdd.IsZero() && now.Sub(e.lastAdd) > maxStepGap {
		*e = estimator{}
	}
	e.lastAdd = now
	if len(e.bins) == 0 {
		if len(d) == 0 {
			return
		}
		e.bins, e.binEnd = []bin{newBin()}, now.Add(binTime)
	}
	for !now.Before(e.binEnd) {
		e.bins = append(e.bins, newBin())
		e.binEnd = e.binEnd.Add(binTime)
	}
	e.bins = e.bins[max(0, len(e.bins)-windowBins-1):]
	last := e.bins[len(e.bins)-1]
	for k, c := range d {
		last.models[k.Model] = last.models[k.Model].Add(c)
		last.callers[k.DataCentre] += c.Arrivals
	}
}

func newBin() bin { return bin{models: make(map[string]Counts), callers: make(map[string]float64)} }

// known reports whether demand has been observed for long enough to act on it.
func (e *estimator) known() bool { return len(e.complete()) >= knownBins }

// complete returns the complete bins.
func (e *estimator) complete() []bin {
	if len(e.bins) == 0 {
		return nil
	}
	return e.bins[:len(e.bins)-1]
}

// last returns the last complete bins, at most n.
func (e *estimator) last(n int) []bin {
	b := e.complete()
	return b[max(0, len(b)-n):]
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

// perSecond returns the requests per second for a model in bins.
func perSecond(bins []bin, model string) float64 {
	return total(bins, model).Arrivals / (float64(max(1, len(bins))) * binTime.Seconds())
}

// rate returns the recent requests per second for a model.
func (e *estimator) rate(model string) float64 { return perSecond(e.last(recentBins), model) }

// highest returns the highest rate of requests for a model in the window.
func (e *estimator) highest(model string) float64 {
	b, best := e.complete(), e.rate(model)
	for i := recentBins; i <= len(b); i++ {
		best = max(best, perSecond(b[i-recentBins:i], model))
	}
	return best
}

// mix returns the mean size of requests for a model. As long as answers have not ended, and while requests fail, the mean answer is at
// least the one before, or usualAnswer: answers that are cut short or delayed by overload would make groups seem to carry more.
func (e *estimator) mix(model string, usualAnswer int) Mix {
	b := e.last(sizeBins)
	c := total(b, model)
	if c.Arrivals <= 0 {
		return Mix{}
	}
	// Requests that were refused may have been refused more than once.
	m := Mix{PromptTokens: c.PromptTokens / c.Arrivals, AnswerTokens: c.AnswerTokens / max(c.Arrivals-c.Refused, c.Arrivals/2)}
	if len(b) >= answerBins && c.failedShare() <= lateShare && m.AnswerTokens > 0 {
		if e.answers == nil {
			e.answers = make(map[string]float64)
		}
		e.answers[model] = m.AnswerTokens
		return m
	}
	before, ok := e.answers[model]
	if !ok {
		before = float64(usualAnswer)
	}
	m.AnswerTokens = max(m.AnswerTokens, before)
	return m
}

// minCallerRate is the rate of requests from which a data centre without any for recentBins is no chance.
const minCallerRate = 3

// silent reports whether a data centre had requests in the last seconds and has none now. Its nodes may be cut off from this one
// rather than without callers.
func (e *estimator) silent() bool {
	before := e.last(sizeBins)
	recent, all := callerCounts(e.last(recentBins)), callerCounts(before)
	for dc, n := range all {
		if n >= minCallerRate*binTime.Seconds()*float64(len(before)) && recent[dc] == 0 {
			return true
		}
	}
	return false
}

// callerCounts returns the requests in bins by data centre.
func callerCounts(bins []bin) map[string]float64 {
	out := make(map[string]float64)
	for _, b := range bins {
		for dc, n := range b.callers {
			out[dc] += n
		}
	}
	return out
}

// callerRate returns the mean requests per second of the callers of a data centre.
func (e *estimator) callerRate(dc string) float64 {
	b := e.last(sizeBins)
	return callerCounts(b)[dc] / (float64(max(1, len(b))) * binTime.Seconds())
}

// isLate reports whether too many of the recent requests for a model were refused or late.
func (e *estimator) isLate(model string) bool {
	c := total(e.last(recentBins), model)
	return c.Refused+c.Late >= minFailed && c.failedShare() > lateShare
}

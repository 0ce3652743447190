package scale

import (
	"time"

	"geraniumhollow/internal/route/batch"
)

// Mix is the mean size of the requests for a model.
type Mix struct {
	PromptTokens float64
	AnswerTokens float64
}

// Margins of the capacity of a group.
const (
	// slotShare is the share of the slots of a group that are in use at its capacity. Arrivals vary, and requests that find no slot
	// wait for an answer to end, which takes longer than the objective. On the first deployment, groups of the small model were late
	// above 26 requests/s, with about 0.6 of the slots in use.
	slotShare = 0.6
	// firstTokenShare is the share of the objective within which the engine alone gives the first token. The rest is for the
	// network and for uneven distribution among groups.
	firstTokenShare = 0.8
	// tokenShare is the share of the engine's memory that running requests use.
	tokenShare = 0.9
)

// Capacity returns how many requests per second one group of a model runs while first tokens stay within the objective, or 0 if the
// engine has no figures.
func Capacity(e *batch.Engine, m batch.Model, mix Mix, objective time.Duration) float64 {
	for n := e.MaxRequests; n > 0; n-- {
		if float64(n) > slotShare*float64(e.MaxRequests) && n > 1 {
			continue
		}
		held := float64(n) * (mix.PromptTokens + mix.AnswerTokens/2)
		if e.TokenCapacity > 0 && held > tokenShare*float64(e.TokenCapacity) && n > 1 {
			continue
		}
		rate := rateAt(e, m, mix, n)
		if n == 1 || objective <= 0 || firstToken(e, m, mix, n, rate) <= firstTokenShare*objective.Seconds() {
			return rate
		}
	}
	return 0
}

// rateAt returns how many requests per second a group runs while it runs n at a time. An answer of A tokens takes A steps, in which
// the prompts of the requests that arrive meanwhile are read as well: rate x (A x step + n x prefill) = n.
func rateAt(e *batch.Engine, m batch.Model, mix Mix, n int) float64 {
	step := stepSeconds(e, mix, n)
	prefill := e.PrefillTime(int(mix.PromptTokens)).Seconds()
	t := timeFactor(m) * (step*max(1, mix.AnswerTokens) + float64(n)*prefill)
	if t <= 0 {
		return 0
	}
	return float64(n) / t
}

// firstToken returns the time in seconds in which nearly all requests get their first token: they wait for the pass in progress, and
// get it at the end of the next one, which reads the prompts of two further requests.
func firstToken(e *batch.Engine, m batch.Model, mix Mix, n int, rate float64) float64 {
	f := timeFactor(m)
	prefill := f * e.PrefillTime(int(mix.PromptTokens)).Seconds()
	decoding := f * float64(max(1, e.StepsPerPass)) * stepSeconds(e, mix, n)
	reading := min(rate*prefill, 0.95)
	return 2*decoding/(1-reading) + 2*prefill
}

func stepSeconds(e *batch.Engine, mix Mix, n int) float64 {
	return e.StepTime(n, int(float64(n)*(mix.PromptTokens+mix.AnswerTokens/2))).Seconds()
}

func timeFactor(m batch.Model) float64 {
	if m.TimeFactor <= 0 {
		return 1
	}
	return m.TimeFactor
}

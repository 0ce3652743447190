// Package batch predicts how a model engine with continuous batching serves a request: the time to the first
// token and the time between tokens.
//
// An engine runs in passes. A pass reads (prefills) some of the waiting prompt tokens and then runs a fixed
// number of decoding steps. Each step generates one token for every request that is being decoded.
package batch

import "time"

// Model is a model that an engine can serve.
type Model struct {
	Name string
	// Hosts is the number of hosts in one serving group, which serve the model together.
	Hosts int
	// TimeFactor is a factor on all times of a group that serves the model.
	TimeFactor float64
	// WorkFraction is the expected fraction of the fleet's work.
	WorkFraction float64
	// ColdLoadTime is the time to load the weights from the weight store, and WarmLoadTime the time if the host already holds
	// them.
	ColdLoadTime time.Duration
	WarmLoadTime time.Duration
}

// Engine holds the published performance figures of an engine type.
type Engine struct {
	Models []Model
	// MaxRequests is how many requests one group runs at the same time, and TokenCapacity how many tokens it holds.
	MaxRequests   int
	TokenCapacity int
	// StepsPerPass is the number of steps in one pass.
	StepsPerPass int
	// StepBase is the base time of a step. Each request that is being decoded adds StepPerRequest, and every thousand
	// tokens that these requests hold add StepPerThousandTokens.
	StepBase              time.Duration
	StepPerRequest        time.Duration
	StepPerThousandTokens time.Duration
	// PrefillRate is the number of prompt tokens read per second. Every million pairs of a token and an earlier
	// token adds PrefillPerMillionPairs. PrefillChunk is the maximum number of prompt tokens read per step; 0 means no limit.
	PrefillRate            float64
	PrefillPerMillionPairs time.Duration
	PrefillChunk           int
	// ReportLag is the age of a load report.
	ReportLag time.Duration
	// LoadsPerSecond is how many weight loads may start per second over all hosts. More than LoadsAtOnce
	// concurrent loads slow each other down.
	LoadsPerSecond float64
	LoadsAtOnce    int
	// MeanPromptTokens and MeanAnswerTokens are mean token counts.
	MeanPromptTokens int
	MeanAnswerTokens int
	// StagedModels is the number of models whose weights a host keeps.
	StagedModels int
	// FormingTime is the time that a group needs to reach its state open once all members are ready.
	FormingTime time.Duration
}

// Model returns the model with the given name.
func (e *Engine) Model(name string) (Model, bool) {
	for _, m := range e.Models {
		if m.Name == name {
			return m, true
		}
	}
	return Model{}, false
}

// StepTime returns the time of one step of a group with a time factor of 1, given the number of requests being decoded and
// the total number of tokens they hold.
func (e *Engine) StepTime(decoding, heldTokens int) time.Duration {
	return e.StepBase + time.Duration(decoding)*e.StepPerRequest + time.Duration(float64(heldTokens)/1000*float64(e.StepPerThousandTokens))
}

// PassTime returns the time of one pass of a group with a time factor of 1, given the number of requests being decoded, the
// total number of tokens they hold, and the number of prompt tokens waiting to be read. Each request gets its
// next event at the end of a pass.
func (e *Engine) PassTime(decoding, heldTokens, promptTokens int) time.Duration {
	prefillTokens := promptTokens
	if e.PrefillChunk > 0 {
		prefillTokens = min(promptTokens, e.StepsPerPass*e.PrefillChunk)
	}
	return time.Duration(e.StepsPerPass)*e.StepTime(decoding, heldTokens) + e.PrefillTime(prefillTokens)
}

// PrefillTime returns the time to read a prompt of the given number of tokens on a group with a time factor of 1. It is 0
// if PrefillRate is not set.
func (e *Engine) PrefillTime(promptTokens int) time.Duration {
	if e.PrefillRate <= 0 {
		return 0
	}
	pairs := float64(promptTokens) * float64(promptTokens) / 2 / 1e6
	seconds := float64(promptTokens) / e.PrefillRate
	return time.Duration(seconds*float64(time.Second)) + time.Duration(pairs*float64(e.PrefillPerMillionPairs))
}

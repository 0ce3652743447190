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
	// Pace is a factor on all times of a group that serves the model.
	Pace float64
	// Share is the expected fraction of the fleet's work.
	Share float64
	// Load is the time to load the weights from the weight store, and Warm the time if the host already holds
	// them.
	Load time.Duration
	Warm time.Duration
}

// Engine holds the published performance figures of an engine type.
type Engine struct {
	Models []Model
	// Slots is how many requests one group runs at the same time, and Memory how many tokens it holds.
	Slots  int
	Memory int
	// Stride is the number of steps in one pass.
	Stride int
	// Step is the base time of a step. Each request that is being decoded adds PerRequest, and every thousand
	// tokens that these requests hold add PerThousand.
	Step        time.Duration
	PerRequest  time.Duration
	PerThousand time.Duration
	// ReadRate is the number of prompt tokens read per second. Every million pairs of a token and an earlier
	// token adds PerMillionPairs. Chunk is the maximum number of prompt tokens read per step; 0 means no limit.
	ReadRate        float64
	PerMillionPairs time.Duration
	Chunk           int
	// ReportLag is the age of a load report.
	ReportLag time.Duration
	// LoadsPerSecond is how many weight loads may start per second over all hosts. More than LoadsAtOnce
	// concurrent loads slow each other down.
	LoadsPerSecond float64
	LoadsAtOnce    int
	// UsualPrompt and UsualAnswer are mean token counts.
	UsualPrompt int
	UsualAnswer int
	// StagedModels is the number of models whose weights a host keeps.
	StagedModels int
	// Forming is the time that a group needs to reach its state open once all members are ready.
	Forming time.Duration
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

// StepTime returns the time of one step of a group with pace 1, given the number of requests being decoded and
// the total number of tokens they hold.
func (e *Engine) StepTime(decoding, heldTokens int) time.Duration {
	return e.Step + time.Duration(decoding)*e.PerRequest + time.Duration(float64(heldTokens)/1000*float64(e.PerThousand))
}

// PassTime returns the time of one pass of a group with pace 1, given the number of requests being decoded, the
// total number of tokens they hold, and the number of prompt tokens waiting to be read. Each request gets its
// next event at the end of a pass.
func (e *Engine) PassTime(decoding, heldTokens, promptTokens int) time.Duration {
	prefillTokens := promptTokens
	if e.Chunk > 0 {
		prefillTokens = min(promptTokens, e.Stride*e.Chunk)
	}
	return time.Duration(e.Stride)*e.StepTime(decoding, heldTokens) + e.PrefillTime(prefillTokens)
}

// PrefillTime returns the time to read a prompt of the given number of tokens on a group with pace 1. It is 0
// if ReadRate is not set.
func (e *Engine) PrefillTime(promptTokens int) time.Duration {
	if e.ReadRate <= 0 {
		return 0
	}
	pairs := float64(promptTokens) * float64(promptTokens) / 2 / 1e6
	seconds := float64(promptTokens) / e.ReadRate
	return time.Duration(seconds*float64(time.Second)) + time.Duration(pairs*float64(e.PerMillionPairs))
}

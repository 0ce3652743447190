// Package batch predicts how a model engine that batches continuously serves a request: when its first
// token comes and how far apart the tokens are.
//
// An engine works in passes. A pass reads a piece of the waiting prompts and then runs some steps, each
// of which gives one token to every request that is writing.
package batch

import "time"

// Model is a model that an engine can serve.
type Model struct {
	Name string
	// Hosts is how many hosts one serving group spans.
	Hosts int
	// Pace multiplies all times of a group that serves the model.
	Pace float64
	// Share is the part of the fleet's work that the model is expected to need.
	Share float64
	// Load is the time to load the weights from the weight store, Warm the time when the host holds them.
	Load time.Duration
	Warm time.Duration
}

// Engine holds the published figures of a kind of engine.
type Engine struct {
	Models []Model
	// Slots is how many requests one group runs at the same time, Memory how many tokens it holds.
	Slots  int
	Memory int
	// Stride is how many steps one pass runs.
	Stride int
	// Step is the time of a step, to which each writing request adds PerRequest and PerThousand for
	// each thousand tokens that it holds.
	Step        time.Duration
	PerRequest  time.Duration
	PerThousand time.Duration
	// ReadRate is how many prompt tokens are read in a second; PerMillionPairs is added for each million
	// pairs of a token and an earlier one. Chunk is the most that one step reads.
	ReadRate        float64
	PerMillionPairs time.Duration
	Chunk           int
	// ReportLag is the age of a load report.
	ReportLag time.Duration
	// LoadsPerSecond is how many weight loads may begin in a second over all hosts; more than LoadsAtOnce at the same
	// time slow each other down.
	LoadsPerSecond float64
	LoadsAtOnce    int
	// UsualPrompt and UsualAnswer are mean token counts.
	UsualPrompt int
	UsualAnswer int
	// StagedModels is how many models' weights a host keeps.
	StagedModels int
	// Forming is the time that a group needs to open after all members are ready.
	Forming time.Duration
}

// Model returns a model by name.
func (e *Engine) Model(name string) (Model, bool) {
	for _, m := range e.Models {
		if m.Name == name {
			return m, true
		}
	}
	return Model{}, false
}

// StepTime returns the time of one step of a group with pace 1 while it writes for a number of requests
// that hold a number of tokens together.
func (e *Engine) StepTime(writing, tokens int) time.Duration {
	return e.Step + time.Duration(writing)*e.PerRequest + time.Duration(float64(tokens)/1000*float64(e.PerThousand))
}

// PassTime returns the time of one pass of a group with pace 1 that writes for a number of requests, which hold
// a number of tokens together, and that has prompts to read. Each request gets its next event at the end of a
// pass.
func (e *Engine) PassTime(writing, tokens, prompts int) time.Duration {
	read := prompts
	if e.Chunk > 0 {
		read = min(prompts, e.Stride*e.Chunk)
	}
	return time.Duration(e.Stride)*e.StepTime(writing, tokens) + e.ReadTime(read)
}

// ReadTime returns the time to read a prompt on a group with pace 1.
func (e *Engine) ReadTime(prompt int) time.Duration {
	if e.ReadRate <= 0 {
		return 0
	}
	pairs := float64(prompt) * float64(prompt) / 2 / 1e6
	seconds := float64(prompt) / e.ReadRate
	return time.Duration(seconds*float64(time.Second)) + time.Duration(pairs*float64(e.PerMillionPairs))
}

package tally_test

import (
	"testing"
	"time"

	"geraniumhollow/internal/fleet/usage"
	"geraniumhollow/internal/node/pass"
	"geraniumhollow/internal/node/tally"
	"geraniumhollow/internal/route/batch"
	"geraniumhollow/internal/route/match"
)

func newTally(enabled bool) *tally.Tally {
	return tally.New(tally.Config{DataCentre: "dc", Enabled: func() bool { return enabled }})
}

// call returns a call for a model of a service that asks for scaling.
func call(model string, timeout time.Duration) *pass.Call {
	return &pass.Call{
		RequestInfo: pass.RequestInfo{Model: model, PromptTokens: 100, Timeout: timeout},
		Route:       &match.Route{Objective: 300 * time.Millisecond, Timeout: 6 * time.Second},
		Service: &match.Service{
			Name: "llm", Scaling: &match.Scaling{Min: 1, Max: 2}, Engine: &batch.Engine{StepsPerPass: 5, Models: []batch.Model{{Name: "m"}}},
		},
	}
}

// Guards against numbers that land in the wrong place, and against counting twice what was reported.
func TestCounts(t *testing.T) {
	t.Parallel()
	c := newTally(true)
	for _, r := range []pass.CallResult{
		{FirstByte: 200 * time.Millisecond, Duration: time.Second, Events: 30},
		{FirstByte: 400 * time.Millisecond, Duration: time.Second, Events: 2},
		{Refused: true, Duration: 150 * time.Millisecond},
		{Duration: 100 * time.Millisecond}, // The caller has left.
		{Duration: 6 * time.Second},
	} {
		c.Arrived(call("m", 6*time.Second))
		if r.FirstByte > 0 {
			c.Answered(call("m", 6*time.Second), r.FirstByte)
		}
		c.Ended(call("m", 6*time.Second), r)
	}
	want := usage.Demand{Service: "llm", Model: "m", DataCentre: "dc", Arrivals: 5, PromptTokens: 500, AnswerTokens: 160, Refused: 1, Late: 2}
	if got := c.Take(); len(got) != 1 || got[0] != want {
		t.Errorf("got %+v, want %+v", got, want)
	}
	if got := c.Take(); len(got) != 0 {
		t.Errorf("taken again: %+v", got)
	}
	if got := c.Objectives("llm")["m"]; got != 300*time.Millisecond {
		t.Errorf("objective %v", got)
	}
}

// Guards against lateness that is known only once the answers have ended.
func TestCountsLateAnswersAtOnce(t *testing.T) {
	t.Parallel()
	c := newTally(true)
	c.Arrived(call("m", 6*time.Second))
	c.Answered(call("m", 6*time.Second), 400*time.Millisecond)
	if got := c.Take(); len(got) != 1 || got[0].Late != 1 {
		t.Errorf("late before the end: %+v", got)
	}
	c.Ended(call("m", 6*time.Second), pass.CallResult{FirstByte: 400 * time.Millisecond, Duration: 2 * time.Second, Events: 1})
	if got := c.Take(); len(got) != 1 || got[0].Late != 0 {
		t.Errorf("late again: %+v", got)
	}
}

// Guards against demand that grows with refusals, because callers that were refused come again, and against leaving out callers whose
// timeouts are always short.
func TestReturningCallers(t *testing.T) {
	t.Parallel()
	c := newTally(true)
	c.Arrived(call("m", 2*time.Second))
	c.Ended(call("m", 2*time.Second), pass.CallResult{Refused: true})
	c.Arrived(call("m", time.Second))
	c.Arrived(call("m", time.Second))
	if got := c.Take(); len(got) != 1 || got[0].Arrivals != 2 || got[0].Refused != 1 {
		t.Errorf("a refused call, its return and another call count as %+v", got)
	}
}

// Guards against counting for deployments that do not ask for scaling, and against names of models that callers make up.
func TestCountsOnlyWhatIsAsked(t *testing.T) {
	t.Parallel()
	fixed, plain := call("m", 0), call("m", 0)
	fixed.Service.Scaling, plain.Service.Engine = nil, nil
	for name, c := range map[string]*pass.Call{"fixed number of servers": fixed, "no engine": plain, "unknown model": call("x", 0)} {
		n := newTally(true)
		n.Arrived(c)
		n.Answered(c, time.Second)
		n.Ended(c, pass.CallResult{Refused: true})
		if got := n.Take(); len(got) != 0 {
			t.Errorf("%s: %+v", name, got)
		}
	}
	off := newTally(false)
	off.Arrived(call("m", 0))
	off.Answered(call("m", 0), time.Second)
	off.Ended(call("m", 0), pass.CallResult{})
	if got := off.Take(); len(got) != 0 {
		t.Errorf("not asked for: %+v", got)
	}
}

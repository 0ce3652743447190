package relay_test

import (
	"context"
	"testing"

	"geraniumhollow/internal/conf/schema"
	"geraniumhollow/internal/conf/view"
	"geraniumhollow/internal/core/fault"
	"geraniumhollow/internal/core/tasks"
	"geraniumhollow/internal/fake/model"
	"geraniumhollow/internal/fake/store"
	"geraniumhollow/internal/node/guard"
	"geraniumhollow/internal/node/relay"
	"geraniumhollow/internal/plat/engine"
	"github.com/hashicorp/go-hclog"
)

// instanceGrants grants everything, for the instance that answers at the moment.
type instanceGrants struct{}

func (instanceGrants) Acquire(ctx context.Context, s view.Server, _ int) (relay.Grant, error) {
	c := engine.New(s.Address, "")
	defer c.Close()
	r, err := c.Load(ctx)
	return relay.Grant{Server: s.Name, Instance: r.Instance}, err
}

func (instanceGrants) Release(relay.Grant, relay.Result) {}

// Guards against a request that crashes one engine after the other before the load reports show the
// first death, and against one that runs more often when its caller sends it again.
func TestCrashingRequest(t *testing.T) {
	t.Parallel()
	ctx, cancel := context.WithCancel(context.Background())
	g := tasks.New(ctx)
	t.Cleanup(func() {
		cancel()
		if err := g.Wait(); err != nil {
			t.Error(err)
		}
	})
	const engines, allowedAlone = 8, 2
	gd := guard.New(g, guard.Deps{Log: hclog.NewNullLogger(), Table: store.New()})
	b := newBench(t, engines, model.Faults{}, schema.Limits{CrashRuns: allowedAlone}, relay.Deps{
		Guard: gd, Granter: instanceGrants{},
	})
	for _, e := range b.engines {
		e.SetFaults(model.Faults{CrashOnPrompt: prompt})
	}
	for range 3 {
		c := &collector{t: t}
		ferr := b.relay.Complete(t.Context(), b.completion(answerTokens), c.sink)
		if ferr == nil || ferr.Outcome() == fault.Ran {
			t.Errorf("a request that crashes engines was answered: %v %q", ferr, c.String())
		}
	}
	runs := 0
	for _, e := range b.engines {
		runs += e.Stats().RunsOfPrompt[model.PromptHash(prompt)]
	}
	if runs != 1+allowedAlone {
		t.Errorf("the request ran %d times, want %d: once unsuspected and %d times alone", runs, 1+allowedAlone, allowedAlone)
	}
}

// Guards against a failed request that is taken for a whole answer: the error of a connection that an
// engine closed has io.EOF among its causes, which also marks the end of an answer.
func TestFailureIsNoEnd(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name  string
		fault model.Faults
	}{
		{"connection closed without an answer", model.Faults{CrashOnPrompt: prompt}},
		{"stream cut without its last frame", model.Faults{CutAfterTokens: 1}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			b := newBench(t, 3, model.Faults{}, schema.Limits{}, relay.Deps{})
			for _, e := range b.engines {
				e.SetFaults(tt.fault)
			}
			c := &collector{t: t}
			if ferr := b.relay.Complete(t.Context(), b.completion(answerTokens), c.sink); ferr == nil {
				t.Errorf("streamed: %d bytes were taken for the whole answer", len(c.String()))
			}
			if text, _, ferr := b.relay.CompleteWhole(t.Context(), b.completion(answerTokens)); ferr == nil {
				t.Errorf("whole: %d bytes were taken for the whole answer", len(text))
			}
		})
	}
}

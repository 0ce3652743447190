package claim_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"geraniumhollow/internal/core/fault"
	"geraniumhollow/internal/core/tasks"
	"geraniumhollow/internal/fake/store"
	"geraniumhollow/internal/plat/table"
	"geraniumhollow/internal/route/claim"
)

// Guards against a call that runs a second time because a restored table has forgotten its claim.
func TestRestoredTable(t *testing.T) {
	t.Parallel()
	lost := claim.CallEnded{Result: claim.ResultUnknown, Fault: fault.New(fault.BackendFailed, fault.Unknown, "lost")}
	notRun := claim.CallEnded{Result: claim.NotRun, Fault: fault.New(fault.NoBackend, fault.NotRun, "none")}
	tests := []struct {
		name string
		end  claim.CallEnded
		// resendTo is the node that the call is sent to again, after wait.
		resendTo    int
		wait        time.Duration
		wantSends   int
		wantOutcome fault.Outcome
	}{
		{"same node at once", answered("ok"), 0, 0, 0, fault.Ran},
		{"same node, lost call", lost, 0, 0, 0, fault.Unknown},
		{"other node at once", answered("ok"), 1, 0, 0, fault.Unknown},
		{"other node a little later", answered("ok"), 1, 3 * time.Second, 0, fault.Ran},
		{"other node much later", answered("ok"), 1, time.Hour, 0, fault.Ran},
		{"other node much later, lost call", lost, 1, time.Hour, 0, fault.Unknown},
		{"other node much later, call that did not run", notRun, 1, time.Hour, 1, fault.Ran},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				fs := store.New()
				nodes := []*claim.Store{newStore(t, fs, fs.Objects()), newStore(t, fs, fs.Objects())}
				ctx, cancel := context.WithCancel(t.Context())
				g := tasks.New(ctx)
				for _, n := range nodes {
					g.Go("claims", n.Run)
				}
				// A row that the copy has.
				if _, err := fs.Commit(t.Context(), table.Insert(claim.Key("a", "old"), []byte("{}"))); err != nil {
					t.Fatal(err)
				}
				time.Sleep(time.Minute)
				runCall(t, nodes[0], call("1", "f"), tt.end, func(claim.Action) {})
				time.Sleep(time.Second / 2)
				fs.Restore(30 * time.Second)
				time.Sleep(tt.wait)
				// Every resend that is told of an unsettled table is followed by another one.
				for i, wait := range []time.Duration{0, 10 * time.Second} {
					time.Sleep(wait)
					resent, sends := runCall(t, nodes[tt.resendTo], call("2"+string(rune('a'+i)), "f"), answered("again"), func(claim.Action) {})
					wantSends, wantOutcome := tt.wantSends, tt.wantOutcome
					switch {
					case i == 1 && tt.end.Result == claim.Answered:
						wantSends, wantOutcome = 0, fault.Ran
					case i == 1:
						wantSends = 0
					}
					if sends != wantSends || outcome(resent) != wantOutcome {
						t.Errorf("resend %d: %d sends, outcome %s; want %d, %s", i, sends, outcome(resent), wantSends, wantOutcome)
					}
					if outcome(resent) == fault.Ran && sends == 0 && tt.end.Result == claim.Answered && string(resent.Answer.Body) != "ok" {
						t.Errorf("resend %d got the answer %q of another run", i, resent.Answer.Body)
					}
				}
				cancel()
				if err := g.Wait(); err != nil {
					t.Error(err)
				}
			})
		})
	}
}

// Guards against lost claims that are not written again because the last call of the node did not run: the row of its claim
// need not be in the table.
func TestRestoredTableAfterReleasedClaim(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		fs := store.New()
		first, second := newStore(t, fs, fs.Objects()), newStore(t, fs, fs.Objects())
		ctx, cancel := context.WithCancel(t.Context())
		g := tasks.New(ctx)
		g.Go("claims", first.Run)
		time.Sleep(time.Minute)
		runCall(t, first, call("1", "f"), answered("ok"), func(claim.Action) {})
		released := claim.Record{Token: "2", State: claim.Released}
		first.Sent(claim.Key("a", "other"), released)
		if _, err := first.Write(t.Context(), claim.Key("a", "other"), claim.Write{Record: released}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second / 2)
		fs.Restore(30 * time.Second)
		time.Sleep(10 * time.Second)
		for i, wait := range []time.Duration{0, 10 * time.Second} {
			time.Sleep(wait)
			if _, sends := runCall(t, second, call("3"+string(rune('a'+i)), "f"), answered("again"), func(claim.Action) {}); sends != 0 {
				t.Errorf("resend %d: %d sends", i, sends)
			}
		}
		cancel()
		if err := g.Wait(); err != nil {
			t.Error(err)
		}
	})
}

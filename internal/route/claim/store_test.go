package claim_test

import (
	"context"
	"strings"
	"testing"
	"time"

	"geraniumhollow/internal/core/fault"
	"geraniumhollow/internal/fake/store"
	"geraniumhollow/internal/plat/object"
	"geraniumhollow/internal/plat/table"
	"geraniumhollow/internal/route/claim"
)

const (
	requestTimeout = 30 * time.Second
	callTimeout    = time.Second
)

var start = time.Date(2026, 1, 5, 8, 0, 0, 0, time.UTC)

func call(token, fingerprint string) claim.Call {
	return claim.Call{Token: token, Fingerprint: fingerprint, Node: "n", RequestID: "r-" + token, Timeout: requestTimeout}
}

// runCall runs a Decider against a store until it stops, and returns its reply and the number of sends.
func runCall(t *testing.T, st *claim.Store, c claim.Call, end claim.CallEnded, beforeAction func(claim.Action)) (claim.Reply, int) {
	t.Helper()
	ctx, key, now := context.Background(), claim.Key("a", "k"), start
	d := claim.New(c)
	var reply claim.Reply
	sends := 0
	for act := d.Start(now); ; {
		beforeAction(act)
		var ev claim.Event
		switch a := act.(type) {
		case claim.Write:
			ev, _ = st.Write(ctx, key, a)
		case claim.Read:
			ev, _ = st.Read(ctx, key, a)
		case claim.Wait:
			now = now.Add(a.For)
			ev = claim.Elapsed{}
		case claim.Send:
			sends++
			st.Sent(key, a.Record)
			ev = end
		case claim.Reply:
			reply = a
			ev = claim.Replied{}
		case claim.Stop:
			return reply, sends
		}
		now = now.Add(time.Millisecond)
		act = d.Next(now, ev)
	}
}

func answered(body string) claim.CallEnded {
	return claim.CallEnded{Result: claim.Answered, Answer: claim.Answer{Status: 201, Body: []byte(body)}}
}

// Guards against a call that runs twice or without a claim, and against a wrong outcome for the first
// caller or for a repeated request, when the call or the table fails.
func TestClaimFaults(t *testing.T) {
	t.Parallel()
	notRun := claim.CallEnded{Result: claim.NotRun, Fault: fault.New(fault.NoBackend, fault.NotRun, "none")}
	lost := claim.CallEnded{Result: claim.ResultUnknown, Fault: fault.New(fault.BackendFailed, fault.Unknown, "lost")}
	large := answered(strings.Repeat("x", 20<<10))
	noFault := func(*store.Store, claim.Action) {}
	isReply := func(a claim.Action) bool { _, ok := a.(claim.Reply); return ok }
	tests := []struct {
		name              string
		end               claim.CallEnded
		fault             func(*store.Store, claim.Action)
		wantSends         int
		wantOutcome       fault.Outcome
		wantRepeatSends   int
		wantRepeatOutcome fault.Outcome
		fingerprint       string
	}{
		{"answer is stored", answered("ok"), noFault, 1, fault.Ran, 0, fault.Ran, "f"},
		{"large answer is stored", large, noFault, 1, fault.Ran, 0, fault.Ran, "f"},
		{"different body", answered("ok"), noFault, 1, fault.Ran, 0, fault.NotRun, "g"},
		{"call that did not run releases the key", notRun, noFault, 1, fault.NotRun, 1, fault.Ran, "f"},
		{"lost call", lost, noFault, 1, fault.Unknown, 0, fault.Unknown, "f"},
		{"table down", answered("ok"), func(s *store.Store, a claim.Action) { s.SetDown(!isReply(a)) }, 0, fault.NotRun, 1, fault.Ran, "f"},
		{"response to the claim write lost", answered("ok"), func(s *store.Store, a claim.Action) {
			if w, ok := a.(claim.Write); ok && w.Record.State == claim.Claimed {
				s.LoseResponses(1)
			}
		}, 1, fault.Ran, 0, fault.Ran, "f"},
		{"final write fails", answered("ok"), func(s *store.Store, a claim.Action) {
			if isReply(a) {
				s.SetDown(true)
			}
		}, 1, fault.Ran, 0, fault.Unknown, "f"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			fs := store.New()
			st := newStore(t, fs, fs.Objects())
			reply, sends := runCall(t, st, call("1", "f"), tt.end, func(a claim.Action) { tt.fault(fs, a) })
			if sends != tt.wantSends || outcome(reply) != tt.wantOutcome {
				t.Errorf("first: %d sends, outcome %s; want %d, %s", sends, outcome(reply), tt.wantSends, tt.wantOutcome)
			}
			fs.SetDown(false)
			// Another node has no memory of the call.
			resent, sends := runCall(t, newStore(t, fs, fs.Objects()), call("2", tt.fingerprint), answered("ok"), func(claim.Action) {})
			if sends != tt.wantRepeatSends || outcome(resent) != tt.wantRepeatOutcome {
				t.Errorf("repeated request: %d sends, outcome %s; want %d, %s", sends, outcome(resent), tt.wantRepeatSends, tt.wantRepeatOutcome)
			}
			if tt.wantRepeatSends == 0 && outcome(resent) == fault.Ran && string(resent.Answer.Body) != string(tt.end.Answer.Body) {
				t.Errorf("the repeated request received a different answer")
			}
		})
	}
}

func outcome(r claim.Reply) fault.Outcome {
	if r.Fault == nil {
		return fault.Ran
	}
	return r.Fault.Outcome()
}

// delayedTable does not apply the first writes but keeps them for the test to apply later.
type delayedTable struct {
	*store.Store
	delayed   []table.Txn
	remaining int
}

func (dt *delayedTable) Commit(ctx context.Context, txn table.Txn) (table.Revision, error) {
	if dt.remaining > 0 {
		dt.remaining--
		dt.delayed = append(dt.delayed, txn)
		return table.Absent, table.ErrUnknown
	}
	return dt.Store.Commit(ctx, txn)
}

// Guards against a claim write that takes effect after the reply not_run. It would leave a claim
// without an active holder, and every repeated request would receive the outcome unknown.
func TestLateClaimWrite(t *testing.T) {
	t.Parallel()
	dt := &delayedTable{Store: store.New(), remaining: 1}
	st := newStore(t, dt, dt.Objects())
	reply, sends := runCall(t, st, call("1", "f"), answered("ok"), func(a claim.Action) {
		_, read := a.(claim.Read)
		dt.SetDown(read)
	})
	if sends != 0 || outcome(reply) != fault.NotRun {
		t.Fatalf("%d sends, outcome %s; want 0, not_run", sends, outcome(reply))
	}
	dt.SetDown(false)
	for _, txn := range dt.delayed {
		_, _ = dt.Store.Commit(t.Context(), txn)
	}
	resent, sends := runCall(t, st, call("2", "f"), answered("ok"), func(claim.Action) {})
	if sends != 1 || outcome(resent) != fault.Ran {
		t.Errorf("repeated request: %d sends, outcome %s; want 1, ran", sends, outcome(resent))
	}
}

// Guards against a claim row that is removed before its retention has passed, or never.
func TestSweep(t *testing.T) {
	t.Parallel()
	fs := store.New()
	st := newStore(t, fs, fs.Objects())
	runCall(t, st, call("1", "f"), answered("ok"), func(claim.Action) {})
	for _, tt := range []struct {
		at   time.Duration
		want int
	}{{claim.Retention, 0}, {claim.Retention + 2*time.Hour, 1}} {
		if n, err := st.Sweep(t.Context(), start.Add(tt.at)); err != nil || n != tt.want {
			t.Errorf("sweep after %s removed %d rows (%v), want %d", tt.at, n, err, tt.want)
		}
	}
	if got, _ := st.Read(t.Context(), claim.Key("a", "k"), claim.Read{Timeout: callTimeout}); got.Result != claim.Absent {
		t.Error("the row still exists after its retention")
	}
}

// Guards against different pairs of account and idempotency key that share a row.
func TestKey(t *testing.T) {
	t.Parallel()
	if claim.Key("a", "b/c") == claim.Key("a/b", "c") {
		t.Error("keys are equal")
	}
}

// Guards against a repeated request that waits past its deadline for a running attempt, or that
// receives not_run although that attempt may run.
func TestInProgress(t *testing.T) {
	t.Parallel()
	fs := store.New()
	st := newStore(t, fs, fs.Objects())
	held := claim.Write{Timeout: callTimeout, Record: claim.Record{
		Fingerprint: "f", State: claim.Claimed, Token: "1", ClaimedAt: start, TimeoutMs: time.Hour.Milliseconds(),
	}}
	if _, err := st.Write(t.Context(), claim.Key("a", "k"), held); err != nil {
		t.Fatal(err)
	}
	waited := time.Duration(0)
	reply, sends := runCall(t, st, call("2", "f"), answered("ok"), func(a claim.Action) {
		if w, ok := a.(claim.Wait); ok {
			waited += w.For
		}
	})
	if sends != 0 || outcome(reply) != fault.Unknown || reply.Fault.Code() != fault.RequestInProgress {
		t.Errorf("%d sends, %v; want none, request_in_progress unknown", sends, reply.Fault)
	}
	if waited > requestTimeout+time.Second {
		t.Errorf("waited %s, the deadline is %s", waited, requestTimeout)
	}
}

func newStore(t *testing.T, tab table.Table, objects object.Store) *claim.Store {
	t.Helper()
	st, err := claim.NewStore(tab, objects)
	if err != nil {
		t.Fatal(err)
	}
	return st
}

package pass_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"geraniumhollow/internal/node/pass"
	"geraniumhollow/internal/report/metric"
	"geraniumhollow/internal/route/match"
	"geraniumhollow/internal/route/retry"
	"geraniumhollow/internal/route/shed"
	"github.com/hashicorp/go-hclog"
)

// newHoldingRelay starts a node as newSilentRelay does, with a budget for what it holds of answers.
func newHoldingRelay(t *testing.T, answers *shed.Budget, log hclog.Logger, silent silentFrom, route match.Route, servers ...http.HandlerFunc) (string, func()) {
	t.Helper()
	picker := inOrder{onPick: func(context.Context, *pass.Call) {}, silent: silent, answers: answers}
	return newPickedRelay(t, log, metric.New(), nil, picker, route, retry.NewBudgetWith(0, 9), servers...)
}

func largeEvent(id int) string {
	return fmt.Sprintf("id: %d\ndata: %s\n\n", id, strings.Repeat("x", 100<<10))
}

// largeEvents is a server that sends large events up to the one with an ID, and then ends as told.
func largeEvents(to int, end func(w http.ResponseWriter, r *http.Request)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", streamType)
		last, _ := strconv.Atoi(r.Header.Get("Last"))
		for id := last + 1; id <= to; id++ {
			_, _ = io.WriteString(w, largeEvent(id))
		}
		_ = http.NewResponseController(w).Flush()
		end(w, r)
	}
}

// Guards against memory of a held answer that is not returned, so that later answers find none, and against a large event or
// failure that is changed on its way.
func TestHeldMemoryIsReturned(t *testing.T) {
	t.Parallel()
	const events = 3
	wholeLarge := largeEvent(1) + largeEvent(2) + largeEvent(3)
	ends := func(http.ResponseWriter, *http.Request) {}
	stops := func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }
	cuts := func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, largeEvent(events)[:50<<10])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	goesOn := func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(3 * silence / 2)
		_, _ = io.WriteString(w, largeEvent(events))
	}
	failure := strings.Repeat("f", 60<<10)
	failsAtLength := func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusInternalServerError)
		_, _ = io.WriteString(w, failure)
	}
	sound := largeEvents(events, ends)
	tests := map[string]struct {
		kind    match.Kind
		silent  silentFrom
		servers []http.HandlerFunc
		status  int
		want    string
	}{
		"large events":               {match.Stream, neverSilent, []http.HandlerFunc{sound}, http.StatusOK, wholeLarge},
		"cut within an event":        {match.Stream, neverSilent, []http.HandlerFunc{largeEvents(2, cuts), sound}, http.StatusOK, wholeLarge},
		"beside a silent server":     {match.Stream, silentFromFirstPart, []http.HandlerFunc{largeEvents(1, stops), sound}, http.StatusOK, wholeLarge},
		"silent server that goes on": {match.Stream, silentFromFirstPart, []http.HandlerFunc{largeEvents(2, goesOn), sound}, http.StatusOK, wholeLarge},
		"failure, then an answer":    {match.Idempotent, neverSilent, []http.HandlerFunc{failsAtLength, serves}, http.StatusOK, whole},
		"failures":                   {match.Idempotent, neverSilent, []http.HandlerFunc{failsAtLength, failsAtLength}, http.StatusInternalServerError, failure},
		"failure beside a silent server": {
			match.Idempotent, silentFromStart, []http.HandlerFunc{stops, failsAtLength, failsAtLength, serves}, http.StatusOK, whole,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			held := shed.New(1 << 20)
			route := match.Route{Name: "r", Kind: tt.kind, Resumable: tt.kind == match.Stream, MaxAttempts: len(tt.servers), Timeout: 5 * time.Second, Objective: time.Second}
			node, _ := newHoldingRelay(t, held, hclog.NewNullLogger(), tt.silent, route, tt.servers...)
			status, body, err := get(t, node)
			if status != tt.status || body != tt.want || err != nil {
				t.Errorf("got %d and %d bytes, error %v, want %d and %d bytes", status, len(body), err, tt.status, len(tt.want))
			}
			for end := time.Now().Add(5 * time.Second); held.Stats().Bodies > 0; time.Sleep(time.Millisecond) {
				if time.Now().After(end) {
					t.Fatalf("the call has ended, and %+v is held", held.Stats())
				}
			}
		})
	}
}

// Guards against an attempt that holds more of an answer than there is memory, or that ends without its reason in the log.
func TestAnswerBeyondMemory(t *testing.T) {
	t.Parallel()
	const memory = 64 << 10
	held := shed.New(memory)
	other := held.Open(time.Now(), "", memory/2, memory, noSource{})
	if !other.Grow(time.Now(), memory/2) || !other.Complete() {
		t.Fatal("a body that is alone was shed")
	}
	var log bytes.Buffer
	route := match.Route{Name: "r", Kind: match.Stream, Resumable: true, MaxAttempts: 1, Timeout: 5 * time.Second}
	sound := largeEvents(1, func(http.ResponseWriter, *http.Request) {})
	node, end := newHoldingRelay(t, held, hclog.New(&hclog.LoggerOptions{Output: &log}), neverSilent, route, sound)
	if status, body, err := get(t, node); status == http.StatusOK || body == largeEvent(1) {
		t.Errorf("got %d and %d bytes, error %v", status, len(body), err)
	}
	end()
	if !strings.Contains(log.String(), "no memory for the answer") {
		t.Errorf("the reason is not in the log:\n%s", log.String())
	}
}

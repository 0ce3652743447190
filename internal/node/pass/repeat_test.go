package pass_test

import (
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"geraniumhollow/internal/fake/noise"
	"geraniumhollow/internal/route/match"
	"geraniumhollow/internal/route/retry"
)

// Guards against a server that repeats an event which the caller has without end: the node keeps all of it, or waits for the end
// instead of asking another server (review case 6, LOST).
func TestRepeatedEvents(t *testing.T) {
	t.Parallel()
	// The events in a row that a node takes have 1 MiB and a part of the next one.
	const mostSent, mostTaken = 256 << 20, 2 << 20
	resumes := func(w http.ResponseWriter, r *http.Request) {
		writeEvents(w, r, 1)
		select {
		case <-r.Context().Done():
		case <-time.After(time.Second):
			writeEvents(w, r, streamEvents)
		}
	}
	tests := map[string]struct {
		silent silentFrom
		first  http.HandlerFunc
		others []http.HandlerFunc
	}{
		"beside a silent server":                     {silentFromFirstPart, hangs, []http.HandlerFunc{serves}},
		"beside a silent server, no other one":       {silentFromFirstPart, pauses, nil},
		"beside a server that is silent for a while": {silentFromFirstPart, resumes, nil},
		"after a cut": {neverSilent, cutsStream, []http.HandlerFunc{serves}},
	}
	event := "id: 1\ndata: " + strings.Repeat("x", 32<<10) + "\n\n"
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var sent atomic.Int64
			repeats := sendsWithoutEnd(event, mostSent, &sent)
			route := match.Route{Name: "r", Kind: match.Stream, Resumable: true, MaxAttempts: 4, Timeout: 5 * time.Second}
			servers := append([]http.HandlerFunc{tt.first, repeats}, tt.others...)
			status, body, err := get(t, newSilentRelay(t, tt.silent, route, retry.NewBudgetWith(0, 9), servers...))
			if status != http.StatusOK || body != whole || err != nil {
				t.Errorf("got %d and %d bytes, error %v, want the whole stream", status, len(body), err)
			}
			if sent.Load() > mostTaken+noise.Buffered(t) {
				t.Errorf("the node took %d bytes of an event that its caller has", sent.Load())
			}
		})
	}
}

// sendsWithoutEnd is a server that sends a part of a stream again and again, until the node closes the connection or most bytes are sent.
func sendsWithoutEnd(part string, most int64, sent *atomic.Int64) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", streamType)
		for sent.Load() < most {
			n, err := io.WriteString(w, part)
			if sent.Add(int64(n)); err != nil {
				return
			}
		}
	}
}

// Guards against an error of a stream that is forgotten while the part before it is kept for the caller.
func TestGapAfterHead(t *testing.T) {
	t.Parallel()
	skips := answers(streamType, "id: 1\n\nid: 2\n\nid: 4\n\n")
	route := match.Route{Name: "r", Kind: match.Stream, Resumable: true, MaxAttempts: 4, Timeout: 5 * time.Second}
	status, body, err := get(t, newSilentRelay(t, silentFromFirstPart, route, retry.NewBudgetWith(0, 9), hangs, skips, serves))
	if status != http.StatusOK || body != whole || err != nil {
		t.Errorf("got %d %q, error %v, want the whole stream", status, body, err)
	}
}

package pass_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"geraniumhollow/internal/fake/noise"
	"geraniumhollow/internal/node/pass"
	"geraniumhollow/internal/report/metric"
	"geraniumhollow/internal/route/match"
	"geraniumhollow/internal/route/retry"
	"github.com/hashicorp/go-hclog"
)

// watchedSlot is a reservation of a server that is silent while it makes no progress.
type watchedSlot struct {
	*slot
	silent *time.Timer
}

func newWatchedSlot(s *slot, cancel context.CancelCauseFunc) *watchedSlot {
	return &watchedSlot{slot: s, silent: time.AfterFunc(silence, func() { cancel(pass.ErrStalled) })}
}

func (s *watchedSlot) Progress()            { s.silent.Reset(silence) }
func (s *watchedSlot) Release(pass.Outcome) { s.silent.Stop() }

// newWatchfulRelay starts a node as newRelay does, whose servers are silent while they make no progress.
func newWatchfulRelay(t *testing.T, route match.Route, servers ...http.HandlerFunc) string {
	t.Helper()
	picker := inOrder{onPick: func(context.Context, *pass.Call) {}, silent: withoutProgress}
	node, _ := newPickedRelay(t, hclog.NewNullLogger(), metric.New(), nil, picker, route, retry.NewBudgetWith(0, 9), servers...)
	return node
}

// withoutComments returns the events of a stream that have an ID.
func withoutComments(body string) string {
	var b strings.Builder
	for event := range strings.SplitAfterSeq(body, "\n\n") {
		if strings.HasPrefix(event, "id:") {
			b.WriteString(event)
		}
	}
	return b.String()
}

// Parts of a stream that bring the caller of a resumed stream nothing.
var staleParts = map[string]string{
	"comments":            ": c\n\n",
	"event and a comment": "id: 1\n\n: c\n\n",
	"empty lines":         "\n\n",
	"fields without data": "retry: 1000\n\n",
}

// Guards against a server that sends comments instead of the events which the caller lacks: it took the place of a sound server
// that was silent for a while, and kept the stream until its deadline.
func TestCommentsAreNoProgress(t *testing.T) {
	t.Parallel()
	for name, part := range staleParts {
		stale := func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Content-Type", streamType)
			for r.Context().Err() == nil {
				_, _ = io.WriteString(w, part)
				_ = http.NewResponseController(w).Flush()
				time.Sleep(silence / 10)
			}
		}
		tests := map[string][]http.HandlerFunc{
			"beside a server that is silent for a while": {pauses, stale},
			"beside a silent server":                     {hangs, stale, serves},
			"after a cut":                                {cutsStream, stale, serves},
			"from the start":                             {stale, serves},
		}
		for when, servers := range tests {
			t.Run(name+" "+when, func(t *testing.T) {
				t.Parallel()
				route := match.Route{Name: "r", Kind: match.Stream, Resumable: true, MaxAttempts: 4, Timeout: 5 * time.Second}
				status, body, err := get(t, newWatchfulRelay(t, route, servers...))
				if status != http.StatusOK || withoutComments(body) != whole || err != nil {
					t.Errorf("got %d %q, error %v, want the whole stream", status, withoutComments(body), err)
				}
			})
		}
	}
}

// Guards against comments without end that count as new events, so that the server is never given up.
func TestCommentsWithoutEnd(t *testing.T) {
	t.Parallel()
	const mostSent, mostTaken = 256 << 20, 2 << 20
	for name, part := range staleParts {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var sent atomic.Int64
			floods := sendsWithoutEnd(strings.Repeat(part, 4<<10), mostSent, &sent)
			route := match.Route{Name: "r", Kind: match.Stream, Resumable: true, MaxAttempts: 4, Timeout: 5 * time.Second}
			status, body, err := get(t, newRelay(t, route, retry.NewBudgetWith(0, 9), cutsStream, floods, serves))
			if status != http.StatusOK || withoutComments(body) != whole || err != nil {
				t.Errorf("got %d and %d bytes, error %v, want the whole stream", status, len(body), err)
			}
			if sent.Load() > mostTaken+noise.Buffered(t) {
				t.Errorf("the node took %d bytes that bring its caller nothing", sent.Load())
			}
		})
	}
}

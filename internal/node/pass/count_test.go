package pass_test

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"geraniumhollow/internal/node/pass"
	"geraniumhollow/internal/report/metric"
	"geraniumhollow/internal/route/match"
	"geraniumhollow/internal/route/retry"
	"github.com/hashicorp/go-hclog"
)

// Guards against calls that began to run and are not counted, against counts of those that did not or of messages that are no answers
// of a server, and against calls that are counted with each attempt: a window of usage was off by a tenth while many were resumed.
func TestBeganCounts(t *testing.T) {
	t.Parallel()
	idempotent := match.Route{Kind: match.Idempotent, MaxAttempts: 3, Timeout: 2 * time.Second}
	stream := match.Route{Kind: match.Stream, Resumable: true, MaxAttempts: 3, Timeout: 2 * time.Second}
	tests := []struct {
		name    string
		route   match.Route
		servers []http.HandlerFunc
		want    int32
	}{
		{"served", idempotent, []http.HandlerFunc{answers("text/plain", "x")}, 1},
		{"refused", idempotent, []http.HandlerFunc{refuses, answers("text/plain", "x")}, 1},
		{"failed", idempotent, []http.HandlerFunc{fails, answers("text/plain", "x")}, 1},
		{"no answer of a server", idempotent, []http.HandlerFunc{unsigned, answers("text/plain", "x")}, 1},
		{"resumed", stream, []http.HandlerFunc{cutsStream, serves}, 1},
	}
	for _, tt := range tests {
		var n atomic.Int32
		picker := inOrder{onPick: func(context.Context, *pass.Call) {}, began: func(string) { n.Add(1) }}
		budget := retry.NewBudgetWith(0, 10)
		node, _ := newPickedRelay(t, hclog.NewNullLogger(), metric.New(), nil, picker, tt.route, budget, tt.servers...)
		if status, _, err := get(t, node); status != http.StatusOK || err != nil {
			t.Errorf("%s: status %d, %v", tt.name, status, err)
		}
		if got := n.Load(); got != tt.want {
			t.Errorf("%s: %d calls are counted, want %d", tt.name, got, tt.want)
		}
	}
}

package pass_test

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"time"

	"geraniumhollow/internal/node/pass"
	"geraniumhollow/internal/report/metric"
	"geraniumhollow/internal/route/match"
	"geraniumhollow/internal/route/retry"
	"github.com/hashicorp/go-hclog"
)

// observer records what it is told. It implements pass.DemandObserver.
type observer struct {
	mu       sync.Mutex
	arrived  int
	answered []time.Duration
	ended    []pass.CallResult
}

func (o *observer) Arrived(*pass.Call) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.arrived++
}

func (o *observer) Answered(_ *pass.Call, firstByte time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.answered = append(o.answered, firstByte)
}

func (o *observer) Ended(_ *pass.Call, r pass.CallResult) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.ended = append(o.ended, r)
}

// Guards against calls that are counted as demand more than once or not at all, and against taking failures for a lack of room.
func TestObservesDemand(t *testing.T) {
	t.Parallel()
	for name, tt := range map[string]struct {
		servers []http.HandlerFunc
		refused bool
		events  int
	}{
		"served":            {[]http.HandlerFunc{serves}, false, streamEvents},
		"resumed":           {[]http.HandlerFunc{cutsStream, serves}, false, streamEvents},
		"refused by server": {[]http.HandlerFunc{refuses, refuses}, true, 0},
		"no server":         {nil, true, 0},
		"failed":            {[]http.HandlerFunc{endsEarly, endsEarly}, false, 0},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			o := &observer{}
			route := match.Route{Name: "r", Kind: match.Stream, Resumable: true, MaxAttempts: 2, Timeout: 5 * time.Second}
			picker := inOrder{onPick: func(context.Context, *pass.Call) {}, demand: o}
			node, end := newPickedRelay(t, hclog.NewNullLogger(), metric.New(), nil, picker, route, retry.NewBudgetWith(0, 9), tt.servers...)
			_, _, _ = get(t, node)
			end()
			o.mu.Lock()
			defer o.mu.Unlock()
			if o.arrived != 1 || len(o.ended) != 1 {
				t.Fatalf("%d arrived, ended: %+v", o.arrived, o.ended)
			}
			if r := o.ended[0]; r.Refused != tt.refused || r.Events != tt.events || (r.FirstByte > 0) != (tt.events > 0) {
				t.Errorf("result %+v", r)
			}
			if r := o.ended[0]; (len(o.answered) == 1) != (r.FirstByte > 0) || len(o.answered) > 1 || len(o.answered) == 1 && o.answered[0] != r.FirstByte {
				t.Errorf("answered %v, result %+v", o.answered, r)
			}
		})
	}
}

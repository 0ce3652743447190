package picks

import (
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"runtime"
	"time"

	"geraniumhollow/internal/route/choose"
	"github.com/cockroachdb/errors"
)

// Rounds of a speed measurement, and calls in a round. They are short and the fastest is reported, so that other load of the
// machine disturbs the figures little.
const (
	speedRounds = 200
	speedCalls  = 1000
)

var errNoServer = errors.New("no server was chosen")

// speed prints decisions a second on one core.
func (sc scenario) speed(w io.Writer) error {
	_, _ = fmt.Fprint(w, "| chooser | servers | decisions/s | ns each | allocations each |\n| --- | --- | --- | --- | --- |\n")
	for _, servers := range []int{65, 600} {
		tab, req := speedTable(servers, rand.New(rand.NewPCG(sc.Seed, 3)))
		for _, c := range sc.choosers() {
			chooser, now := c.make(rand.New(rand.NewPCG(sc.Seed, 4))), epoch.Add(time.Second)
			each, allocs, err := measure(func() error {
				if _, ok := chooser.Choose(tab, now, req); !ok {
					return errNoServer
				}
				return nil
			})
			if err != nil {
				return errors.Newf("time %s: %w", c.name, err)
			}
			_, _ = fmt.Fprintf(w, "| %s | %d | %.0f | %d | %.2f |\n", c.name, servers,
				float64(time.Second)/float64(each), each.Nanoseconds(), allocs)
		}
	}
	return nil
}

// speedTable returns servers with unequal loads, and a request that has hits on eight of them.
func speedTable(servers int, rnd *rand.Rand) (*choose.Table, choose.Request) {
	tab := choose.NewTable(choose.DefaultConfig(), epoch)
	req := choose.Request{Model: modelName, PromptTokens: 3000, AnswerTokens: answerMax}
	for i := range servers {
		id := tab.Put(choose.Spec{
			Name: fmt.Sprint(i), Model: modelName, OneWayDelay: time.Duration(i%dataCentres) * oneWay,
			ColdRequests: 2, WarmRequests: slots, WarmTokens: memoryTokens,
		})
		tab.ApplyReport(id, choose.Report{
			Instance: "i", Open: true, Running: rnd.IntN(slots), Waiting: rnd.IntN(4),
			HeldTokens: rnd.IntN(memoryTokens), CapacityTokens: memoryTokens, CreatedAt: epoch,
		})
		if i%(servers/8) == 0 {
			req.Hits = append(req.Hits, choose.Hit{Server: id, Tokens: 2000})
		}
	}
	return tab, req
}

// measure returns the time and the allocations of one call of f.
func measure(f func() error) (time.Duration, float64, error) {
	best, allocs := time.Duration(math.MaxInt64), uint64(0)
	var before, after runtime.MemStats
	for range speedRounds {
		runtime.ReadMemStats(&before)
		start := time.Now()
		for range speedCalls {
			if err := f(); err != nil {
				return 0, 0, err
			}
		}
		best = min(best, time.Since(start)/speedCalls)
		runtime.ReadMemStats(&after)
		allocs = after.Mallocs - before.Mallocs
	}
	return best, float64(allocs) / speedCalls, nil
}

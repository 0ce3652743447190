package picks

import (
	"fmt"
	"io"
	"math/rand/v2"
	"runtime"
	"time"

	"geraniumhollow/internal/route/choose"
	"github.com/cockroachdb/errors"
)

// Rounds of a speed measurement. They are short and the fastest is reported, so that other load of the
// machine disturbs the figures little.
const (
	speedRounds    = 200
	speedDecisions = 1000
)

// speed prints decisions a second on one core.
func (sc scenario) speed(w io.Writer) error {
	_, _ = fmt.Fprint(w, "| chooser | servers | decisions/s | ns each | allocations each |\n| --- | --- | --- | --- | --- |\n")
	for _, servers := range []int{65, 600} {
		tab, req := speedTable(servers, rand.New(rand.NewPCG(sc.Seed, 3)))
		for _, c := range sc.choosers() {
			each, allocs, err := timeChooser(c.make(rand.New(rand.NewPCG(sc.Seed, 4))), tab, req)
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
			Name: fmt.Sprint(i), Model: modelName, Distance: time.Duration(i%dataCentres) * oneWay,
			ColdRequests: 2, WarmRequests: slots, WarmTokens: memoryTokens,
		})
		tab.Observe(id, choose.Report{
			Instance: "i", Open: true, Running: rnd.IntN(slots), Waiting: rnd.IntN(4),
			Held: rnd.IntN(memoryTokens), Capacity: memoryTokens, MadeAt: epoch,
		})
		if i%(servers/8) == 0 {
			req.Hits = append(req.Hits, choose.Hit{Server: id, Tokens: 2000})
		}
	}
	return tab, req
}

func timeChooser(c choose.Chooser, tab *choose.Table, req choose.Request) (time.Duration, float64, error) {
	now := epoch.Add(time.Second)
	best, allocs := time.Duration(1<<62), uint64(0)
	var before, after runtime.MemStats
	for range speedRounds {
		runtime.ReadMemStats(&before)
		start := time.Now()
		for range speedDecisions {
			if _, ok := c.Choose(tab, now, req); !ok {
				return 0, 0, errors.New("no server was chosen")
			}
		}
		best = min(best, time.Since(start)/speedDecisions)
		runtime.ReadMemStats(&after)
		allocs = after.Mallocs - before.Mallocs
	}
	return best, float64(allocs) / speedDecisions, nil
}

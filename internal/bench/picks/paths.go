package picks

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"strconv"
	"time"

	"geraniumhollow/internal/conf/view"
	"geraniumhollow/internal/core/sets"
	"geraniumhollow/internal/node/gate"
	"geraniumhollow/internal/node/pick"
	"geraniumhollow/internal/node/relay"
	"geraniumhollow/internal/plat/engine"
	"geraniumhollow/internal/route/admit"
	"geraniumhollow/internal/route/choose"
	"geraniumhollow/internal/route/prefix"
	"github.com/cockroachdb/errors"
)

// Shape of the measured paths.
const (
	pathServers = 600
	pathBlocks  = 16
	pathWaiting = 1000
)

// path is a step of every request that is measured by itself.
type path struct {
	name string
	make func() (func() error, error)
}

// paths prints the time of what each request does under a lock, at the target size.
func (sc scenario) paths(w io.Writer) error {
	_, _ = fmt.Fprint(w, "\n| path | ns each | allocations each |\n| --- | --- | --- |\n")
	for _, p := range []path{
		{"prefix lookup, 16 blocks with 16 holders", lookupPath},
		{"picker: pick, start and end, 600 servers, 16 blocks", sc.pickPath},
		{"gate: enter and leave, 600 servers, no queue", sc.gatePath},
		{"admission: leave and enter, 1,000 waiting", admitPath},
	} {
		f, err := p.make()
		if err != nil {
			return errors.Newf("prepare %s: %w", p.name, err)
		}
		each, allocs, err := measure(f)
		if err != nil {
			return errors.Newf("time %s: %w", p.name, err)
		}
		_, _ = fmt.Fprintf(w, "| %s | %d | %.2f |\n", p.name, each.Nanoseconds(), allocs)
	}
	return nil
}

func lookupPath() (func() error, error) {
	x, err := prefix.NewIndex(prefix.DefaultEntries)
	if err != nil {
		return nil, errors.Newf("make index: %w", err)
	}
	chain := familyChain(1, pathBlocks)
	for id := range 16 {
		x.RecordSent(id, chain)
	}
	var hits []prefix.Hit
	return func() error {
		hits = x.Lookup(hits[:0], chain)
		return nil
	}, nil
}

// pathFleet returns a fleet whose servers have reported once.
func (sc scenario) pathFleet() (*fleet, error) {
	sc.Servers, sc.Choose.MaxReportAge = pathServers, time.Hour
	f := &fleet{
		scenario: sc, clock: &clock{}, byName: make(map[string]*server), rnd: rand.New(rand.NewPCG(sc.Seed, 2)),
	}
	err := f.build(func(r *rand.Rand) choose.Chooser { return choose.NewLowestEstimate(r, sc.Window) })
	return f, err
}

func pathWork(id uint64) relay.RequestInfo {
	return relay.RequestInfo{
		RequestID: strconv.FormatUint(id, 10), Model: modelName, PromptTokens: 2000, MaxTokens: 100, Tried: sets.New[string](),
		Prefix: familyChain(1, pathBlocks),
	}
}

func (sc scenario) pickPath() (func() error, error) {
	f, err := sc.pathFleet()
	if err != nil {
		return nil, err
	}
	w := pathWork(1)
	return func() error { return pickOnce(f.pickers[0], f.view, w) }, nil
}

func pickOnce(p *pick.Picker, v *view.View, w relay.RequestInfo) error {
	s, err := p.Pick(v, w)
	if err != nil {
		return err
	}
	p.Started(s.Name, w)
	p.Ended(s.Name, w, relay.Result{Instance: "i", State: engine.Warm, PromptTokens: 2000, CachedTokens: 2000})
	return nil
}

func (sc scenario) gatePath() (func() error, error) {
	f, err := sc.pathFleet()
	if err != nil {
		return nil, err
	}
	g := gate.New(gate.Config{View: func() *view.View { return f.view }, Now: f.clock.Now, MaxReportAge: time.Hour})
	for _, s := range f.servers {
		g.Observe(s.digest())
	}
	w := pathWork(1)
	return func() error {
		leave, err := g.Enter(context.Background(), f.view, w)
		if err != nil {
			return err
		}
		leave()
		return nil
	}, nil
}

func admitPath() (func() error, error) {
	c, now, id := admit.New(admit.Config{MaxQueued: 2 * pathWaiting}), epoch, uint64(0)
	c.SetAccounts(now, []admit.Account{{Name: "0", Share: 1}, {Name: "1", Share: largeShare}})
	c.Pool(modelName).SetLimits(slots, 0)
	enter := func() {
		id++
		c.Admit(now, admit.Request{
			ID: id, Account: strconv.FormatUint(id%2, 10), Model: modelName, Tokens: 100, Deadline: now.Add(time.Hour),
		})
	}
	for range pathWaiting + slots {
		enter()
	}
	running := uint64(1)
	return func() error {
		now = now.Add(time.Millisecond)
		ds := c.Finish(now, running)
		if len(ds) == 0 {
			return errors.New("no request was admitted")
		}
		running = ds[0].ID
		enter()
		return nil
	}, nil
}

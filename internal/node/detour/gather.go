package detour

import (
	"context"
	"sync"
	"time"

	"geraniumhollow/internal/core/tasks"
	"geraniumhollow/internal/fleet/reach"
	"github.com/cockroachdb/errors"
)

// gathering is a check in progress.
type gathering struct {
	d       *Detour
	state   reach.State
	servers []Server
	begun   time.Time

	// endTries ends the tries that are in progress, endAsks the questions to other nodes.
	endTries context.CancelFunc
	endAsks  context.CancelCauseFunc

	mu sync.Mutex
	c  reach.Check
	// trying and asking are the numbers of tries and of questions in progress, connected that of tries that have a connection.
	trying    int
	asking    int
	connected int
	// done is closed when nothing is in progress.
	done chan struct{}
}

// gather tries the servers and asks other nodes at the same time. It returns as soon as the result decides about a suspicion.
func (d *Detour) gather(ctx context.Context, servers []Server, state reach.State) reach.Check {
	nodes := d.peers.choose(state == reach.Isolated)
	g := &gathering{
		d: d, state: state, servers: servers, begun: time.Now(),
		trying: len(servers), asking: len(nodes), done: make(chan struct{}),
	}
	tries, endTries := context.WithCancel(ctx)
	defer endTries()
	asks, endAsks := context.WithCancelCause(ctx)
	defer endAsks(nil)
	g.endTries, g.endAsks = endTries, endAsks
	group := tasks.New(ctx)
	for _, s := range servers {
		group.Go("try server", func(context.Context) error { g.try(tries, s); return nil })
	}
	for _, n := range nodes {
		group.Go("ask node", func(context.Context) error { g.ask(asks, n); return nil })
	}
	if len(servers)+len(nodes) > 0 {
		group.Go("time check", func(ctx context.Context) error { g.limit(ctx); return nil })
	}
	_ = group.Wait() // The tasks return no errors.
	if state == reach.Isolated || g.c.Reached == 0 {
		d.peers.found(g.c.PeersReaching > 0)
	}
	return g.c
}

func (g *gathering) try(ctx context.Context, s Server) {
	connected := false
	err := g.d.cfg.Try(ctx, s, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		connected = true
		g.connected++
	})
	g.mu.Lock()
	defer g.mu.Unlock()
	g.trying--
	if connected {
		g.connected--
	}
	if err == nil {
		g.c.Reached++
	}
	g.decide()
}

func (g *gathering) ask(ctx context.Context, n Node) {
	st, err := g.d.cfg.Ask(ctx, n.Address, g.servers)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.asking--
	switch {
	case err == nil:
		g.d.peers.answered(n, st)
		g.c.Peers++
		if st.Reaches {
			g.c.PeersReaching++
		}
	case !errors.Is(context.Cause(ctx), context.Canceled):
		g.d.peers.missed(n)
	}
	if err == nil && st.Accepts && g.state == reach.Isolated {
		g.d.releaseWaiting()
	}
	g.decide()
}

// decide ends what is still in progress once a suspicion is decided. An isolated node needs the statuses of all nodes. The
// lock must be held.
func (g *gathering) decide() {
	if g.state == reach.Suspected && (g.c.Reached > 0 || g.trying == 0 && g.c.PeersReaching > 0) {
		g.endTries()
		g.endAsks(nil)
	}
	if g.trying+g.asking == 0 {
		close(g.done)
	}
}

// limit ends tries and questions that take too long.
func (g *gathering) limit(ctx context.Context) {
	t := time.NewTicker(reach.Step)
	defer t.Stop()
	var w reach.Wait
	last := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.done:
			return
		case <-t.C:
		}
		now := time.Now()
		w.Add(now.Sub(last))
		last = now
		g.expire(&w)
	}
}

// expire ends what has taken too long.
func (g *gathering) expire(w *reach.Wait) {
	signs := g.signs()
	g.mu.Lock()
	defer g.mu.Unlock()
	limit := tryTimeout
	// Without another node that reaches servers, a suspicion is not confirmed whatever slow servers answer, and requests wait
	// for the next check.
	if signs && (g.asking > 0 || g.c.PeersReaching > 0) {
		limit = slowTimeout
	}
	if g.trying > 0 && w.GivenUp() && !w.Over(limit) {
		g.c.Late = true
	}
	if w.GivenUp() || w.Over(limit) {
		g.endTries()
	}
	if w.GivenUp() || w.Over(askTimeout) {
		g.endAsks(context.DeadlineExceeded)
	}
}

// signs reports whether packets of servers have arrived during the check: a connection was made and has not failed, or a
// kept one has delivered bytes. Neither proves that servers can be used.
func (g *gathering) signs() bool {
	g.d.mu.Lock()
	heard := g.d.heardAt.After(g.begun)
	g.d.mu.Unlock()
	g.mu.Lock()
	defer g.mu.Unlock()
	return heard || g.connected > 0
}

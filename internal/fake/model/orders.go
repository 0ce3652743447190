package model

import (
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"geraniumhollow/internal/plat/engine"
	"github.com/valyala/fasthttp"
)

// Orders shapes how an engine takes orders.
type Orders struct {
	// Host is the name of the engine's own host.
	Host string
	// LoadTime is how long weights take to load.
	LoadTime time.Duration
	// ChecksFencing makes the engine refuse orders that are older than the newest that it has seen.
	ChecksFencing bool
	// Refuse makes the engine refuse every order.
	Refuse bool
	// Peer returns what another host of the fabric reports; a leader asks it for its members.
	Peer func(host string) (engine.Member, bool)
}

// memory is what an engine forgets when it restarts.
type memory struct {
	fence   uint64
	loaded  []engine.Weights
	order   engine.Order
	readyAt time.Time
}

// SetOrders replaces how the engine takes orders.
func (e *Engine) SetOrders(o Orders) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.orders = o
}

func (e *Engine) serveOrder(rc *fasthttp.RequestCtx) {
	var o engine.Order
	if err := json.Unmarshal(rc.PostBody(), &o); err != nil {
		rc.Error(err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.orders.Refuse {
		rc.SetStatusCode(http.StatusServiceUnavailable)
		return
	}
	if e.orders.ChecksFencing && o.Fence < e.memory.fence {
		rc.SetStatusCode(http.StatusConflict)
		return
	}
	e.memory.fence = max(e.memory.fence, o.Fence)
	e.take(o, time.Now())
}

// take starts an order. A later order takes the place of one that has not been carried out.
func (e *Engine) take(o engine.Order, now time.Time) {
	e.carryOut(now)
	w := engine.Weights{Model: o.Model, Version: o.Version}
	pending := e.memory.order
	sameLoad := !e.memory.readyAt.IsZero() && pending.Model == o.Model && pending.Version == o.Version
	e.memory.order = o
	switch {
	case o.Kind == engine.OrderDrop || slices.Contains(e.memory.loaded, w):
		e.memory.readyAt = now
	case !sameLoad:
		e.memory.readyAt = now.Add(e.orders.LoadTime)
	}
	e.carryOut(now)
}

// carryOut applies the pending order once its weights are loaded.
func (e *Engine) carryOut(now time.Time) {
	if e.memory.readyAt.IsZero() || now.Before(e.memory.readyAt) {
		return
	}
	e.memory.readyAt = time.Time{}
	o := e.memory.order
	w := engine.Weights{Model: o.Model, Version: o.Version}
	if o.Kind != engine.OrderDrop && !slices.Contains(e.memory.loaded, w) {
		e.memory.loaded = append(e.memory.loaded, w)
	}
	switch o.Kind {
	case engine.OrderJoin:
		e.cfg.Model, e.cfg.Version, e.cfg.Adapters = o.Model, o.Version, o.Adapters
		e.members = []engine.Member{{Host: e.orders.Host, Group: o.Group, Generation: o.Generation}}
	case engine.OrderDrop:
		e.members = nil
	}
}

// reportedMembers returns the own membership and, for a leader, what its members report.
func (e *Engine) reportedMembers() []engine.Member {
	out := slices.Clone(e.members)
	hosts := e.memory.order.Hosts
	if len(out) != 1 || e.orders.Peer == nil || len(hosts) == 0 || hosts[0] != e.orders.Host {
		return out
	}
	for _, h := range hosts[1:] {
		if m, ok := e.orders.Peer(h); ok {
			out = append(out, m)
		}
	}
	return out
}

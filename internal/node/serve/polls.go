package serve

import (
	"sync"

	"geraniumhollow/internal/plat/engine"
)

// pollClients caches one client per engine address that the node polls for load reports.
type pollClients struct {
	mu      sync.Mutex
	clients map[string]*engine.Client
}

func newPollClients() *pollClients { return &pollClients{clients: make(map[string]*engine.Client)} }

// client returns the client for an address. It is not bound to an engine instance.
func (p *pollClients) client(addr string) *engine.Client {
	p.mu.Lock()
	defer p.mu.Unlock()
	c, ok := p.clients[addr]
	if !ok {
		c = engine.New(addr, "")
		p.clients[addr] = c
	}
	return c
}

// instanceTracker stores the last known engine instance of each backend server.
type instanceTracker struct {
	mu   sync.Mutex
	last map[string]string
}

func newInstanceTracker() *instanceTracker { return &instanceTracker{last: make(map[string]string)} }

// changed stores an instance and reports whether it replaced a different one. An empty instance is ignored.
func (i *instanceTracker) changed(server, instance string) bool {
	if instance == "" {
		return false
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	before := i.last[server]
	i.last[server] = instance
	return before != "" && before != instance
}

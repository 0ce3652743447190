package serve

import (
	"sync"

	"geraniumhollow/internal/plat/engine"
)

// polls keeps a client for the load reports of each engine that the node polls.
type polls struct {
	mu      sync.Mutex
	clients map[string]*engine.Client
}

func newPolls() *polls { return &polls{clients: make(map[string]*engine.Client)} }

// client returns the client of an address. Its connections reach whichever instance listens there.
func (p *polls) client(addr string) *engine.Client {
	p.mu.Lock()
	defer p.mu.Unlock()
	c, ok := p.clients[addr]
	if !ok {
		c = engine.New(addr, "")
		p.clients[addr] = c
	}
	return c
}

// instances remembers the engine instance of each backend server.
type instances struct {
	mu   sync.Mutex
	last map[string]string
}

func newInstances() *instances { return &instances{last: make(map[string]string)} }

// changed notes an instance and reports whether another one was known before.
func (i *instances) changed(server, instance string) bool {
	if instance == "" {
		return false
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	before := i.last[server]
	i.last[server] = instance
	return before != "" && before != instance
}

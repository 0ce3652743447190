package relay

import (
	"context"
	"sync"

	"geraniumhollow/internal/core/tasks"
	"geraniumhollow/internal/plat/engine"
)

// clients holds one engine client per backend server address and instance, so that all connections of a
// pool lead to the same instance.
type clients struct {
	mu     sync.Mutex
	byAddr map[string][]*engine.Client
}

// maxInstancesPerAddr is the number of instances of one address that have clients. It is 2 because nodes
// detect a restart at different times. The connections of older instances are closed.
const maxInstancesPerAddr = 2

// get returns the client for an instance of the engine at addr; "" means any instance.
func (c *clients) get(addr, instance string) *engine.Client {
	c.mu.Lock()
	defer c.mu.Unlock()
	known := c.byAddr[addr]
	for _, cl := range known {
		if cl.Instance() == instance {
			return cl
		}
	}
	if len(known) >= maxInstancesPerAddr {
		known[0].Close()
		known = known[1:]
	}
	cl := engine.New(addr, instance)
	c.byAddr[addr] = append(known, cl)
	return cl
}

// inFlight tracks the attempts in flight on each backend server.
type inFlight struct {
	mu       sync.Mutex
	next     uint64
	byServer map[string]map[uint64]context.CancelCauseFunc
}

// add registers an attempt. The returned function removes it and must be called when the attempt ends.
func (f *inFlight) add(server string, cancel context.CancelCauseFunc) func() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.next++
	id := f.next
	if f.byServer[server] == nil {
		f.byServer[server] = make(map[uint64]context.CancelCauseFunc)
	}
	f.byServer[server][id] = cancel
	return func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		delete(f.byServer[server], id)
		if len(f.byServer[server]) == 0 {
			delete(f.byServer, server)
		}
	}
}

// abort cancels the attempts on a server and returns their number.
func (f *inFlight) abort(server string, cause error) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, cancel := range f.byServer[server] {
		cancel(cause)
	}
	return len(f.byServer[server])
}

// maxPendingCancels limits the concurrent cancel requests. Further ones are not sent: the engine also ends
// an attempt when its connection closes, only later.
const maxPendingCancels = 256

// canceller sends cancel requests to engines in the background.
type canceller struct {
	group *tasks.Group
	slots chan struct{}
}

func newCanceller() *canceller {
	return &canceller{group: tasks.New(context.Background()), slots: make(chan struct{}, maxPendingCancels)}
}

// send cancels an attempt at its engine. It calls done, if not nil, with whether the engine acknowledged the
// cancel.
func (c *canceller) send(cl *engine.Client, requestID string, attempt int, done func(acknowledged bool)) {
	if done == nil {
		done = func(bool) {}
	}
	select {
	case c.slots <- struct{}{}:
	default:
		done(false)
		return
	}
	c.group.Go("cancel", func(ctx context.Context) error {
		defer func() { <-c.slots }()
		// An error needs no retry: the engine also ends the attempt when its connection closes, only later.
		done(cl.Cancel(ctx, requestID, attempt) == nil)
		return nil
	})
}

package relay

import (
	"context"
	"sync"

	"geraniumhollow/internal/core/tasks"
	"geraniumhollow/internal/plat/engine"
)

// clients holds an engine client for each backend server and instance, so that the connections of a
// pool all lead to one instance.
type clients struct {
	mu     sync.Mutex
	byAddr map[string][]*engine.Client
}

// keptInstances is how many instances of one address have clients. Two, because nodes learn of a
// restart at different times; the connections of older instances are closed.
const keptInstances = 2

// get returns the client for an instance of the engine at addr; "" is any instance.
func (c *clients) get(addr, instance string) *engine.Client {
	c.mu.Lock()
	defer c.mu.Unlock()
	known := c.byAddr[addr]
	for _, cl := range known {
		if cl.Instance() == instance {
			return cl
		}
	}
	if len(known) >= keptInstances {
		known[0].Close()
		known = known[1:]
	}
	cl := engine.New(addr, instance)
	c.byAddr[addr] = append(known, cl)
	return cl
}

// flights knows the attempts in flight on each backend server.
type flights struct {
	mu       sync.Mutex
	next     uint64
	byServer map[string]map[uint64]context.CancelCauseFunc
}

// add registers an attempt. The returned function must be called when it has ended.
func (f *flights) add(server string, cancel context.CancelCauseFunc) func() {
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

// abort ends the attempts on a server and returns their number.
func (f *flights) abort(server string, cause error) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, cancel := range f.byServer[server] {
		cancel(cause)
	}
	return len(f.byServer[server])
}

// maxCancels bounds the cancels that are being sent. Past it a cancel is left out: the closed
// connection tells the engine as well, only later.
const maxCancels = 256

// canceller tells engines in the background that attempts have ended.
type canceller struct {
	group *tasks.Group
	slots chan struct{}
}

func newCanceller() *canceller {
	return &canceller{group: tasks.New(context.Background()), slots: make(chan struct{}, maxCancels)}
}

// send cancels an attempt. done, if any, is told whether the engine acknowledged the cancel.
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
		// Without an answer the closed connection ends the attempt, too, only later.
		done(cl.Cancel(ctx, requestID, attempt) == nil)
		return nil
	})
}

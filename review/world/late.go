//go:build review

package main

import (
	"context"
	"net/http"
	"time"
)

// Limits of late orders: minLate and maxLate are when they are carried out, lateWindow is for how long orders get no answer.
const (
	minLate    = 2 * time.Second
	maxLate    = 12 * time.Second
	lateWindow = 5500 * time.Millisecond
)

// domainRunners are the runners of a domain: a group and two spares.
const domainRunners = groupSize + 2

// lateCase is the course of the case. Its fields are guarded by the lock of the world.
type lateCase struct {
	w     *world
	head  *runner
	began time.Time
	// first and second are the epochs of the formations after the first and the second loss.
	first, second uint64
	// join and open are the late orders of the first formation.
	join, open     *order
	joinAt, openAt time.Time
	leftAt         time.Time
	joinedLate     bool
}

// late reports whether an order to a runner gets no answer, and sees to it that it is carried out later.
func (c *lateCase) late(r *runner, o order) bool {
	now := time.Now()
	if r != c.head || now.Sub(c.began) > lateWindow {
		return false
	}
	switch {
	case o.Op == "join" && c.first == 0:
		c.first, c.join, c.joinAt = o.Epoch, &o, now
		return true
	case o.Op == "open" && o.Epoch == c.first && c.open == nil:
		c.open, c.openAt = &o, now
		return true
	case o.Op == "leave" && o.Epoch == c.first && c.leftAt.IsZero():
		c.leftAt = now
		c.after(50*time.Millisecond, c.joinAt, *c.join)
		if c.open != nil {
			c.after(350*time.Millisecond, c.openAt, *c.open)
		}
		return false
	case o.Op == "leave" && o.Epoch == c.first && now.Sub(c.leftAt) < minLate+300*time.Millisecond:
		c.after(minLate+500*time.Millisecond, now, o)
		return true
	case o.Op == "join" && o.Epoch > c.first && !c.joinedLate:
		c.joinedLate, c.second = true, o.Epoch
		c.after(minLate+20*time.Millisecond, now, o)
		return true
	}
	return false
}

// after carries an order out after a time, and not before minLate after it was sent.
func (c *lateCase) after(d time.Duration, sent time.Time, o order) {
	d = max(d, minLate-time.Since(sent))
	time.AfterFunc(d, func() {
		c.w.mu.Lock()
		defer c.w.mu.Unlock()
		c.head.carryOut(o)
	})
}

// lateOrders: a group loses a member and then another one, while some orders to its head get no answer and are carried out late.
func lateOrders(ctx context.Context, w *world, dir string, trouble bool) int {
	nodes, end, err := w.setUp(ctx, dir, domainRunners)
	if err != nil {
		w.logf("cannot set up: %v", err)
		return failed
	}
	defer end()
	clients, stop := context.WithCancel(ctx)
	defer stop()
	for i := range 6 {
		go w.client(clients, i, nodes)
	}
	time.Sleep(25 * time.Second) // The spares load the weights.
	if w.answers(http.StatusOK) == 0 {
		return failed
	}
	if trouble {
		c := &lateCase{w: w}
		w.mu.Lock()
		for _, r := range w.runners {
			if r.state == "open" && r.domain == "d0" {
				c.head = r
			}
		}
		first, second := w.runners[c.head.members[1]], w.runners[c.head.members[2]]
		c.began = time.Now()
		w.late = c.late
		w.mu.Unlock()
		first.crash()
		for time.Since(c.began) < lateWindow {
			w.mu.Lock()
			ready := c.open != nil && c.head.epoch == c.first && c.head.state == "open"
			w.mu.Unlock()
			if ready {
				second.crash()
				break
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
	time.Sleep(20 * time.Second)
	stop()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.logf("%d of %d orders got no answer", w.lateOrders, w.orders)
	if len(w.breaks) > 0 {
		return broken
	}
	return held
}

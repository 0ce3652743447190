//go:build review

package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"time"
)

// loss is a loss of power of all nodes and, at the same moment, of some members of groups.
type loss struct {
	// domains are those whose groups lose members.
	domains []string
	// gone says that the second member of a group is lost for good, beside the first one, which comes back.
	gone bool
}

// partial: a group loses two members, one of them for good.
func partial(ctx context.Context, w *world, dir string, trouble bool) int {
	return w.play(ctx, dir, trouble, loss{domains: []string{"d0"}, gone: true}, 20*time.Second, func(time.Time) {})
}

// recovered: each group loses one member, which comes back. Later than the recovery time after the nodes are back, a quarter of
// the requests must be served.
func recovered(ctx context.Context, w *world, dir string, trouble bool) int {
	return w.play(ctx, dir, trouble, loss{domains: []string{"d0", "d1"}}, recoveryTime+15*time.Second, func(back time.Time) {
		before, after := w.share(w.begun, w.lostAt), w.share(back.Add(recoveryTime), time.Now())
		w.logf("served %s before, %s later than %v after the nodes are back", before, after, recoveryTime)
		if before.quarter() && !after.quarter() {
			w.breakf("RECOVER: %s of the requests are served that were sent later than %v after the nodes are back, %s were before", after, recoveryTime, before)
		}
	})
}

// recoveryTime is RecoveryS.
const recoveryTime = 12 * time.Second

// share is how many of some requests were served.
type share struct{ served, sent int }

func (s share) quarter() bool { return s.sent > 0 && 4*s.served >= s.sent }

func (s share) String() string { return fmt.Sprintf("%d of %d", s.served, s.sent) }

// share returns how many of the requests were served that were sent in a span.
func (w *world) share(from, to time.Time) share {
	var s share
	for _, a := range w.answered {
		if a.sent.After(from) && a.sent.Before(to) {
			s.sent++
			if a.served {
				s.served++
			}
		}
	}
	return s
}

// play starts the system, makes the loss, and checks what came of it. The nodes come back when the store has dropped the
// entries of the old lives. The members that come back have their address and a new ID.
func (w *world) play(ctx context.Context, dir string, trouble bool, l loss, after time.Duration, check func(back time.Time)) int {
	nodes, end, err := w.setUp(ctx, dir, groupSize)
	if err != nil {
		w.logf("cannot set up: %v", err)
		return failed
	}
	defer end()
	clients, stop := context.WithCancel(ctx)
	defer stop()
	for i := range 6 {
		go w.client(clients, i, slices.Clone(nodes))
	}
	time.Sleep(4 * time.Second)
	if w.answers(http.StatusOK) == 0 {
		w.logf("no request was served before the disruption")
		return failed
	}
	w.lostAt = time.Now()
	if trouble {
		w.powerLoss(l, nodes)
	} else {
		time.Sleep(powerOff)
	}
	back := time.Now()
	time.Sleep(after)
	stop()
	w.mu.Lock()
	defer w.mu.Unlock()
	check(back)
	if len(w.breaks) > 0 {
		return broken
	}
	return held
}

// powerOff is how long the nodes are without power, hostOff how long the hosts of the members that return are.
const (
	powerOff = 4200 * time.Millisecond
	hostOff  = 1500 * time.Millisecond
)

// powerLoss takes the power from all nodes and some hosts. The node that gave the last order is lost for good.
func (w *world) powerLoss(l loss, nodes []*node) {
	w.mu.Lock()
	var restart, lost []*runner
	for _, r := range w.runners {
		if r.state != "open" || !slices.Contains(l.domains, r.domain) {
			continue
		}
		restart = append(restart, w.runners[r.members[1]])
		if l.gone {
			lost = append(lost, w.runners[r.members[2]])
		}
	}
	w.logf("power loss")
	w.mu.Unlock()
	for _, n := range nodes {
		n.kill()
	}
	for _, r := range slices.Concat(restart, lost) {
		r.crash()
	}
	time.Sleep(hostOff)
	for _, r := range restart {
		if err := w.addRunner(r.addr, r.zone, r.domain, r.staged); err != nil {
			w.note("cannot start the runner again: %v", err)
		}
	}
	time.Sleep(powerOff - hostOff)
	w.mu.Lock()
	w.gone = w.giver
	w.mu.Unlock()
	for _, n := range nodes {
		if n.ip == w.gone {
			w.note("%s is lost for good", n.name)
			continue
		}
		w.note("%s has power again", n.name)
		if err := n.writeSettings(false); err != nil {
			w.note("cannot write the settings of a node: %v", err)
		}
		if err := n.start(); err != nil {
			w.note("cannot start a node: %v", err)
		}
	}
}

// note writes a line to the record.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.logf(format, args...)
}

// openHeads reports whether at least n heads are open.
func (w *world) openHeads(n int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, r := range w.runners {
		if r.state == "open" {
			n--
		}
	}
	return n <= 0
}

func (w *world) answers(status int) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.counts[status]
}

var attempts atomic.Int64

// client sends streams to the nodes in turn.
func (w *world) client(ctx context.Context, i int, nodes []*node) {
	hc := &http.Client{Timeout: 7 * time.Second}
	for k := i; ctx.Err() == nil; k++ {
		n := nodes[k%len(nodes)]
		w.mu.Lock()
		gone := n.ip == w.gone
		w.mu.Unlock()
		if gone {
			continue
		}
		id := fmt.Sprintf("a%012d", attempts.Add(1))
		q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+n.front+"/stream/x", strings.NewReader("prompt of "+id))
		if err != nil {
			return
		}
		q.Host = routeHost
		for name, v := range map[string]string{
			"Attempt-Id": id, "Deadline-Ms": "6000", "Authorization": "Bearer " + apiKey, "Model": model, "Token-Counts": "674,30", "Prompt-Prefix": "aa:40," + id[1:] + ":634",
		} {
			q.Header.Set(name, v)
		}
		status, ends, sent, whole := 0, "", time.Now(), false
		if resp, err := hc.Do(q); err == nil {
			b, rerr := io.ReadAll(resp.Body)
			_ = resp.Body.Close()
			status, whole = resp.StatusCode, rerr == nil
			ends = fmt.Sprintf("%d bytes, signed %q, error %v", len(b), resp.Header.Get("Response-Signature"), rerr)
		}
		w.mu.Lock()
		w.counts[status]++
		if ctx.Err() == nil {
			w.answered = append(w.answered, answered{sent: sent, served: status == http.StatusOK && whole})
		}
		w.logf("%s sent to %s -> %d %s", id, n.name, status, ends)
		w.mu.Unlock()
		time.Sleep(150 * time.Millisecond)
	}
}

// addRunner starts a runner with an ID of its own.
func (w *world) addRunner(addr, zone, domain, staged string) error {
	w.mu.Lock()
	w.lives++
	id := fmt.Sprintf("i-%04d", w.lives)
	w.mu.Unlock()
	_, err := w.startRunner(id, addr, zone, domain, staged)
	return err
}

// setUp starts the store, two domains of n runners and a node in each zone, and waits until a group of each domain is open. It
// returns the nodes and what ends them.
func (w *world) setUp(ctx context.Context, dir string, n int) ([]*node, func(), error) {
	store, err := w.serveStore()
	if err != nil {
		return nil, nil, err
	}
	w.store.Put("op", "config", manifest())
	for i := range 2 * n {
		if err := w.addRunner("127.0.0.1:0", zones[i/n], fmt.Sprintf("d%d", i/n), ""); err != nil {
			return nil, nil, err
		}
	}
	go w.watch()
	var nodes []*node
	end := func() {
		for _, n := range nodes {
			n.kill()
		}
	}
	for i := range zones {
		n, err := newNode(i, dir, store)
		if err == nil {
			nodes = append(nodes, n)
			err = n.start()
		}
		if err != nil {
			end()
			return nil, nil, err
		}
	}
	for !w.openHeads(2) {
		if ctx.Err() != nil || time.Since(w.begun) > 30*time.Second {
			end()
			return nil, nil, errors.New("the groups do not open")
		}
		time.Sleep(50 * time.Millisecond)
	}
	return nodes, end, nil
}

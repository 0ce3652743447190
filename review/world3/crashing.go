//go:build review

package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"

	"geraniumhollow/platform/standin"
)

// Numbers of the case.
const (
	// knownAfter is the number of crashed runners from which the request counts as one that crashes runners.
	knownAfter = 3
	// allowedRetries is how many more retries may reach runners.
	allowedRetries = 3
	stability      = 3 * time.Second
	// others is the number of ordinary requests that are under way when the request that crashes runners comes.
	others = 12
)

// crashingAfterRestart sends a request that crashes each runner that runs it until three have crashed, restarts some nodes as planned
// work, one after another, and sends the request again at the nodes that are back and in touch.
func crashingAfterRestart(dir string) int {
	w, err := newWorld(dir)
	if err != nil {
		fmt.Println(err)
		return unable
	}
	defer w.end()
	w.store.Put("op", "config", standin.Configuration(5, 100*time.Millisecond, standin.Account{Name: "t1", Key: "k1"}))
	runs := &plainRuns{w: w, poison: "this request crashes runners"}
	for i := range 6 {
		if err := runs.start(i, 1, ""); err != nil {
			fmt.Println(err)
			return unable
		}
	}
	for i := range 6 {
		if _, err := w.addNode(i, fmt.Sprintf("z%d", i%3)); err != nil {
			fmt.Println(err)
			return unable
		}
	}
	if !w.awaitReady(20 * time.Second) {
		w.printf("the nodes do not become ready")
		return unable
	}
	time.Sleep(3 * time.Second)
	c := &crashClients{w: w, retries: map[string]time.Time{}}
	for i := 0; runs.crashes() < knownAfter && i < 8; i++ {
		c.round(w.nodes[i%len(w.nodes)], runs.poison)
		time.Sleep(2500 * time.Millisecond)
	}
	if runs.crashes() < knownAfter {
		w.printf("the request has not crashed %d runners", knownAfter)
		return unable
	}
	c.thirdCrash = time.Now()
	w.printf("the request has crashed %d runners", runs.crashes())
	time.Sleep(stability + time.Second)
	for _, n := range w.nodes {
		c.round(n, runs.poison)
	}
	for _, n := range w.nodes[:3] {
		if w.trouble && !w.restart(n) {
			return unable
		}
		time.Sleep(stability + time.Second)
		for range 3 {
			c.round(n, runs.poison)
			time.Sleep(2500 * time.Millisecond)
		}
	}
	reached := 0
	for _, r := range runs.list() {
		if at, ok := c.retries[r.attempt]; ok {
			reached++
			w.printf("BUDGET: retry %s, sent %.3f s after the third crash, reached %s", r.attempt, at.Sub(c.thirdCrash).Seconds(), r.server)
		}
	}
	w.printf("after the third crash, %d ordinary requests that were running at the runners were not answered by them", c.lost)
	if reached > allowedRetries {
		w.printf("BUDGET is broken: %d retries reached runners, %d may", reached, allowedRetries)
		return broken
	}
	w.printf("BUDGET held: %d retries reached runners, %d may", reached, allowedRetries)
	return held
}

// restart stops a node as planned work and starts it again.
func (w *world) restart(n *node) bool {
	w.signal(n, syscall.SIGTERM)
	select {
	case <-n.done:
	case <-time.After(graceS * time.Second):
		_ = n.cmd.Process.Kill()
		<-n.done
	}
	if err := w.startNode(n); err != nil {
		fmt.Println(err)
		return false
	}
	if !w.awaitReady(15 * time.Second) {
		w.printf("%s does not become ready again", n.name)
		return false
	}
	w.printf("%s is ready again", n.name)
	return true
}

// crashClients are the clients of the case.
type crashClients struct {
	w          *world
	thirdCrash time.Time
	// retries holds the attempts with the request that crashes runners that were sent later than the stability time after the third
	// crash, and lost counts the ordinary requests that got no answer of a runner after it.
	retries map[string]time.Time
	lost    int
}

// round sends ordinary requests, none like another, and while they are under way the one that crashes runners, to a node.
func (c *crashClients) round(n *node, poison string) {
	var wg sync.WaitGroup
	var mu sync.Mutex
	for i := range others {
		wg.Add(1)
		go func() {
			defer wg.Done()
			x := c.w.call(n, "POST", "/once/y", "k1", 3*time.Second, fmt.Appendf(nil, "ordinary %d at %d", i, time.Now().UnixNano()))
			c.w.printf("%s, ordinary, sent to %s: status %d, signature %q, error %v", x.attempt, n.name, x.status, x.header.Get("Response-Signature"), x.err)
			mu.Lock()
			defer mu.Unlock()
			if !c.thirdCrash.IsZero() && (x.err != nil || x.status != 200 && x.status != 503) {
				c.lost++
			}
		}()
	}
	time.Sleep(20 * time.Millisecond)
	x := c.w.call(n, "POST", "/once/x", "k1", 3*time.Second, []byte(poison))
	c.w.printf("%s, which crashes runners, sent to %s at %.3f: status %d, error %v", x.attempt, n.name, x.sent.Sub(c.w.begun).Seconds(), x.status, x.err)
	if !c.thirdCrash.IsZero() && x.sent.Sub(c.thirdCrash) > stability {
		c.retries[x.attempt] = x.sent
	}
	wg.Wait()
}

//go:build review

package main

import (
	"fmt"
	"strings"
	"time"

	"geraniumhollow/platform/standin"
)

// Numbers of the case.
const (
	// lateOrder is by how much an order is late.
	lateOrder = 10 * time.Second
	// modelRunners is the number of model runners, in two domains, with groups of two.
	modelRunners = 12
	// streams is the number of ordinary requests before the disruption.
	streams = 250
)

// leaveAnsweredByReport loses a member of each of two groups in a domain. The order to leave that the head of one of them then gets
// is not answered and arrives late, and a second copy of that runner's last report comes where its answer is expected.
func leaveAnsweredByReport(dir string) int {
	w, err := newWorld(dir)
	if err != nil {
		fmt.Println(err)
		return unable
	}
	defer w.end()
	w.store.Put("op", "config", standin.Configuration(5, 200*time.Millisecond, standin.Account{Name: "t1", Key: "k1"}))
	proxies := map[string]*orderProxy{}
	for i := range modelRunners {
		id := fmt.Sprintf("i-llm-%d", i)
		p := &orderProxy{w: w, name: id}
		proxies[id] = p
		if _, err := w.fleet.Start(standin.RunnerConfig{
			ID: id, Service: "llm", Zone: fmt.Sprintf("z%d", i%2), Domain: fmt.Sprintf("d%d", i%2), Slots: 8, Work: 5 * time.Millisecond,
			Join: 300 * time.Millisecond, Load: 600 * time.Millisecond, Beat: beatMs * time.Millisecond, Sizes: map[string]int{"m0": 2},
			Stall: stallMs * time.Millisecond, Through: p.listen,
		}); err != nil {
			fmt.Println(err)
			return unable
		}
	}
	for i := range 3 {
		if _, err := w.addNode(i, fmt.Sprintf("z%d", i)); err != nil {
			fmt.Println(err)
			return unable
		}
	}
	if !w.awaitReady(20*time.Second) || !w.await(30*time.Second, func() bool { return len(w.fleet.Open()) >= 4 }) {
		w.printf("the groups do not open")
		return unable
	}
	time.Sleep(4 * time.Second)
	for i := range streams {
		c := w.callWith(w.nodes[i%len(w.nodes)], "POST", "/stream/x", "k1", 3*time.Second, []byte("prompt"),
			map[string]string{"Model": "m0", "Token-Counts": "100,12"})
		w.printf("%s sent: status %d, signature %q, error %v", c.attempt, c.status, c.header.Get("Response-Signature"), c.err)
	}
	heads := openHeads(w, "d0")
	if len(heads) < 2 {
		w.printf("fewer than two groups are open in domain d0: %v", heads)
		return unable
	}
	orders := 0
	for _, p := range proxies {
		p.mu.Lock()
		orders += p.orders
		p.mu.Unlock()
	}
	w.printf("%d orders were answered so far, %d requests ran, %d of them at %s", orders, len(w.fleet.Runs()), runsAt(w, heads[0]), heads[0])
	if w.trouble {
		proxies[heads[0]].arm("leave", lateOrder)
	}
	for _, head := range heads[:2] {
		members, _ := w.fleet.Group(head)
		w.printf("runner %s, a member of the group of %s, is lost", members[1], head)
		w.fleet.Runner(members[1]).Kill(false)
	}
	time.Sleep(lateOrder + 8*time.Second)
	two := 0
	for _, f := range w.fleet.Faults() {
		w.printf("%s", f)
		if strings.HasPrefix(f, "TWO") {
			two++
		}
	}
	if two > 0 {
		w.printf("TWO is broken")
		return broken
	}
	w.printf("TWO held")
	return held
}

// openHeads returns the heads of the open groups of a domain, by epoch.
func openHeads(w *world, domain string) []string {
	byEpoch := map[int]string{}
	for head, f := range w.fleet.Open() {
		var group string
		var epoch int
		if _, err := fmt.Sscanf(strings.Replace(f, "/", " ", 1), "%s %d", &group, &epoch); err != nil {
			continue
		}
		w.printf("group %s, head %s", f, head)
		var n int
		if _, err := fmt.Sscanf(head, "i-llm-%d", &n); err == nil && fmt.Sprintf("d%d", n%2) == domain {
			byEpoch[epoch] = head
		}
	}
	var out []string
	for epoch := range 100 {
		if h, ok := byEpoch[epoch]; ok {
			out = append(out, h)
		}
	}
	return out
}

func runsAt(w *world, server string) int {
	n := 0
	for _, r := range w.fleet.Runs() {
		if r.Server == server {
			n++
		}
	}
	return n
}

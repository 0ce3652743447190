//go:build review

package main

import (
	"fmt"
	"time"

	"geraniumhollow/platform/standin"
)

// Lengths of the disruptions.
const (
	storeDown = 8 * time.Second
	nodeCut   = 3 * time.Second
	// reportAfter is when the store has accepted the report of a runner that leaves.
	reportAfter = 500 * time.Millisecond
)

// leavingWhileCut has a runner leave while the store is down and one node is partitioned from all runners. The node passes on
// answers of the runner, which say that it leaves, and must not send it requests later than DrainMs after that.
func leavingWhileCut(dir string) int {
	w, err := newWorld(dir)
	if err != nil {
		fmt.Println(err)
		return unable
	}
	defer w.end()
	w.store.Put("op", "config", standin.Configuration(5, 100*time.Millisecond, standin.Account{Name: "t1", Key: "k1"}))
	for i, id := range []string{"i-one", "i-two", "i-three"} {
		if _, err := w.fleet.Start(standin.RunnerConfig{
			ID: id, Service: "app", Zone: fmt.Sprintf("z%d", i), Slots: 6, Work: 20 * time.Millisecond, Beat: beatMs * time.Millisecond,
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
	if !w.awaitReady(20 * time.Second) {
		w.printf("the nodes do not become ready")
		return unable
	}
	time.Sleep(3 * time.Second)
	cut := w.nodes[0]
	leaver := w.fleet.Runner("i-two")
	var passedOn time.Time
	send := func() call {
		c := w.call(cut, "GET", "/once/x", "k1", 3*time.Second, nil)
		leaving := c.header.Get("Server-Leaving")
		w.printf("%s sent to %s at %.3f: status %d, signature %q, Server-Leaving %q, error %v", c.attempt, cut.name,
			c.sent.Sub(w.begun).Seconds(), c.status, c.header.Get("Response-Signature"), leaving, c.err)
		if leaving != "" && passedOn.IsZero() {
			passedOn = time.Now()
		}
		return c
	}
	for range 12 {
		send()
	}
	if w.trouble {
		w.printf("the store is down")
		w.store.SetFaults(func(string, string) standin.Fault { return standin.Busy })
	}
	downAt := time.Now()
	time.Sleep(500 * time.Millisecond)
	if w.trouble {
		w.printf("%s is partitioned from all runners", cut.name)
		w.fleet.Cut(cut.ip, standin.CutResets)
	}
	cutAt := time.Now()
	time.Sleep(700 * time.Millisecond)
	w.printf("runner i-two leaves")
	leaver.DrainQuietly()
	if !w.trouble { // Otherwise its report is not accepted before the store is back.
		time.AfterFunc(reportAfter, leaver.Drain)
	}
	healed := false
	sent := map[string]time.Time{}
	for time.Since(downAt) < storeDown-300*time.Millisecond {
		if !healed && time.Since(cutAt) >= nodeCut {
			healed = true
			w.printf("%s reaches the runners again", cut.name)
			w.fleet.Heal(cut.ip)
		}
		c := send()
		sent[c.attempt] = c.sent
		time.Sleep(30 * time.Millisecond)
	}
	if passedOn.IsZero() {
		w.printf("%s has passed on no answer with Server-Leaving", cut.name)
		return unable
	}
	w.printf("%s passed on the first answer with Server-Leaving at %.3f", cut.name, passedOn.Sub(w.begun).Seconds())
	late := 0
	for _, r := range w.fleet.Runs() {
		if at, ok := sent[r.Attempt]; ok && r.Server == "i-two" && r.From == cut.ip && at.Sub(passedOn) > drainMs*time.Millisecond {
			late++
			w.printf("DRAIN: %s, sent %.3f s after that, ran on i-two, from %s", r.Attempt, at.Sub(passedOn).Seconds(), cut.name)
		}
	}
	if late > 0 {
		w.printf("DRAIN is broken by %d requests", late)
		return broken
	}
	w.printf("DRAIN held")
	return held
}

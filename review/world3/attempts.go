//go:build review

package main

import (
	"bytes"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"geraniumhollow/platform/standin"
)

const (
	// maxAttempts is the number of runners that a client attempt may run on, and allowedBeyond how many may run on more.
	maxAttempts   = 2
	allowedBeyond = 3
	// losingFor is how long runners lose answers, cutFor how long the node is partitioned from all runners.
	losingFor = 4 * time.Second
	cutFor    = 5 * time.Second
)

// attemptsThroughNodes has a node pass requests on to others while it is partitioned from all runners, some of which lose answers.
func attemptsThroughNodes(dir string) int {
	w, err := newWorld(dir)
	if err != nil {
		fmt.Println(err)
		return unable
	}
	defer w.end()
	manifest := standin.Configuration(5, 100*time.Millisecond, standin.Account{Name: "t1", Key: "k1"})
	manifest = bytes.ReplaceAll(manifest, []byte(`"MaxAttempts":3`), []byte(fmt.Sprintf(`"MaxAttempts":%d`, maxAttempts)))
	w.store.Put("op", "config", manifest)
	var losing atomic.Bool
	runs := &plainRuns{w: w, work: usualWork, losing: func(place int) bool { return losing.Load() && place < 3 }}
	for i := range 5 {
		if err := runs.start(i); err != nil {
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
	time.Sleep(4 * time.Second)
	cut := w.nodes[0]
	var mu sync.Mutex
	var calls []call
	var wg sync.WaitGroup
	end := time.Now().Add(3*time.Second + cutFor)
	for range 10 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for time.Now().Before(end) {
				c := w.call(cut, "GET", "/idem/x", "k1", 3*time.Second, nil)
				w.printf("%s sent to %s at %.3f: status %d, signature %q, error %v", c.attempt, cut.name, c.sent.Sub(w.begun).Seconds(), c.status,
					c.header.Get("Response-Signature"), c.err)
				mu.Lock()
				calls = append(calls, c)
				mu.Unlock()
				time.Sleep(20 * time.Millisecond)
			}
		}()
	}
	time.Sleep(time.Second)
	if w.trouble {
		w.printf("%s is partitioned from all runners", cut.name)
		w.fleet.Cut(cut.ip, standin.CutResets)
	}
	time.Sleep(cutFor - losingFor)
	if w.trouble {
		w.printf("three of the five runners lose two of five answers")
	}
	losing.Store(w.trouble)
	time.Sleep(losingFor)
	losing.Store(false)
	if w.trouble {
		w.printf("they lose none any more")
		w.printf("%s reaches the runners again", cut.name)
		w.fleet.Heal(cut.ip)
	}
	wg.Wait()
	ranOn := map[string]map[string]bool{}
	for _, r := range runs.list() {
		if ranOn[r.attempt] == nil {
			ranOn[r.attempt] = map[string]bool{}
		}
		ranOn[r.attempt][r.server] = true
	}
	beyond := 0
	for _, c := range calls {
		if n := len(ranOn[c.attempt]); n > maxAttempts {
			beyond++
			w.printf("BUDGET: %s ran on %d runners", c.attempt, n)
		}
	}
	w.printf("%d requests, %d of which ran on more than %d runners; %d may", len(calls), beyond, maxAttempts, allowedBeyond)
	if beyond > allowedBeyond {
		w.printf("BUDGET is broken")
		return broken
	}
	w.printf("BUDGET held")
	return held
}

//go:build review2

package main

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"geraniumhollow/platform/standin"
)

// Figures of case 6.
const (
	c6Streams = 12
	c6Callers = 8
	// c6Pause is how long a sound runner falls silent.
	c6Pause = 1200 * time.Millisecond
	// c6BytesPerSecond is what all answers without end send together, half of the link of the machine.
	c6BytesPerSecond = 60 << 20
	c6ChunkBytes     = 64 << 10
	c6Tokens         = "1460,400"
)

// case6: a runner sends the first event again and again, without end, to a node that asked it to go on with a stream.
func case6(w *world) (int, error) {
	if err := w.addPlain(3); err != nil {
		return failed, err
	}
	models, err := w.addModels(4)
	if err != nil {
		return failed, err
	}
	w.store.Put("op", "config", manifest(1))
	for _, zone := range []string{"esbjerg", "herning"} {
		if _, err := w.addNode(zone, true); err != nil {
			return failed, err
		}
	}
	for _, n := range w.nodes {
		go n.enforceMemory()
		if err := w.await(n.name+" is ready", 15*time.Second, n.isReady); err != nil {
			return failed, err
		}
	}
	if err := w.await("two groups are open", 20*time.Second, func() bool { return len(w.fleet.Open()) == 2 }); err != nil {
		return failed, err
	}
	time.Sleep(4 * time.Second) // StabilityMs is 3 s.
	n := w.nodes[0]
	var heads []string
	for id := range w.fleet.Open() {
		heads = append(heads, id)
	}
	silent, faulty := heads[0], heads[1]
	w.rec.printf("heads are %v; %s will fall silent for %v, %s is the faulty one: %v", heads, silent, c6Pause, faulty, w.trouble)
	var flooded atomic.Int64
	if w.trouble {
		models[faulty].instead.Store(repeatWithoutEnd(w, faulty, &flooded))
	}
	var wg sync.WaitGroup
	stop := make(chan struct{})
	lost := make(chan string, 1000)
	var served, others atomic.Int64
	for i := range c6Callers {
		wg.Go(func() { callOnce(w, n, i, stop, lost, &served, &others) })
	}
	time.Sleep(time.Second)
	var streams sync.WaitGroup
	var whole, cut atomic.Int64
	for i := range c6Streams {
		streams.Go(func() {
			c := standin.Call{
				Node: n.front, Path: fmt.Sprintf("/stream/%d", i), Body: strings.Repeat("p", 1500), Attempt: fmt.Sprintf("s%015d", i), Key: accountKey,
				Deadline: 8 * time.Second, Header: map[string]string{"Token-Counts": c6Tokens, "Prompt-Prefix": fmt.Sprintf("5c1e07a2:40,%08x:1420", i)},
			}
			r := c.Do(&http.Client{Timeout: 9 * time.Second, Transport: &http.Transport{}})
			if r.Err == nil && r.Status == http.StatusOK {
				whole.Add(1)
			} else {
				cut.Add(1)
			}
			w.rec.printf("stream %s: status %d, %d bytes, error %v", c.Attempt, r.Status, len(r.Body), r.Err)
		})
		time.Sleep(20 * time.Millisecond)
	}
	time.Sleep(time.Second)
	w.rec.printf("%s falls silent", silent)
	models[silent].runner.Load().Pause(c6Pause)
	streams.Wait()
	time.Sleep(2 * time.Second)
	close(stop)
	wg.Wait()
	close(lost)
	n.mu.Lock()
	peak, kills := n.peakMb, n.memKills
	n.mu.Unlock()
	w.rec.printf("%d MB were sent in answers without end; %s held at most %d MB and was killed %d times for its memory", flooded.Load()>>20, n.name, peak, kills)
	w.rec.printf("streams: %d whole, %d not; other requests: %d answered 200, %d with another status", whole.Load(), cut.Load(), served.Load(), others.Load())
	count := 0
	for attempt := range lost {
		if runs := w.fleet.RunsOf(attempt); len(runs) > 0 {
			count++
			w.rec.printf("LOST: %s ran at sound runner %s, its kept channel ended without an answer", attempt, runs[0].Server)
		}
	}
	w.rec.printf("%d requests of kept channels lost; the rule allows three", count)
	if count > 3 {
		return broken, nil
	}
	return held, nil
}

// callOnce sends requests that may run once on a kept channel, one after the other.
func callOnce(w *world, n *node, i int, stop <-chan struct{}, lost chan<- string, served, others *atomic.Int64) {
	transport := &http.Transport{MaxConnsPerHost: 1}
	client := &http.Client{Timeout: 4 * time.Second, Transport: transport}
	kept := false
	for j := 0; ; j++ {
		select {
		case <-stop:
			return
		default:
		}
		c := standin.Call{
			Node: n.front, Path: fmt.Sprintf("/once/%d", i), Body: "book", Attempt: fmt.Sprintf("o%02d%013d", i, j), Key: accountKey, Deadline: 3 * time.Second,
		}
		r := c.Do(client)
		switch {
		case r.Err == nil && r.Status == http.StatusOK:
			served.Add(1)
		case r.Status != 0:
			others.Add(1)
			w.rec.printf("%s: status %d", c.Attempt, r.Status)
			time.Sleep(retryAfter(r))
		case kept:
			lost <- c.Attempt
			w.rec.printf("%s: %v", c.Attempt, r.Err)
		}
		kept = r.Err == nil && r.Status != 0
		if !kept {
			time.Sleep(100 * time.Millisecond)
		}
	}
}

// retryAfter returns how long an answer asks its caller to wait.
func retryAfter(r standin.Reply) time.Duration {
	seconds, err := strconv.ParseFloat(r.Retry, 64)
	if err != nil {
		return 300 * time.Millisecond
	}
	return time.Duration(seconds * float64(time.Second))
}

// repeatWithoutEnd answers requests that go on with a stream by its first event, again and again, until the caller closes.
func repeatWithoutEnd(w *world, id string, sent *atomic.Int64) *func(http.ResponseWriter, *http.Request) bool {
	var mu sync.Mutex
	next := time.Now()
	chunk := strings.Repeat(standin.Event(1), c6ChunkBytes/len(standin.Event(1)))
	framed := fmt.Sprintf("%x\r\n%s\r\n", len(chunk), chunk)
	f := func(rw http.ResponseWriter, q *http.Request) bool {
		if q.Header.Get("Last-Event-Id") == "" {
			return false
		}
		w.rec.printf("%s repeats its first event without end for %s, which has event %s", id, q.Header.Get("Attempt-Id"), q.Header.Get("Last-Event-Id"))
		nc, _, err := http.NewResponseController(rw).Hijack()
		if err != nil {
			return true
		}
		defer func() { _ = nc.Close() }()
		_, _ = fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nAttempt-Id: %s\r\n"+
			"Response-Signature: signed-by-%s\r\n\r\n", q.Header.Get("Attempt-Id"), id)
		for end := time.Now().Add(20 * time.Second); time.Now().Before(end); {
			mu.Lock()
			if now := time.Now(); next.Before(now) {
				next = now
			}
			wait := time.Until(next)
			next = next.Add(time.Duration(float64(len(framed)) / c6BytesPerSecond * float64(time.Second)))
			mu.Unlock()
			time.Sleep(wait)
			if _, err := nc.Write([]byte(framed)); err != nil {
				return true
			}
			sent.Add(int64(len(framed)))
		}
		return true
	}
	return &f
}

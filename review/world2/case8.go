//go:build review2

package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"geraniumhollow/platform/standin"
)

// Figures of case 8.
const (
	c8Body = "poison"
	// c8Back is after what time a runner that has crashed is back, with another ID.
	c8Back = 2 * time.Second
	// c8Pause is the time between two attempts of the client.
	c8Pause = 1100 * time.Millisecond
	// c8Callers is how many other callers there are.
	c8Callers = 6
	// c8Stability is StabilityMs of the settings.
	c8Stability = 3 * time.Second
	// c8Known is how long the client comes again before the machines are restarted, and c8After how long afterwards.
	c8Known, c8After = 12 * time.Second, 14 * time.Second
)

// crashing keeps the plain runners, each of which crashes when it begins to run the request.
type crashing struct {
	w  *world
	mu sync.Mutex
	n  int
	// crashes are the runs of the request, each of which crashed a runner.
	crashes []crashRun
}

type crashRun struct {
	attempt string
	at      time.Time
}

// start starts a runner at an address of its own.
func (c *crashing) start() error {
	c.mu.Lock()
	c.n++
	id := fmt.Sprintf("i-app%d", c.n)
	c.mu.Unlock()
	var srv *http.Server
	var runner *standin.Runner
	ready := make(chan struct{})
	handler := http.HandlerFunc(func(rw http.ResponseWriter, q *http.Request) {
		<-ready
		expected := q.Header.Get("Expect-Instance")
		if q.URL.Path != "/once/poison" || expected != "" && expected != id {
			runner.ServeHTTP(rw, q)
			return
		}
		c.mu.Lock()
		c.crashes = append(c.crashes, crashRun{q.Header.Get("Attempt-Id"), time.Now()})
		n := len(c.crashes)
		c.mu.Unlock()
		c.w.rec.printf("%s begins to run %s and crashes (crash %d)", id, q.Header.Get("Attempt-Id"), n)
		_ = srv.Close()
		runner.Kill(false)
		time.AfterFunc(c8Back, func() { _ = c.start() })
	})
	var err error
	runner, err = c.w.fleet.Start(standin.RunnerConfig{
		ID: id, Service: "app", Zone: "esbjerg", Slots: 26, Work: plainWork, Beat: heartbeat,
		Through: func(string) (string, error) {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				return "", fmt.Errorf("listen: %w", err)
			}
			srv = &http.Server{Handler: handler}
			go func() { _ = srv.Serve(ln) }()
			context.AfterFunc(c.w.ctx, func() { _ = srv.Close() })
			return ln.Addr().String(), nil
		},
	})
	close(ready)
	if err != nil {
		return fmt.Errorf("runner: %w", err)
	}
	return nil
}

// sent is an attempt of the client.
type sent struct {
	node *node
	at   time.Time
}

// case8: a request that crashes runners comes again, while the machines are restarted one after the other.
func case8(w *world) (int, error) {
	c := &crashing{w: w}
	for range 6 {
		if err := c.start(); err != nil {
			return failed, err
		}
	}
	w.store.Put("op", "config", manifest(1))
	for _, zone := range []string{"esbjerg", "herning", "vejle"} {
		if _, err := w.addNode(zone, true); err != nil {
			return failed, err
		}
	}
	for _, n := range w.nodes {
		if err := w.await(n.name+" is ready", 15*time.Second, n.isReady); err != nil {
			return failed, err
		}
	}
	time.Sleep(c8Stability + time.Second)
	attempts := make(map[string]sent)
	var mu sync.Mutex
	undisturbed := make(map[*node]time.Time) // Since when nothing was done to the machine; zero while something is.
	for _, n := range w.nodes {
		undisturbed[n] = w.rec.begun
	}
	stop, done := make(chan struct{}), make(chan struct{})
	var callers sync.WaitGroup
	var served, others atomic.Int64
	unanswered := make(chan string, 10000)
	for i := range c8Callers {
		callers.Go(func() { callOnce(w, w.nodes[i%len(w.nodes)], i, stop, unanswered, &served, &others) })
	}
	go func() {
		defer close(done)
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(c8Pause):
			}
			n := w.nodes[i%len(w.nodes)]
			if !n.isReady() {
				continue // The balancer sends nothing there.
			}
			call := standin.Call{
				Node: n.front, Path: "/once/poison", Body: c8Body, Attempt: fmt.Sprintf("p%015d", i), Key: accountKey, Deadline: 3 * time.Second,
			}
			mu.Lock()
			attempts[call.Attempt] = sent{n, time.Now()}
			mu.Unlock()
			r := call.Do(&http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}})
			w.rec.printf("%s at %s: status %d, error %v", call.Attempt, n.name, r.Status, r.Err)
		}
	}()
	time.Sleep(c8Known)
	if w.trouble {
		for _, n := range w.nodes {
			if err := restart(w, n, undisturbed, &mu); err != nil {
				return failed, err
			}
			time.Sleep(c8After)
		}
	} else {
		time.Sleep(time.Duration(len(w.nodes)) * (c8After + 4*time.Second))
	}
	close(stop)
	<-done
	callers.Wait()
	w.rec.printf("requests of other callers: %d answered 200, %d with another status, %d without an answer", served.Load(), others.Load(), len(unanswered))
	return c.judge(attempts, undisturbed, w)
}

// restart stops a machine as planned, and waits until its next process is ready.
func restart(w *world, n *node, undisturbed map[*node]time.Time, mu *sync.Mutex) error {
	n.mu.Lock()
	starts := n.starts
	n.mu.Unlock()
	w.rec.printf("SIGTERM to %s", n.name)
	n.signal(syscall.SIGTERM)
	if err := w.await(n.name+" is ready again", 15*time.Second, func() bool {
		n.mu.Lock()
		again := n.starts > starts
		n.mu.Unlock()
		return again && n.isReady()
	}); err != nil {
		return err
	}
	mu.Lock()
	undisturbed[n] = time.Now()
	mu.Unlock()
	return nil
}

// judge counts the runs that the rule counts: those sent by machines in touch, later than StabilityMs after the third crash.
func (c *crashing) judge(attempts map[string]sent, undisturbed map[*node]time.Time, w *world) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.crashes) < 3 {
		return failed, fmt.Errorf("only %d crashes", len(c.crashes))
	}
	third := c.crashes[2].at
	counted := 0
	for _, x := range c.crashes[3:] {
		a := attempts[x.attempt]
		// Restarted machines are in touch again StabilityMs after their start, those before their stop until then.
		since := undisturbed[a.node]
		inTouch := a.at.Before(since) || a.at.Sub(since) >= c8Stability
		if x.at.Sub(third) > c8Stability && inTouch {
			counted++
			w.rec.printf("BUDGET: %s was sent by %s %.1f s after the third crash, and crashed another runner", x.attempt, a.node.name, x.at.Sub(third).Seconds())
		}
	}
	w.rec.printf("%d crashes in all; %d retries count; the rule allows three", len(c.crashes), counted)
	if counted > 3 {
		return broken, nil
	}
	return held, nil
}

//go:build review2

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Figures of case 10.
const (
	c10Callers = 6
	// c10Stagger is the time between the first requests of two callers, so that the stop meets them at different requests.
	c10Stagger = 110 * time.Millisecond
	// c10Slack is LossSlackMs of the settings.
	c10Slack = 200 * time.Millisecond
)

// case10: callers send two requests at once on a kept channel, and the machine is stopped as planned.
func case10(w *world) (int, error) {
	if err := w.addPlain(3); err != nil {
		return failed, err
	}
	w.store.Put("op", "config", manifest(1))
	for _, zone := range []string{"esbjerg", "herning"} {
		if _, err := w.addNode(zone, true); err != nil {
			return failed, err
		}
	}
	for _, n := range w.nodes {
		if err := w.await(n.name+" is ready", 15*time.Second, n.isReady); err != nil {
			return failed, err
		}
	}
	time.Sleep(4 * time.Second) // StabilityMs is 3 s.
	n := w.nodes[0]
	stop := make(chan struct{})
	var wg sync.WaitGroup
	var answered, lost atomic.Int64
	for i := range c10Callers {
		wg.Go(func() {
			if err := callInPairs(w, n, i, stop, &answered, &lost); err != nil {
				w.rec.printf("caller %d: %v", i, err)
			}
		})
		time.Sleep(c10Stagger)
	}
	time.Sleep(3 * time.Second)
	if w.trouble {
		w.rec.printf("SIGTERM to %s", n.name)
		n.signal(syscall.SIGTERM)
	}
	time.Sleep(4 * time.Second)
	close(stop)
	wg.Wait()
	w.rec.printf("%d requests were answered, %d were not", answered.Load(), lost.Load())
	if lost.Load() > 0 {
		return broken, nil
	}
	return held, nil
}

// callInPairs sends pairs of requests on one channel, until the machine closes it.
func callInPairs(w *world, n *node, i int, stop <-chan struct{}, answered, lost *atomic.Int64) error {
	c, err := net.Dial("tcp", n.front)
	if err != nil {
		return fmt.Errorf("connect: %w", err)
	}
	defer func() { _ = c.Close() }()
	br := bufio.NewReader(c)
	for j := 0; ; j += 2 {
		select {
		case <-stop:
			return nil
		default:
		}
		var ids [2]string
		out := ""
		for k := range ids {
			ids[k] = fmt.Sprintf("g%02d%013d", i, j+k)
			out += fmt.Sprintf("GET /idem/%d HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: 3000\r\nAuthorization: Bearer %s\r\n\r\n", k, host, ids[k], accountKey)
		}
		if _, err := c.Write([]byte(out)); err != nil {
			return fmt.Errorf("send: %w", err)
		}
		sentAt := time.Now()
		closes := false
		for k, id := range ids {
			resp, err := http.ReadResponse(br, nil)
			if err != nil {
				after := time.Since(sentAt)
				w.rec.printf("LOST: %s, request %d of the channel, has no answer %v after its last byte was sent: %v (ran: %v)", id, j+k+1,
					after.Round(time.Millisecond), err, len(w.fleet.RunsOf(id)) > 0)
				if after > c10Slack {
					lost.Add(1)
				}
				closes = true
				continue
			}
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
			answered.Add(1)
			if resp.Close {
				w.rec.printf("%s: status %d, Connection: close", id, resp.StatusCode)
				closes = true
			}
		}
		if closes {
			return nil
		}
	}
}

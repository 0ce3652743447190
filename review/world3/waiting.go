//go:build review

package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"geraniumhollow/platform/standin"
)

// Numbers of the case.
const (
	// waitingWork is the time that a request takes: long requests of the site take up to 450 ms.
	waitingWork = 300 * time.Millisecond
	// lossSlack is the time after the last byte of a request within which its channel may end.
	lossSlack = 200 * time.Millisecond
	clients   = 10
)

// waitingAtStop stops a node as planned work while clients have sent it two requests at once on kept channels.
func waitingAtStop(dir string) int {
	w, err := newWorld(dir)
	if err != nil {
		fmt.Println(err)
		return unable
	}
	defer w.end()
	w.store.Put("op", "config", standin.Configuration(5, 100*time.Millisecond, standin.Account{Name: "t1", Key: "k1"}))
	runs := &plainRuns{w: w, work: waitingWork}
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
	n := w.nodes[0]
	stopped := make(chan struct{})
	var wg sync.WaitGroup
	var mu sync.Mutex
	answered, lost := 0, 0
	for i := range clients {
		wg.Add(1)
		go func() {
			defer wg.Done()
			time.Sleep(time.Duration(i) * waitingWork / clients) // The clients are out of step.
			a, l := w.sendPairs(n, stopped)
			mu.Lock()
			defer mu.Unlock()
			answered, lost = answered+a, lost+l
		}()
	}
	time.Sleep(2500 * time.Millisecond)
	if w.trouble {
		w.signal(n, syscall.SIGTERM)
	}
	time.AfterFunc(3*time.Second, func() { close(stopped) })
	wg.Wait()
	w.printf("%d requests were answered, %d were read and got no answer", answered, lost)
	if lost > 0 {
		w.printf("LOST is broken")
		return broken
	}
	w.printf("LOST held")
	return held
}

// sendPairs sends two requests at once, again and again, on a channel that is kept until the node says or shows that it ends. It
// returns the numbers of requests that were answered, and of those that were not although the node has read them.
func (w *world) sendPairs(n *node, stopped <-chan struct{}) (int, int) {
	nc, err := net.Dial("tcp", n.front)
	if err != nil {
		w.printf("cannot connect: %v", err)
		return 0, 0
	}
	defer nc.Close()
	br := bufio.NewReader(nc)
	answered := 0
	for {
		select {
		case <-stopped:
			return answered, 0
		default:
		}
		var ids [2]string
		text := ""
		for i := range ids {
			ids[i] = fmt.Sprintf("%08x%08x", w.begun.UnixNano()&0xffffffff, w.attempts.Add(1))
			text += fmt.Sprintf("GET /once/x HTTP/1.1\r\nHost: t.example\r\nAttempt-Id: %s\r\nDeadline-Ms: 3000\r\nAuthorization: Bearer k1\r\n\r\n", ids[i])
		}
		_ = nc.SetDeadline(time.Now().Add(4 * time.Second))
		sent := time.Now()
		if _, err := io.WriteString(nc, text); err != nil {
			w.printf("%s and %s not sent: %v", ids[0], ids[1], err)
			return answered, 0
		}
		closing := false
		for i, id := range ids {
			resp, err := http.ReadResponse(br, nil)
			if err != nil {
				ended := time.Since(sent)
				// A channel that ends regularly had no unread bytes: the node has read the request.
				read := errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF)
				w.printf("%s, sent %.3f s ago as number %d of two, got no answer: %v; the answer before said that the channel ends: %v",
					id, ended.Seconds(), i+1, err, closing)
				if read && ended > lossSlack {
					return answered, 1
				}
				return answered, 0
			}
			_, err = io.Copy(io.Discard, resp.Body)
			closing = resp.Close
			w.printf("%s got status %d, signature %q, close %v, error %v", id, resp.StatusCode, resp.Header.Get("Response-Signature"), closing, err)
			answered++
		}
		if closing {
			return answered, 0
		}
	}
}

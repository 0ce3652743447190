//go:build review

package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"geraniumhollow/platform/standin"
)

// Numbers of the case.
const (
	// smallLimit and largeLimit are MaxHeaderBytes before and after the change; largeHeader lies between them.
	smallLimit  = 4096
	largeLimit  = 16384
	largeHeader = 6000
	channels    = 10
	// interval is the time between two requests on a channel.
	interval = 400 * time.Millisecond
)

// keptChannel is a client's channel that is kept for many requests.
type keptChannel struct {
	w  *world
	n  *node
	nc net.Conn
	br *bufio.Reader
}

// send makes a request with a header of about a size. It opens the channel if it is not open.
func (k *keptChannel) send(size int) (int, error) {
	if k.nc == nil {
		nc, err := net.Dial("tcp", k.n.front)
		if err != nil {
			return 0, err
		}
		k.nc, k.br = nc, bufio.NewReader(nc)
	}
	attempt := fmt.Sprintf("%08x%08x", k.w.begun.UnixNano()&0xffffffff, k.w.attempts.Add(1))
	_ = k.nc.SetDeadline(time.Now().Add(3 * time.Second))
	if _, err := fmt.Fprintf(k.nc, "GET /idem/x HTTP/1.1\r\nHost: t.example\r\nAttempt-Id: %s\r\nDeadline-Ms: 3000\r\nAuthorization: Bearer k1\r\nNote: %s\r\n\r\n",
		attempt, strings.Repeat("x", size)); err != nil {
		return 0, err
	}
	resp, err := http.ReadResponse(k.br, nil)
	if err != nil {
		return 0, err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	k.w.printf("%s, %d bytes of headers and more, sent to %s: status %d, signature %q, error %v", attempt, size, k.n.name, resp.StatusCode,
		resp.Header.Get("Response-Signature"), err)
	if resp.Close {
		_ = k.nc.Close()
		k.nc = nil
	}
	return resp.StatusCode, err
}

// largerHeaders raises MaxHeaderBytes by a new manifest while clients keep their channels, and then has them send headers that only
// the new one allows.
func largerHeaders(dir string) int {
	w, err := newWorld(dir)
	if err != nil {
		fmt.Println(err)
		return unable
	}
	defer w.end()
	manifest := func(version, limit int) []byte {
		m := standin.Configuration(version, 100*time.Millisecond, standin.Account{Name: "t1", Key: "k1"})
		return bytes.ReplaceAll(m, []byte(`"MaxHeaderBytes":8192`), []byte(fmt.Sprintf(`"MaxHeaderBytes":%d`, limit)))
	}
	first := smallLimit
	if !w.trouble {
		first = largeLimit
	}
	w.store.Put("op", "config", manifest(5, first))
	runs := &plainRuns{w: w}
	for i := range 5 {
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
	time.Sleep(4 * time.Second)
	begun := time.Now()
	if w.trouble {
		time.AfterFunc(2*time.Second, func() {
			w.store.Put("op", "config", manifest(6, largeLimit))
			w.printf("a manifest with MaxHeaderBytes %d instead of %d is acknowledged", largeLimit, smallLimit)
		})
	}
	var mu sync.Mutex
	requests, denied := 0, 0
	var wg sync.WaitGroup
	for _, n := range w.nodes {
		for range channels {
			wg.Add(1)
			go func() {
				defer wg.Done()
				k := &keptChannel{w: w, n: n}
				for time.Since(begun) < 10*time.Second {
					size := 100
					if time.Since(begun) > 2*time.Second+2*configMs*time.Millisecond {
						size = largeHeader
					}
					status, err := k.send(size)
					mu.Lock()
					requests++
					if status >= 300 && status < 500 && status != 408 && status != 421 && status != 429 {
						denied++
					}
					mu.Unlock()
					if err != nil {
						w.printf("a channel to %s ends: %v", n.name, err)
						k.nc = nil
					}
					time.Sleep(interval)
				}
			}()
		}
	}
	wg.Wait()
	may := 5 + requests/500
	w.printf("%d requests, %d of which a machine ended with a 4xx of its own; %d may", requests, denied, may)
	if denied > may {
		w.printf("DENIED is broken")
		return broken
	}
	w.printf("DENIED held")
	return held
}

//go:build review

package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// Figures of the sheet for the application, and the largest doses of garble in the site file.
const (
	appRunners  = 5
	appSlots    = 6
	appQueue    = 24
	appWork     = 60 * time.Millisecond
	spoilShare  = 0.6
	spoilX      = 0.05
	spoilLength = 5 * time.Second
	// closeShare is how often a sound answer has Connection: close.
	closeShare = 0.1
)

// app is a runner of the application.
type app struct {
	w  *world
	id string
	// faulty says that the runner spoils some of its answers now.
	faulty *atomic.Bool
	slots  chan struct{}
	queued atomic.Int64
}

// page is a message that is no answer of a runner: it has neither the attempt nor the signature.
const page = "<html><body>It works!</body></html>"

func (a *app) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	if want := q.Header.Get("Expect-Instance"); want != "" && want != a.id {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	attempt := q.Header.Get("Attempt-Id")
	w.Header().Set("Attempt-Id", attempt)
	if a.queued.Add(1) > appSlots+appQueue {
		a.queued.Add(-1)
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer a.queued.Add(-1)
	a.slots <- struct{}{}
	defer func() { <-a.slots }()
	if _, err := io.Copy(io.Discard, q.Body); err != nil {
		return
	}
	a.w.mu.Lock()
	a.w.runs++
	a.w.mu.Unlock()
	time.Sleep(appWork)
	if a.faulty.Load() && rand.Float64() < spoilX {
		a.spoil(w, attempt)
		return
	}
	w.Header().Set("Response-Signature", "signed-by-"+a.id)
	w.Header().Set("Instance-Load", fmt.Sprintf("%d,0,%d", len(a.slots), appSlots))
	if rand.Float64() < closeShare {
		w.Header().Set("Connection", "close")
	}
	_, _ = io.WriteString(w, appBody(attempt))
}

func appBody(attempt string) string { return "booked " + attempt }

// spoil sends bytes that are not a response of the protocol in place of one, and closes the channel.
func (a *app) spoil(w http.ResponseWriter, attempt string) {
	a.w.mu.Lock()
	a.w.logf("%s sends bytes that are no response for %s", a.id, attempt)
	a.w.mu.Unlock()
	nc, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	_, _ = fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\nContent-Type: text/html\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s", len(page), page)
	_ = nc.Close()
}

// spoilt: a share of the runners of the application send bytes that are not a response, for some of their requests.
func spoilt(ctx context.Context, w *world, dir string, trouble bool) int {
	store, err := w.serveStore()
	if err != nil {
		return failed
	}
	w.store.Put("op", "config", appManifest())
	faulty := make([]*atomic.Bool, appRunners)
	for i := range faulty {
		faulty[i] = new(atomic.Bool)
		if err := w.startApp(i, faulty[i]); err != nil {
			return failed
		}
	}
	var nodes []*node
	defer func() {
		for _, n := range nodes {
			n.kill()
		}
	}()
	for i := range zones {
		n, err := newNode(i, dir, store)
		if err != nil {
			return failed
		}
		nodes = append(nodes, n)
		if err := n.start(); err != nil {
			return failed
		}
	}
	time.Sleep(3 * time.Second)
	clients, stop := context.WithCancel(ctx)
	defer stop()
	for i := range 24 {
		go w.book(clients, nodes[i%len(nodes)].front, i%2 == 0)
	}
	time.Sleep(5 * time.Second)
	if w.answers(http.StatusOK) == 0 {
		return failed
	}
	for range 3 {
		for i, f := range faulty {
			f.Store(trouble && float64(i+1) <= spoilShare*appRunners)
		}
		time.Sleep(spoilLength)
		for _, f := range faulty {
			f.Store(false)
		}
		time.Sleep(3 * time.Second)
	}
	stop()
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.breaks) > 0 {
		return broken
	}
	return held
}

func (w *world) startApp(i int, faulty *atomic.Bool) error {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	a := &app{w: w, id: fmt.Sprintf("i-app%d", i), faulty: faulty, slots: make(chan struct{}, appSlots)}
	go func() { _ = http.Serve(ln, a) }()
	entry := func(seq int) []byte {
		return fmt.Appendf(nil, `{"Service":"app","Address":"%s","Zone":"%s","Version":"v1","Slots":%d,"State":"ready","ColdLeftMs":0,"Seq":%d,"born":%d}`,
			ln.Addr(), zones[i%len(zones)], appSlots, seq, w.begun.UnixMilli())
	}
	w.store.Put("servers", a.id, entry(1))
	go func() {
		for seq := 2; ; seq++ {
			time.Sleep(beat)
			w.store.PutQuietly("servers", a.id, entry(seq))
		}
	}()
	return nil
}

func appManifest() []byte {
	route := func(prefix, kind string, attempts int) string {
		return fmt.Sprintf(`{"Name":"r-%s","Host":"%s","Prefix":"/%s/","Kind":"%s","TimeoutMs":1500,"TargetLatencyMs":300,"Service":"app","MaxAttempts":%d,"Priority":2}`,
			prefix, routeHost, prefix, kind, attempts)
	}
	return []byte(`{"Version":3,"Routes":[` + route("book", "non_idempotent", 1) + `,` + route("status", "idempotent", 2) + `],` +
		`"Services":[{"Name":"app","MaxConns":96,"HealthPath":"/health"}],"Limits":{"MaxHeaderBytes":8192,"MaxBodyBytes":65536,"HeaderTimeoutMs":1000,"IdleTimeoutMs":5000},` +
		`"Tenants":[{"Name":"t1","ApiKeys":["` + apiKey + `"]}]}`)
}

// book sends requests of one kind until ctx ends, and checks the rule MIXED.
func (w *world) book(ctx context.Context, front string, once bool) {
	hc := &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	for ctx.Err() == nil {
		id := fmt.Sprintf("a%012d", attempts.Add(1))
		method, path, body := http.MethodGet, "/status/x", ""
		if once {
			method, path, body = http.MethodPost, "/book/x", "booking "+id
		}
		q, err := http.NewRequest(method, "http://"+front+path, strings.NewReader(body))
		if err != nil {
			return
		}
		q.Host = routeHost
		q.Header.Set("Attempt-Id", id)
		q.Header.Set("Deadline-Ms", "3000")
		q.Header.Set("Authorization", "Bearer "+apiKey)
		status, signature, got := 0, "", ""
		if resp, err := hc.Do(q); err == nil {
			b, rerr := io.ReadAll(resp.Body)
			_ = resp.Body.Close()
			status, signature, got = resp.StatusCode, resp.Header.Get("Response-Signature"), string(b)
			w.mu.Lock()
			if rerr == nil && status == http.StatusOK && (signature == "" || got != appBody(id)) {
				w.breakf("MIXED: the client of %s %s %s gets 200, signature %q, body %q", method, path, id, signature, got)
			}
			w.mu.Unlock()
		}
		w.mu.Lock()
		w.counts[status]++
		w.logf("%s %s %s -> %d, signature %q, %d bytes", id, method, path, status, signature, len(got))
		w.mu.Unlock()
		time.Sleep(100 * time.Millisecond)
	}
}

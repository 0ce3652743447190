//go:build review

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// usualWork is the time that a request takes at a plain runner of the site.
const usualWork = 60 * time.Millisecond

// plainRuns notes what plain runners did.
type plainRuns struct {
	w *world
	// work is the time that a request takes.
	work time.Duration
	// losing says whether the runner at a place loses answers, of which every second or third one is lost.
	losing func(place int) bool

	mu   sync.Mutex
	runs []plainRun
}

// plainRun is a request that a runner began to run.
type plainRun struct {
	attempt, server, from string
	lost                  bool
}

func (p *plainRuns) list() []plainRun {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]plainRun(nil), p.runs...)
}

// plainRunner is a runner of the service "app", which is not a model runner.
type plainRunner struct {
	all     *plainRuns
	place   int
	address string
	born    time.Time
	srv     *http.Server
	// answers counts the answers that might be lost.
	answers int
}

// loses reports whether the next answer is lost: two of five of a runner that loses answers.
func (r *plainRunner) loses() bool {
	if r.all.losing == nil || !r.all.losing(r.place) {
		return false
	}
	r.answers++
	return r.answers%5 == 1 || r.answers%5 == 3
}

func (r *plainRunner) id() string { return fmt.Sprintf("i-app-%d", r.place) }

// start starts a runner.
func (p *plainRuns) start(place int) error {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	r := &plainRunner{all: p, place: place, address: ln.Addr().String(), born: time.Now()}
	r.srv = &http.Server{Handler: r}
	p.w.group.Go("plain runner", func(ctx context.Context) error {
		stop := context.AfterFunc(ctx, func() { _ = r.srv.Close() })
		defer stop()
		_ = r.srv.Serve(p.w.fleet.Partitioned(ln))
		return nil
	})
	p.w.group.Go("renewals", r.renew)
	return nil
}

// renew registers the runner and renews its entry until it ends.
func (r *plainRunner) renew(ctx context.Context) error {
	for seq := 1; ; seq++ {
		b, err := json.Marshal(map[string]any{
			"Service": "app", "Address": r.address, "Zone": fmt.Sprintf("z%d", r.place%3), "Version": "v1", "Slots": 6, "State": "ready",
			"ColdLeftMs": 0, "Seq": seq, "born": r.born.UnixMilli(),
		})
		if err != nil {
			return err
		}
		if seq == 1 {
			r.all.w.store.Put("servers", r.id(), b)
		} else {
			r.all.w.store.PutQuietly("servers", r.id(), b)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(beatMs * time.Millisecond):
		}
	}
}

// ServeHTTP implements http.Handler.
func (r *plainRunner) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	w.Header().Set("Attempt-Id", q.Header.Get("Attempt-Id"))
	if q.URL.Path == "/report" {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(map[string]any{"Busy": false, "Seq": 0, "Queued": 0, "Active": 0, "KvUsed": 0, "KvTotal": 0, "Handles": 0, "born": r.born.UnixMilli()})
		return
	}
	if want := q.Header.Get("Expect-Instance"); want != "" && want != r.id() {
		w.Header().Set("Instance-Id", r.id())
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, q.Body); err != nil {
		return
	}
	from, _, _ := net.SplitHostPort(q.RemoteAddr)
	run := plainRun{attempt: q.Header.Get("Attempt-Id"), server: r.id(), from: from}
	r.all.mu.Lock()
	run.lost = r.loses()
	r.all.runs = append(r.all.runs, run)
	r.all.mu.Unlock()
	r.all.w.printf("runner %s runs %s from %s", r.id(), run.attempt, from)
	select {
	case <-q.Context().Done():
		return
	case <-time.After(r.all.work):
	}
	if run.lost {
		resetConn(w)
		return
	}
	answer := "answer to " + run.attempt
	w.Header().Set("Response-Signature", "signed-by-"+r.id())
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	_, _ = io.WriteString(w, answer)
}

// resetConn resets the connection of a request.
func resetConn(w http.ResponseWriter) {
	h, ok := w.(http.Hijacker)
	if !ok {
		panic(http.ErrAbortHandler)
	}
	nc, _, err := h.Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if c, ok := nc.(interface{ SetLinger(sec int) error }); ok {
		_ = c.SetLinger(0)
	}
	_ = nc.Close()
}

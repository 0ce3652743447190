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

// Lives of a plain runner.
const (
	// backAfter is how long a runner that has crashed is away.
	backAfter = 2 * time.Second
	// lapseAfter is when the store removes the entry of a runner that renews it no more.
	lapseAfter = 3 * beatMs * time.Millisecond
)

// plainRuns notes what plain runners did, and crashes those that begin to run a body.
type plainRuns struct {
	w      *world
	poison string
	// losing says whether the runner at a place loses answers, of which every second or third one is lost.
	losing func(place int) bool

	mu   sync.Mutex
	runs []plainRun
}

// plainRun is a request that a runner began to run.
type plainRun struct {
	attempt, server, from, body string
	at                          time.Time
	crashed, lost               bool
}

func (p *plainRuns) list() []plainRun {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]plainRun(nil), p.runs...)
}

// crashes returns how many runners have crashed.
func (p *plainRuns) crashes() int {
	n := 0
	for _, r := range p.list() {
		if r.crashed {
			n++
		}
	}
	return n
}

// plainRunner is one lifetime of a runner of the service "app", which is not a model runner.
type plainRunner struct {
	all     *plainRuns
	place   int
	life    int
	address string
	born    time.Time
	srv     *http.Server
	dead    chan struct{}
	once    sync.Once
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

func (r *plainRunner) id() string { return fmt.Sprintf("i-%d-%d", r.place, r.life) }

// start begins a lifetime. An empty address stands for any.
func (p *plainRuns) start(place, life int, address string) error {
	if address == "" {
		address = "127.0.0.1:0"
	}
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	r := &plainRunner{all: p, place: place, life: life, address: ln.Addr().String(), born: time.Now(), dead: make(chan struct{})}
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
		case <-r.dead:
			time.AfterFunc(lapseAfter, func() { r.all.w.store.Delete("servers", r.id()) })
			return nil
		case <-time.After(beatMs * time.Millisecond):
		}
	}
}

// crash ends the runner at once. Another lifetime begins some seconds later.
func (r *plainRunner) crash() {
	r.once.Do(func() {
		r.all.w.printf("runner %s crashes", r.id())
		close(r.dead)
		_ = r.srv.Close()
		time.AfterFunc(backAfter, func() {
			if r.all.w.ctx.Err() != nil {
				return
			}
			if err := r.all.start(r.place, r.life+1, r.address); err != nil {
				r.all.w.printf("runner %s cannot start again: %v", r.id(), err)
			}
		})
	})
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
	body, err := io.ReadAll(q.Body)
	if err != nil {
		return
	}
	from, _, _ := net.SplitHostPort(q.RemoteAddr)
	run := plainRun{attempt: q.Header.Get("Attempt-Id"), server: r.id(), from: from, body: string(body), at: time.Now()}
	run.crashed = r.all.poison != "" && run.body == r.all.poison
	r.all.mu.Lock()
	run.lost = r.loses()
	r.all.runs = append(r.all.runs, run)
	r.all.mu.Unlock()
	r.all.w.printf("runner %s runs %s from %s", r.id(), run.attempt, from)
	if run.crashed {
		r.crash()
		panic(http.ErrAbortHandler)
	}
	select {
	case <-q.Context().Done():
		return
	case <-r.dead:
		panic(http.ErrAbortHandler)
	case <-time.After(60 * time.Millisecond):
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

//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

// runner is one life of a model server. Its state is guarded by the lock of the world.
type runner struct {
	w              *world
	id, addr, zone string
	domain         string
	born           time.Time
	ln             net.Listener
	srv            *http.Server
	dead           bool
	seq            uint64
	group          string
	epoch, seen    uint64
	members        []string
	state          string
	model, staged  string
	active         int
	// standsSince is since when the head lacks a member that was ready, zero if it lacks none.
	standsSince time.Time
}

// startRunner starts a life of a runner at an address, "127.0.0.1:0" for any. staged is what its host keeps.
func (w *world) startRunner(id, addr, zone, domain, staged string) (*runner, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	r := &runner{w: w, id: id, addr: ln.Addr().String(), zone: zone, domain: domain, born: time.UnixMilli(time.Now().UnixMilli()), ln: ln, staged: staged}
	r.srv = &http.Server{Handler: r}
	w.mu.Lock()
	w.runners[id] = r
	r.register()
	w.logf("runner %s starts at %s in %s", id, r.addr, domain)
	w.mu.Unlock()
	go func() { _ = r.srv.Serve(ln) }()
	go r.renew()
	return r, nil
}

// crash ends the runner without a word. The store drops its entry after three intervals of silence.
func (r *runner) crash() {
	r.w.mu.Lock()
	r.dead = true
	r.w.logf("runner %s crashes", r.id)
	r.w.mu.Unlock()
	_ = r.srv.Close()
	time.AfterFunc(lapse, func() {
		r.w.mu.Lock()
		defer r.w.mu.Unlock()
		r.w.logf("the store drops the entry of %s", r.id)
		r.w.store.Delete("servers", r.id)
	})
}

func (r *runner) renew() {
	for range time.Tick(beat) {
		r.w.mu.Lock()
		if r.dead {
			r.w.mu.Unlock()
			return
		}
		r.seq++
		r.w.store.PutQuietly("servers", r.id, r.entry())
		r.w.mu.Unlock()
	}
}

// register writes the entry. The lock must be held.
func (r *runner) register() {
	if !r.dead {
		r.seq++
		r.w.store.Put("servers", r.id, r.entry())
	}
}

func (r *runner) entry() []byte {
	e := map[string]any{
		"Service": service, "Address": r.addr, "Zone": r.zone, "Version": "v1", "Slots": slots, "State": "ready", "ColdLeftMs": 0, "Seq": r.seq,
	}
	return r.encode(e)
}

// encode adds what the runner says of itself wherever it does so.
func (r *runner) encode(e map[string]any) []byte {
	models, staged := []any{}, []string{}
	if r.model != "" && r.state != "joining" {
		models = append(models, map[string]any{"Name": r.model, "Version": 1, "Adapters": []string{}})
	}
	if r.staged != "" {
		staged = append(staged, r.staged)
	}
	e["born"], e["Stage"], e["Domain"], e["Models"], e["Staged"], e["group"] = r.born.UnixMilli(), "colocated", r.domain, models, staged, nil
	if r.group != "" {
		e["group"] = map[string]any{"Name": r.group, "epoch": r.epoch, "rank": slices.Index(r.members, r.id), "State": r.state}
	}
	b, err := json.Marshal(e)
	if err != nil {
		panic(err) // A map of plain values always has a JSON form.
	}
	return b
}

// ServeHTTP implements http.Handler. Requests and orders for another runner get 421; a report says in "born" whose it is.
func (r *runner) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	other := q.Header.Get("Expect-Instance") != "" && q.Header.Get("Expect-Instance") != r.id
	switch {
	case q.URL.Path == "/report":
		r.w.mu.Lock()
		defer r.w.mu.Unlock()
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write(r.encode(map[string]any{"Busy": false, "Seq": r.seq, "Queued": 0, "Active": r.active, "KvUsed": 0, "KvTotal": 2470000, "Handles": 0, "pace": 1}))
	case q.URL.Path == "/health":
		w.Header().Set("Instance-Id", r.id)
	case other && q.URL.Path == "/order":
		r.w.mu.Lock()
		r.w.logf("order for %s arrives at %s -> 421", q.Header.Get("Expect-Instance"), r.id)
		r.w.mu.Unlock()
		w.WriteHeader(http.StatusMisdirectedRequest)
	case other:
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
	case q.URL.Path == "/order":
		r.serveOrder(w, q)
	default:
		r.serveStream(w, q)
	}
}

type order struct {
	Op      string   `json:"Op"`
	Group   string   `json:"group"`
	Epoch   uint64   `json:"epoch"`
	Model   string   `json:"Model"`
	Members []string `json:"Members"`
}

func formation(group string, epoch uint64, members []string) string {
	return fmt.Sprintf("%s/%d[%s]", group, epoch, strings.Join(members, " "))
}

func (r *runner) serveOrder(w http.ResponseWriter, q *http.Request) {
	var o order
	if err := json.NewDecoder(q.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	r.w.mu.Lock()
	r.w.giver, _, _ = net.SplitHostPort(q.RemoteAddr)
	r.w.orders++
	if r.w.late != nil && r.w.late(r, o) {
		r.w.lateOrders++
		r.w.logf("order to %s: %s %s gets no answer", r.id, o.Op, formation(o.Group, o.Epoch, o.Members))
		r.w.mu.Unlock()
		select {
		case <-q.Context().Done():
		case <-time.After(stallTime):
		}
		panic(http.ErrAbortHandler)
	}
	status := r.order(o)
	r.w.logf("order to %s: %s %s -> %d", r.id, o.Op, formation(o.Group, o.Epoch, o.Members), status)
	r.w.mu.Unlock()
	w.WriteHeader(status)
}

func (r *runner) order(o order) int {
	in := r.group == o.Group && r.epoch == o.Epoch && r.group != ""
	switch o.Op {
	case "join":
		return r.join(o, in)
	case "open":
		if in && r.state == "open" {
			return http.StatusOK
		}
		if !in || r.state != "ready" || r.members[0] != r.id {
			return http.StatusConflict
		}
		key := formation(r.group, r.epoch, r.members)
		r.later(formTime, func() {
			if formation(r.group, r.epoch, r.members) == key && r.state == "ready" {
				r.state = "open"
				r.w.logf("%s is open in %s", r.id, key)
			}
		})
	case "close":
		if !in || r.state != "open" {
			return http.StatusConflict
		}
		r.state = "ready"
	case "leave":
		if in {
			r.group, r.epoch, r.members, r.state, r.standsSince = "", 0, nil, "", time.Time{}
		}
	case "Stage":
		r.later(r.loadTime(), func() { r.staged = o.Model })
	default:
		return http.StatusBadRequest
	}
	r.register()
	return http.StatusAccepted
}

// loadTime is a tenth of the usual one before the first request.
func (r *runner) loadTime() time.Duration {
	if r.w.served {
		return loadTime
	}
	return loadTime / 10
}

func (r *runner) join(o order, in bool) int {
	switch {
	case o.Epoch < r.seen || in && !slices.Equal(o.Members, r.members):
		return http.StatusPreconditionFailed
	case in:
		return http.StatusOK
	}
	r.checkTwo(o)
	wait := r.loadTime()
	switch {
	case r.model == o.Model:
		wait = sameTime
	case r.staged == o.Model:
		wait = warmTime
	}
	r.seen, r.group, r.epoch, r.members, r.state, r.model, r.standsSince = o.Epoch, o.Group, o.Epoch, o.Members, "joining", o.Model, time.Time{}
	key := formation(o.Group, o.Epoch, o.Members)
	r.later(wait, func() {
		if formation(r.group, r.epoch, r.members) == key && r.state == "joining" {
			r.state, r.staged = "ready", o.Model
			r.w.ready[r.id+" in "+key] = true
			r.w.logf("%s is ready in %s", r.id, key)
		}
	})
	r.register()
	return http.StatusAccepted
}

func (r *runner) later(d time.Duration, change func()) {
	time.AfterFunc(d, func() {
		r.w.mu.Lock()
		defer r.w.mu.Unlock()
		if !r.dead {
			change()
			r.register()
		}
	})
}

// stands reports whether an open head lacks a member that was ready in its formation. After the stall time it is broken.
func (r *runner) stands() bool {
	key := formation(r.group, r.epoch, r.members)
	lacks := false
	for _, id := range r.members {
		m := r.w.runners[id]
		there := m != nil && !m.dead && formation(m.group, m.epoch, m.members) == key
		lacks = lacks || !there && r.w.ready[id+" in "+key]
	}
	switch {
	case !lacks:
		r.standsSince = time.Time{}
	case r.standsSince.IsZero():
		r.standsSince = time.Now()
	case time.Since(r.standsSince) >= stallTime && r.state == "open":
		r.state = "broken"
		r.w.logf("%s is broken in %s", r.id, key)
		r.register()
	}
	return lacks
}

// watch breaks the heads that lack a member for too long.
func (w *world) watch() {
	for range time.Tick(100 * time.Millisecond) {
		w.mu.Lock()
		for _, r := range w.runners {
			if !r.dead && r.state == "open" {
				r.stands()
			}
		}
		w.mu.Unlock()
	}
}

// events is how many events a stream has.
const events = 5

// serveStream runs a request at an open head.
func (r *runner) serveStream(w http.ResponseWriter, q *http.Request) {
	attempt := q.Header.Get("Attempt-Id")
	_, _ = io.Copy(io.Discard, q.Body)
	w.Header().Set("Attempt-Id", attempt)
	r.w.mu.Lock()
	if r.group != "" && r.members[0] != r.id {
		r.w.mu.Unlock()
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.state != "open" {
		r.w.mu.Unlock()
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if r.stands() {
		r.w.mu.Unlock()
		select { // Nothing moves.
		case <-q.Context().Done():
		case <-time.After(2 * stallTime):
		}
		panic(http.ErrAbortHandler)
	}
	r.active++
	r.w.runs++
	r.w.served = true
	r.checkWhole(attempt)
	w.Header().Set("Response-Signature", "signed-by-"+r.id)
	w.Header().Set("Instance-Load", fmt.Sprintf("%d,0,%d", r.active, slots))
	w.Header().Set("Content-Type", "text/event-stream")
	r.w.mu.Unlock()
	defer func() {
		r.w.mu.Lock()
		r.active--
		r.w.mu.Unlock()
	}()
	from, _ := strconv.Atoi(q.Header.Get("Last-Event-Id"))
	for n := from + 1; n <= events; n++ {
		time.Sleep(20 * time.Millisecond)
		if _, err := fmt.Fprintf(w, "id: %d\ndata: token-%d\n\n", n, n); err != nil {
			return
		}
		if err := http.NewResponseController(w).Flush(); err != nil {
			return
		}
	}
}

// checkWhole checks the rule PARTIAL as a request begins to run. The lock must be held.
func (r *runner) checkWhole(attempt string) {
	key := formation(r.group, r.epoch, r.members)
	if len(r.members) != groupSize {
		r.w.breakf("PARTIAL: request %s runs in %s, which has not the size %d", attempt, key, groupSize)
		return
	}
	for _, id := range r.members {
		if !r.w.ready[id+" in "+key] {
			r.w.breakf("PARTIAL: request %s runs at %s in %s, and its member %s has never been ready in it", attempt, r.id, key, id)
			return
		}
	}
}

// checkTwo checks the rule TWO as the runner takes a join of another formation. The lock must be held.
func (r *runner) checkTwo(o order) {
	if r.group == "" {
		return
	}
	head := r.w.runners[r.members[0]]
	if head != nil && !head.dead && head.state == "open" && head.group == r.group && head.epoch == r.epoch {
		r.w.breakf("TWO: %s takes a join of %s while %s, the head of its group %s, is open", r.id, formation(o.Group, o.Epoch, o.Members), head.id, formation(r.group, r.epoch, r.members))
	}
}

// carryOut carries an order out that got no answer. The lock must be held.
func (r *runner) carryOut(o order) {
	if r.dead {
		return
	}
	r.w.logf("late order to %s: %s %s -> %d", r.id, o.Op, formation(o.Group, o.Epoch, o.Members), r.order(o))
}

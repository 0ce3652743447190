package mirror_test

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"geraniumhollow/internal/fleet/mirror"
	"geraniumhollow/internal/plat/table"
	"github.com/hashicorp/go-hclog"
	"pgregory.net/rapid"
)

// source is a feed that can be made to fail.
type source struct {
	mu      sync.Mutex
	rows    map[string]table.Row
	log     []table.Row // rows without a value are removals
	rev     uint64
	floor   uint64
	away    bool
	silent  bool
	cut     int // calls to refuse
	changed chan struct{}
	calls   int
}

func newSource() *source {
	return &source{rows: make(map[string]table.Row), changed: make(chan struct{})}
}

func (s *source) put(key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	r := table.Row{Key: key, Value: []byte(value), Revision: s.rev}
	s.rows[key] = r
	s.add(r)
}

func (s *source) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	delete(s.rows, key)
	s.add(table.Row{Key: key, Revision: s.rev})
}

func (s *source) add(r table.Row) {
	s.log = append(s.log, r)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *source) set(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
}

func (s *source) called() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

func (s *source) all() map[string]string {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]string)
	for k, r := range s.rows {
		out[k] = string(r.Value)
	}
	return out
}

// copyFrom takes the rows of another source.
func (s *source) copyFrom(o *source) {
	o.mu.Lock()
	rows, rev := maps.Clone(o.rows), o.rev
	o.mu.Unlock()
	s.set(func() { s.rows, s.rev = rows, rev })
}

func (s *source) Snapshot(ctx context.Context, _ string) (table.State, error) {
	if err := s.fault(ctx); err != nil {
		return table.State{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	st := table.State{Revision: s.rev}
	for _, r := range s.rows {
		st.Rows = append(st.Rows, r)
	}
	return st, nil
}

func (s *source) fault(ctx context.Context) error {
	s.mu.Lock()
	s.calls++
	away, silent := s.away || s.cut > 0, s.silent
	s.cut = max(0, s.cut-1)
	s.mu.Unlock()
	if silent {
		<-ctx.Done()
		return table.ErrUnavailable
	}
	if away {
		return table.ErrUnavailable
	}
	return nil
}

func (s *source) Changes(ctx context.Context, _ string, after uint64, wait time.Duration) (table.Delta, error) {
	if err := s.fault(ctx); err != nil {
		return table.Delta{}, err
	}
	end := time.After(wait)
	for {
		s.mu.Lock()
		if after < s.floor {
			s.mu.Unlock()
			return table.Delta{}, table.ErrHistoryLost
		}
		d := table.Delta{Revision: s.rev}
		last := make(map[string]table.Row)
		for _, r := range s.log {
			if r.Revision > after {
				last[r.Key] = r
			}
		}
		for k, r := range last {
			if r.Value == nil {
				d.Removed = append(d.Removed, k)
			} else {
				d.Changed = append(d.Changed, r)
			}
		}
		changed := s.changed
		s.mu.Unlock()
		if len(last) > 0 {
			return d, nil
		}
		select {
		case <-changed:
		case <-end:
			return d, nil
		case <-ctx.Done():
			return table.Delta{}, table.ErrUnavailable
		}
	}
}

// reader collects what a copy tells.
type reader struct {
	mu      sync.Mutex
	rows    map[string]string
	reached []bool
}

func newReader() *reader { return &reader{rows: make(map[string]string)} }

func (r *reader) apply(u mirror.Update) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if u.Full {
		clear(r.rows)
	}
	for _, row := range u.Put {
		r.rows[row.Key] = string(row.Value)
	}
	for _, k := range u.Removed {
		delete(r.rows, k)
	}
}

// reach returns what the copy told of the reach of the store.
func (r *reader) reach() []bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.reached)
}

func (r *reader) all() map[string]string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.rows)
}

func (r *reader) get(key string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rows[key]
}

// copies counts the copies, which need names of their own.
var copies atomic.Int64

// of returns an origin that is a node's copy.
func of(node table.Feed) func() mirror.Origin {
	return func() mirror.Origin { return mirror.Origin{Node: node} }
}

// follow starts a copy and returns it with its reader; it ends with the test.
func follow(ctx context.Context, t *testing.T, cfg mirror.Config) (*mirror.Copy, *reader) {
	t.Helper()
	r := newReader()
	cfg.Family, cfg.Apply, cfg.Log = "op", r.apply, hclog.NewNullLogger()
	cfg.Self = fmt.Sprintf("copy-%d", copies.Add(1))
	cfg.Reached = func(ok bool) {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.reached = append(r.reached, ok)
	}
	c := mirror.New(cfg)
	go func() {
		if err := c.Run(ctx); err != nil {
			t.Error(err)
		}
	}()
	return c, r
}

// bubble runs a test with a clock of its own and a context that ends before it.
func bubble(t *testing.T, f func(t *testing.T, ctx context.Context)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		f(t, ctx)
		cancel()
		synctest.Wait()
	})
}

// Guards against changes that do not arrive, and a dropped history after which they stop.
func TestFollowsStore(t *testing.T) {
	t.Parallel()
	bubble(t, func(t *testing.T, ctx context.Context) {
		s := newSource()
		s.put("op/config", "1")
		_, r := follow(ctx, t, mirror.Config{Store: s, Wait: time.Second})
		time.Sleep(10 * time.Millisecond)
		s.put("op/config", "2")
		time.Sleep(10 * time.Millisecond)
		if got := r.get("op/config"); got != "2" {
			t.Errorf("got %q after a change", got)
		}
		s.set(func() { s.floor, s.log = s.rev+1, nil; s.rev += 2 })
		s.put("op/config", "3")
		time.Sleep(2 * time.Second)
		if got := r.get("op/config"); got != "3" {
			t.Errorf("got %q after the history was dropped", got)
		}
	})
}

// readWait is how long nodes wait for changes in one read of the store.
const readWait = 500 * time.Millisecond

// Guards against a node that the store refuses, or leaves without an answer, and that does not learn of a change from
// others within two seconds.
func TestFollowsPeerDuringOutage(t *testing.T) {
	t.Parallel()
	for _, silent := range []bool{false, true} {
		bubble(t, func(t *testing.T, ctx context.Context) {
			s, own := newSource(), newSource()
			s.put("op/config", "1")
			own.put("op/config", "1")
			other, _ := follow(ctx, t, mirror.Config{Store: s, Wait: time.Second})
			_, r := follow(ctx, t, mirror.Config{Store: own, Wait: readWait, Peer: func() table.Feed { return other }})
			time.Sleep(5 * time.Second)
			own.set(func() { own.away, own.silent = !silent, silent })
			s.put("op/config", "2")
			time.Sleep(2 * time.Second)
			if got := r.get("op/config"); got != "2" {
				t.Errorf("silent %v: got %q two seconds after the change", silent, got)
			}
		})
	}
}

// readsStore follows a store, beside another node that has a store of its own and whose copy knows no more.
func readsStore(ctx context.Context, t *testing.T) (*source, *reader) {
	t.Helper()
	s, other := newSource(), newSource()
	s.put("op/config", "1")
	other.put("op/config", "1")
	behind, _ := follow(ctx, t, mirror.Config{Store: other, Wait: time.Second})
	_, r := follow(ctx, t, mirror.Config{
		Store: s, Wait: time.Second, Peer: func() table.Feed { return behind },
	})
	return s, r
}

// Guards against a reader of the store that follows a node which knows no more for as long as it answers,
// because one call of the store was cut.
func TestOneCallCut(t *testing.T) {
	t.Parallel()
	bubble(t, func(t *testing.T, ctx context.Context) {
		s, r := readsStore(ctx, t)
		time.Sleep(1500 * time.Millisecond)
		s.set(func() { s.cut = 1 })
		time.Sleep(700 * time.Millisecond)
		s.put("op/config", "2")
		time.Sleep(100 * time.Millisecond)
		if got := r.get("op/config"); got != "2" {
			t.Errorf("got %q 0.1 s after the change", got)
		}
	})
}

// Guards against a store that is called more than once a second by each of many nodes while it is away (grown
// strygekurv trouble-3: 330 of these calls a second).
func TestCallsWhileStoreIsAway(t *testing.T) {
	t.Parallel()
	bubble(t, func(t *testing.T, ctx context.Context) {
		s, _ := readsStore(ctx, t)
		time.Sleep(1500 * time.Millisecond)
		s.set(func() { s.away = true })
		time.Sleep(2 * time.Second)
		before := s.called()
		time.Sleep(10 * time.Second)
		if calls := s.called() - before; calls > 10 {
			t.Errorf("%d calls in 10 s", calls)
		}
	})
}

// Guards against nodes that follow each other in a circle, or one that has no source, after the one that reads the store
// has lost it, although the store serves another of them.
func TestUpstreamLosesStore(t *testing.T) {
	t.Parallel()
	bubble(t, func(t *testing.T, ctx context.Context) {
		s, own := newSource(), newSource()
		s.put("op/config", "1")
		own.put("op/config", "1")
		var low *mirror.Copy
		up, above := follow(ctx, t, mirror.Config{Store: own, Wait: time.Second, Peer: func() table.Feed { return low }})
		low, below := follow(ctx, t, mirror.Config{Store: s, Wait: time.Second, Origin: of(up)})
		time.Sleep(3 * time.Second)
		own.set(func() { own.away = true })
		// The node above is refused at the end of its read, after a second at most.
		time.Sleep(1200 * time.Millisecond)
		s.put("op/config", "2")
		time.Sleep(100 * time.Millisecond)
		if got := below.get("op/config"); got != "2" {
			t.Errorf("the lower node has %q 0.1 s after the change", got)
		}
		time.Sleep(time.Second)
		if got := above.get("op/config"); got != "2" {
			t.Errorf("the upper node has %q 1.1 s after the change", got)
		}
	})
}

// Guards against a tree whose lower nodes are refused again and again, while the first node is cut off from the store and
// helped by one of the nodes that lead below it (strygekurv large trouble-1 at a fifth of its size: a configuration of 22 s
// reached a node at 28.7 s).
func TestTreeBelowCutReader(t *testing.T) {
	t.Parallel()
	bubble(t, func(t *testing.T, ctx context.Context) {
		s, own := newSource(), newSource()
		s.put("op/config", "1")
		own.put("op/config", "1")
		leads := make([]*mirror.Copy, 3)
		turn := 0
		first, _ := follow(ctx, t, mirror.Config{Store: own, Wait: readWait, Peer: func() table.Feed {
			turn++
			return leads[turn%len(leads)]
		}})
		readers := make([]*reader, 0, 3*len(leads))
		for i := range leads {
			var r *reader
			leads[i], r = follow(ctx, t, mirror.Config{Store: s, Wait: readWait, Origin: of(first)})
			readers = append(readers, r)
			for range 2 {
				_, below := follow(ctx, t, mirror.Config{
					Store: newSource(), Wait: readWait, Origin: of(leads[i]), Patience: func(bool) time.Duration { return time.Hour },
				})
				readers = append(readers, below)
			}
		}
		time.Sleep(3 * time.Second)
		for _, silent := range []bool{false, true} {
			own.set(func() { own.away, own.silent = !silent, silent })
			for i := range 8 {
				want := fmt.Sprintf("%v %d", silent, i)
				s.put("op/config", want)
				time.Sleep(2 * time.Second)
				for k, r := range readers {
					if got := r.get("op/config"); got != want {
						t.Errorf("node %d has %q 2 s after %q", k, got, want)
					}
				}
			}
		}
	})
}

// Guards against a node that was started again and takes rows from one that has been cut off for long, although the store
// would serve it: servers that have left, or keys that were withdrawn, would be in use again. Also guards against a node that
// takes no rows at all while the store is away.
func TestStartsFromStaleNode(t *testing.T) {
	t.Parallel()
	for _, away := range []bool{false, true} {
		bubble(t, func(t *testing.T, ctx context.Context) {
			s, own := newSource(), newSource()
			own.put("op/config", "old")
			cut, _ := follow(ctx, t, mirror.Config{Store: own, Wait: readWait})
			time.Sleep(time.Second)
			own.set(func() { own.away = true })
			time.Sleep(3 * time.Second)
			s.put("op/before", "x")
			s.put("op/config", "new")
			s.set(func() { s.away = away })
			begun := time.Now()
			_, r := follow(ctx, t, mirror.Config{
				Store: s, Wait: readWait, Origin: of(cut), Patience: func(bool) time.Duration { return 500 * time.Millisecond },
			})
			for time.Since(begun) < 6*time.Second {
				time.Sleep(10 * time.Millisecond)
				if got := r.get("op/config"); !away && got == "old" {
					t.Fatalf("has %q after %v, which was withdrawn", got, time.Since(begun))
				}
			}
			if got := r.get("op/config"); (got == "old") != away || got == "" {
				t.Errorf("store away %v: has %q after 6 s", away, got)
			}
		})
	}
}

// Guards against followers that read the store, all at once, because the node above them was lost for a moment or has no
// source itself, and against ones that never read it.
func TestPatience(t *testing.T) {
	t.Parallel()
	bubble(t, func(t *testing.T, ctx context.Context) {
		s, direct := newSource(), newSource()
		s.put("op/config", "1")
		first, _ := follow(ctx, t, mirror.Config{Store: s, Wait: time.Second})
		var gone atomic.Bool
		_, r := follow(ctx, t, mirror.Config{
			Store: direct, Wait: time.Second,
			Origin: func() mirror.Origin {
				if gone.Load() {
					return mirror.Origin{}
				}
				return mirror.Origin{Node: first}
			},
			Patience: func(upstream bool) time.Duration {
				if upstream {
					return 6 * time.Second
				}
				return 2 * time.Second
			},
		})
		time.Sleep(3 * time.Second)
		gone.Store(true)
		time.Sleep(2 * time.Second) // The last read of the lost node took a part of it.
		gone.Store(false)
		time.Sleep(time.Second)
		s.set(func() { s.away = true })
		time.Sleep(6 * time.Second)
		if n := direct.called(); n > 0 {
			t.Errorf("%d reads of the store", n)
		}
		s.set(func() { s.away = false })
		time.Sleep(2 * time.Second)
		gone.Store(true)
		direct.copyFrom(s)
		time.Sleep(4 * time.Second)
		direct.put("op/config", "2")
		time.Sleep(100 * time.Millisecond)
		if got := r.get("op/config"); got != "2" {
			t.Errorf("has %q 4 s after its node was lost", got)
		}
	})
}

// Guards against a hint that is dropped because an earlier one is being followed.
func TestHintsInARow(t *testing.T) {
	t.Parallel()
	bubble(t, func(t *testing.T, ctx context.Context) {
		s, other := newSource(), newSource()
		s.put("op/config", "1")
		other.put("op/config", "1")
		c, r := follow(ctx, t, mirror.Config{Store: s, Wait: time.Second})
		time.Sleep(100 * time.Millisecond)
		for i := 2; i < 6; i++ {
			other.put("op/config", fmt.Sprint(i))
			// Hints of one revision stay queued while the one before is followed.
			c.Hint(uint64(i), frozen{other, i})
		}
		time.Sleep(300 * time.Millisecond)
		if got := r.get("op/config"); got != "5" {
			t.Errorf("got %q, the last hint was of 5", got)
		}
	})
}

// frozen is a source as it was when it had a number of changes.
type frozen struct {
	*source
	changes int
}

func (f frozen) Changes(ctx context.Context, family string, after uint64, wait time.Duration) (table.Delta, error) {
	d, err := f.source.Changes(ctx, family, after, wait)
	d.Revision = min(d.Revision, uint64(f.changes))
	for i, r := range d.Changed {
		d.Changed[i] = f.log[min(int(r.Revision), f.changes)-1]
	}
	return d, err
}

// Guards against nodes that are not told of a revision which a node learns by reading all rows.
func TestTellsOfFullRead(t *testing.T) {
	t.Parallel()
	bubble(t, func(t *testing.T, ctx context.Context) {
		s := newSource()
		s.put("op/config", "1")
		var told atomic.Uint64
		_, r := follow(ctx, t, mirror.Config{Store: s, Wait: time.Second, Advanced: told.Store})
		time.Sleep(100 * time.Millisecond)
		// The change is not in the history that the next read asks for.
		s.set(func() { s.rows["op/config"] = table.Row{Key: "op/config", Value: []byte("2"), Revision: 9} })
		s.set(func() { s.floor, s.log, s.rev = 9, nil, 9 })
		time.Sleep(2 * time.Second)
		if r.get("op/config") != "2" || told.Load() != 9 {
			t.Errorf("has %q, told of revision %d", r.get("op/config"), told.Load())
		}
	})
}

// Guards against followers that read the store although their upstream answers, and that go on with one that
// does not.
func TestUpstream(t *testing.T) {
	t.Parallel()
	bubble(t, func(t *testing.T, ctx context.Context) {
		s, direct := newSource(), newSource()
		s.put("op/config", "1")
		first, _ := follow(ctx, t, mirror.Config{Store: s, Wait: time.Second})
		time.Sleep(10 * time.Millisecond)
		_, r := follow(ctx, t, mirror.Config{Store: direct, Wait: time.Second, Origin: of(first)})
		time.Sleep(10 * time.Second)
		if n := direct.called(); n > 0 || r.get("op/config") != "1" {
			t.Errorf("the follower read the store %d times and has %q", n, r.get("op/config"))
		}
		// The upstream's own source fails, and nobody else helps it.
		s.set(func() { s.away = true })
		direct.copyFrom(s)
		time.Sleep(3 * time.Second)
		direct.put("op/config", "2")
		time.Sleep(2 * time.Second)
		if got := r.get("op/config"); got != "2" {
			t.Errorf("got %q after the upstream failed", got)
		}
	})
}

// Guards against a hint that is not followed while the copy's own source hears nothing.
func TestHint(t *testing.T) {
	t.Parallel()
	bubble(t, func(t *testing.T, ctx context.Context) {
		s, own := newSource(), newSource()
		s.put("op/config", "1")
		own.put("op/config", "1")
		other, _ := follow(ctx, t, mirror.Config{Store: s, Wait: time.Second})
		c, r := follow(ctx, t, mirror.Config{Store: own, Wait: 30 * time.Second})
		time.Sleep(time.Second)
		s.put("op/config", "2")
		time.Sleep(time.Millisecond)
		c.Hint(2, other)
		time.Sleep(200 * time.Millisecond)
		if got := r.get("op/config"); got != "2" {
			t.Errorf("got %q after a hint", got)
		}
	})
}

// Guards against an outage that is not told, or told of while others help.
func TestReached(t *testing.T) {
	t.Parallel()
	bubble(t, func(t *testing.T, ctx context.Context) {
		s := newSource()
		s.put("op/config", "1")
		_, r := follow(ctx, t, mirror.Config{Store: s, Wait: time.Second})
		time.Sleep(time.Second)
		s.set(func() { s.away = true })
		time.Sleep(3 * time.Second)
		s.set(func() { s.away = false })
		time.Sleep(3 * time.Second)
		if got := fmt.Sprint(r.reach()); got != "[false true]" {
			t.Errorf("told %s, want the outage and its end", got)
		}
	})
}

// Guards against a follower that ends with other rows than the store, whatever is removed and written again while
// it reads.
func TestCopiesAgree(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(rt *rapid.T) {
		s := newSource()
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			first, _ := follow(ctx, t, mirror.Config{Store: s, Wait: time.Second})
			_, r := follow(ctx, t, mirror.Config{Store: newSource(), Wait: time.Second, Origin: of(first)})
			for i := range rapid.IntRange(1, 40).Draw(rt, "changes") {
				key := fmt.Sprintf("op/%d", rapid.IntRange(0, 3).Draw(rt, "key"))
				if rapid.Bool().Draw(rt, "remove") {
					s.remove(key)
				} else {
					s.put(key, fmt.Sprint(i))
				}
				time.Sleep(time.Duration(rapid.IntRange(0, 30).Draw(rt, "ms")) * time.Millisecond)
			}
			time.Sleep(3 * time.Second)
			if got, want := r.all(), s.all(); !maps.Equal(got, want) {
				rt.Errorf("got %v, want %v", got, want)
			}
			cancel()
			synctest.Wait()
		})
	})
}

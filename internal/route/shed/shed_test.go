package shed_test

import (
	"slices"
	"testing"
	"time"

	"geraniumhollow/internal/route/shed"
)

const limit = 1 << 20

var t0 = time.Unix(1000, 0)

// source records that a body was shed.
type source struct{ shed bool }

func (s *source) Shed() { s.shed = true }

// open opens a body that holds and has received n bytes.
func open(t *testing.T, b *shed.Budget, now time.Time, client string, length, n int) (*shed.Body, *source) {
	t.Helper()
	s := new(source)
	body := b.Open(now, client, length, limit, s)
	if !body.Grow(now, n) {
		t.Fatalf("a body of %q does not get %d bytes", client, n)
	}
	body.Progress(now, n)
	return body, s
}

// Guards against a body that is shed although others have stalled, or that has to wait for the largest of them.
func TestStalledIsShedFirst(t *testing.T) {
	t.Parallel()
	b := shed.New(limit)
	_, small := open(t, b, t0, "a", -1, 200<<10)
	_, large := open(t, b, t0, "b", -1, 300<<10)
	now := t0.Add(2 * time.Second)
	_, active := open(t, b, now, "c", -1, 250<<10)
	_, _ = open(t, b, now, "d", -1, 200<<10)
	if small.shed || !large.shed || active.shed {
		t.Errorf("shed: small %v, large %v, active %v; want the large one", small.shed, large.shed, active.shed)
	}
	if got := b.Stats(); got.Held != 650<<10 || got.Shed != 1 || got.Bodies != 3 {
		t.Errorf("got %+v", got)
	}
}

// Guards against a client that displaces the bodies of others by having many of its own.
func TestClientWithMostGivesWay(t *testing.T) {
	t.Parallel()
	b := shed.New(limit)
	_, other := open(t, b, t0, "other", 400<<10, 100<<10)
	const bodies = 6
	greedy := make([]*source, 0, bodies)
	for range bodies {
		_, s := open(t, b, t0, "greedy", 400<<10, 100<<10)
		greedy = append(greedy, s)
	}
	more, moreSource := open(t, b, t0, "greedy", 400<<10, 20<<10)
	if more.Grow(t0, 100<<10) {
		t.Error("the least complete body of the client that holds most got more")
	}
	next, _ := open(t, b, t0, "other", 400<<10, 20<<10)
	if !next.Grow(t0, 100<<10) {
		t.Error("a body of another client was shed")
	}
	if other.shed || moreSource.shed {
		t.Error("the wrong body was told that it is shed")
	}
	n := 0
	for _, s := range greedy {
		if s.shed {
			n++
		}
	}
	if n != 1 {
		t.Errorf("%d bodies of the client that holds most were shed, want 1", n)
	}
}

// Guards against shedding a body that is nearly complete and progresses, or one that has arrived.
func TestNearlyCompleteIsKept(t *testing.T) {
	t.Parallel()
	b := shed.New(limit)
	_, nearly := open(t, b, t0, "a", 400<<10, 390<<10)
	whole, wholeSource := open(t, b, t0, "a", 300<<10, 300<<10)
	if !whole.Complete() {
		t.Fatal("the body was shed")
	}
	for _, at := range []time.Time{t0, t0.Add(900 * time.Millisecond)} {
		if b.Open(at, "b", -1, limit, new(source)).Grow(at, 200<<10) {
			t.Error("a body got memory that is not there")
		}
	}
	if nearly.shed || wholeSource.shed {
		t.Errorf("shed: nearly complete %v, complete %v", nearly.shed, wholeSource.shed)
	}
	later := t0.Add(10 * time.Second)
	if !b.Open(later, "b", -1, limit, new(source)).Grow(later, 200<<10) || !nearly.shed || wholeSource.shed {
		t.Errorf("shed: stalled just short of its end %v, complete %v", nearly.shed, wholeSource.shed)
	}
}

// Guards against large bodies that keep ordinary requests out.
func TestSmallBodiesHaveRoom(t *testing.T) {
	t.Parallel()
	b := shed.New(limit)
	for range 20 {
		b.Open(t0, "a", -1, limit, new(source)).Grow(t0, 64<<10)
	}
	for i := range 50 {
		if !b.Open(t0, "a", 5<<10, limit, new(source)).Grow(t0, 5<<10) {
			t.Fatalf("small body %d gets no memory", i)
		}
	}
	if got := b.Stats(); got.Held > limit {
		t.Errorf("%d bytes are held, the limit is %d", got.Held, limit)
	}
}

// Guards against a request within the limits that is refused while nothing else is there.
func TestAloneIsServed(t *testing.T) {
	t.Parallel()
	b := shed.New(64 << 10)
	body, _ := open(t, b, t0, "a", -1, 4<<20)
	if !body.Complete() {
		t.Error("the body was shed")
	}
	body.Close()
	if got := b.Stats(); got.Held != 0 || got.Bodies != 0 {
		t.Errorf("after the end %+v is held", got)
	}
}

// Guards against bytes that are counted twice or not returned when a shed body ends.
func TestShedBodyReturnsOnce(t *testing.T) {
	t.Parallel()
	b := shed.New(limit)
	first, s := open(t, b, t0, "a", -1, 700<<10)
	second, _ := open(t, b, t0.Add(2*time.Second), "b", -1, 700<<10)
	if !s.shed || !first.WasShed() || first.Complete() || first.Grow(t0, 1) {
		t.Error("the stalled body was not shed")
	}
	first.Close()
	if got := b.Stats().Held; got != 700<<10 {
		t.Errorf("%d bytes are held", got)
	}
	second.Close()
	if got := b.Stats().Held; got != 0 {
		t.Errorf("%d bytes are held after the end", got)
	}
}

// Guards against an ordinary request that is refused because a large body has arrived, or because the client that holds most has none
// that may give way, while bodies of others may.
func TestSmallBodyGetsMemoryOfIncompleteOnes(t *testing.T) {
	t.Parallel()
	const small = shed.SmallBytes
	for _, arrived := range []bool{true, false} {
		b := shed.New(limit)
		large, largeSource := open(t, b, t0, "large", 800<<10, 200<<10)
		if arrived {
			large.Complete()
		}
		const bodies = (limit - 200<<10) / small
		greedy := make([]*source, 0, bodies)
		for range bodies {
			_, s := open(t, b, t0, "greedy", -1, small)
			greedy = append(greedy, s)
		}
		if _, s := open(t, b, t0, "ordinary", 12<<10, 12<<10); s.shed {
			t.Errorf("arrived %v: the ordinary body was shed", arrived)
		}
		if largeSource.shed == arrived {
			t.Errorf("arrived %v: the large body was shed: %v", arrived, largeSource.shed)
		}
		if n := len(slices.DeleteFunc(greedy, func(s *source) bool { return !s.shed })); (n == 1) != arrived {
			t.Errorf("arrived %v: %d small bodies were shed", arrived, n)
		}
	}
}

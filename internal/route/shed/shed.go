// Package shed bounds the memory that request bodies hold in a process, and decides which bodies give way when it is short.
//
// A body draws on the budget as its bytes arrive, not by what its header announces. Part of the budget is kept for small bodies,
// so that large ones that do not end cannot keep ordinary requests out.
package shed

import (
	"maps"
	"math"
	"sync"
	"time"
)

const (
	// SmallBytes is the size up to which a body is small: about three times that of an ordinary request.
	SmallBytes = 16 << 10
	// smallShare is the part of the budget that only small bodies may use.
	smallShare = 0.25
	// stallTime is the time without a byte after which a body is shed before all that progress. Only a shortage ends such a body
	// before its deadline.
	stallTime = time.Second
	// nearlyComplete is the part of its announced length from which a body that progresses is not shed.
	nearlyComplete = 0.875
)

// Source is what a body arrives on.
type Source interface {
	// Shed ends the wait for more of the body. It is called without locks of the budget, and must not block.
	Shed()
}

// Body is the share of one body in the budget. It is safe for concurrent use.
type Body struct {
	budget *Budget
	source Source
	client string
	// length is the announced length, or the limit of a body that announces none. announced tells which.
	length    int
	announced bool
	// The fields below are guarded by the lock of the budget.
	held, received int
	progressed     time.Time
	complete, shed bool
}

// Stats are the figures of a budget.
type Stats struct {
	// Held is the number of bytes that bodies hold, Limit the most they may hold.
	Held, Limit int
	// Bodies is the number of bodies, Shed the number of those that have been shed so far.
	Bodies int
	Shed   uint64
}

// Budget is the memory for bodies of a process. It is safe for concurrent use.
type Budget struct {
	limit int
	// large limits the bytes of bodies that are not small.
	large int

	mu sync.Mutex
	// held are the bytes of all bodies, heldLarge those of bodies that are not small.
	held, heldLarge int
	bodies          map[*Body]struct{}
	shed            uint64
}

// New returns a budget of a number of bytes, or an unlimited one for 0.
func New(limit int) *Budget {
	if limit <= 0 {
		limit = math.MaxInt
	}
	return &Budget{limit: limit, large: int(float64(limit) * (1 - smallShare)), bodies: make(map[*Body]struct{})}
}

// Stats returns the current figures.
func (b *Budget) Stats() Stats {
	b.mu.Lock()
	defer b.mu.Unlock()
	return Stats{Held: b.held, Limit: b.limit, Bodies: len(b.bodies), Shed: b.shed}
}

// Open begins the share of a body, which holds nothing yet. The length is the announced one, or negative; limit is the
// largest length of a body.
func (b *Budget) Open(now time.Time, client string, length, limit int, s Source) *Body {
	body := &Body{budget: b, source: s, client: client, length: length, announced: length >= 0, progressed: now}
	if length < 0 {
		body.length = limit
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.bodies[body] = struct{}{}
	return body
}

// Grow takes n more bytes, and has other bodies shed if there are not enough. It reports false if this body has to give way.
func (y *Body) Grow(now time.Time, n int) bool {
	victims, ok := y.budget.grow(now, y, n)
	for _, v := range victims {
		v.source.Shed()
	}
	return ok
}

// Progress records that received bytes of the body have arrived so far. It reports false if the body has been shed.
func (y *Body) Progress(now time.Time, received int) bool {
	y.budget.mu.Lock()
	defer y.budget.mu.Unlock()
	if received > y.received {
		y.received, y.progressed = received, now
	}
	return !y.shed
}

// Complete records that the whole body has arrived, after which it is not shed. It reports false if it has been shed.
func (y *Body) Complete() bool {
	y.budget.mu.Lock()
	defer y.budget.mu.Unlock()
	y.complete = !y.shed
	return y.complete
}

// WasShed reports whether the body has been shed.
func (y *Body) WasShed() bool {
	y.budget.mu.Lock()
	defer y.budget.mu.Unlock()
	return y.shed
}

// Close returns what the body holds.
func (y *Body) Close() {
	b := y.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	b.remove(y)
}

// remove returns what a body holds. The lock must be held.
func (b *Budget) remove(y *Body) {
	b.take(y, -y.held)
	delete(b.bodies, y)
}

// take changes what a body holds. The lock must be held.
func (b *Budget) take(y *Body, n int) {
	if y.isLarge() {
		b.heldLarge -= y.held
	}
	y.held += n
	b.held += n
	if y.isLarge() {
		b.heldLarge += y.held
	}
}

func (y *Body) isLarge() bool { return y.held > SmallBytes }

func (b *Budget) grow(now time.Time, y *Body, n int) ([]*Body, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	var victims []*Body
	for !y.shed && !b.fits(y, n) {
		v := b.victim(now, y, n)
		if v == nil {
			v = y
		}
		if v != y {
			victims = append(victims, v)
		}
		v.shed = true
		b.shed++
		b.remove(v)
	}
	if y.shed {
		return victims, false
	}
	b.take(y, n)
	return victims, true
}

// fits reports whether there are n bytes more for a body. A body that is alone always gets them: a single request within the
// limits of the configuration is served whatever the budget.
func (b *Budget) fits(y *Body, n int) bool {
	if b.held == y.held {
		return true
	}
	if y.held+n <= SmallBytes {
		return n <= b.limit-b.held
	}
	others := b.heldLarge
	if y.isLarge() {
		others -= y.held
	}
	return y.held+n <= b.large-others && n <= b.limit-b.held
}

// victim returns the body to shed so that y can take n more bytes, which may be y itself, or nil if there is none: first the largest
// of those that have stalled, then the least complete one of the client that holds most, of those that have one that may give way. For a
// body that is not small, only bodies that are not small are shed; for a small one, others that are small only if there is no large one
// that may give way. Bodies that have arrived do not count as such: they may be held for as long as their requests run.
func (b *Budget) victim(now time.Time, y *Body, n int) *Body {
	small := y.held+n <= SmallBytes
	stalled, totals := b.survey(now, y, small)
	if stalled != nil {
		return stalled
	}
	if !small {
		// What y asks for counts as held, so that a client cannot displace others by asking.
		totals[y.client] += n
	}
	least := b.leastComplete(func(v *Body) bool { return v.isLarge() || v == y && !small })
	if small && len(least) == 0 {
		least = b.leastComplete(func(v *Body) bool { return v.held > 0 })
	}
	// The clients without a body that may give way do not keep others from doing so.
	maps.DeleteFunc(totals, func(client string, _ int) bool { return least[client] == nil })
	return least[largest(totals)]
}

// survey returns the largest body that has stalled, or nil, and how much the clients hold for bodies that have not arrived. For a body
// that is not small, only bodies that are not small count.
func (b *Budget) survey(now time.Time, y *Body, small bool) (*Body, map[string]int) {
	var stalled *Body
	totals := make(map[string]int)
	for v := range b.bodies {
		if v.complete || v.held == 0 || !small && !v.isLarge() {
			continue
		}
		if v != y && now.Sub(v.progressed) >= stallTime && (stalled == nil || v.held > stalled.held) {
			stalled = v
		}
		totals[v.client] += v.held
	}
	return stalled, totals
}

// largest returns the client with the largest total.
func largest(totals map[string]int) string {
	most, found := "", false
	for client, total := range totals {
		if !found || total > totals[most] || total == totals[most] && client < most {
			most, found = client, true
		}
	}
	return most
}

// leastComplete returns, of the bodies that may give way, the one of each client that has most to come. Those that are nearly complete
// are left out.
func (b *Budget) leastComplete(may func(v *Body) bool) map[string]*Body {
	out := make(map[string]*Body)
	for v := range b.bodies {
		if v.complete || v.nearlyComplete() || !may(v) {
			continue
		}
		if least := out[v.client]; least == nil || v.fraction() < least.fraction() {
			out[v.client] = v
		}
	}
	return out
}

// fraction returns which part of the body has arrived.
func (y *Body) fraction() float64 { return float64(y.received) / float64(max(1, y.length)) }

func (y *Body) nearlyComplete() bool { return y.announced && y.fraction() >= nearlyComplete }

package retry

import (
	"sync"
	"time"
)

// Defaults of a retry budget.
const (
	// DefaultRatio is the maximum ratio of retries to recent requests.
	DefaultRatio = 0.1
	// DefaultMinRetries is the number of retries allowed in a window regardless of the number of requests.
	// Without it a nearly idle node could not retry at all.
	DefaultMinRetries = 10
	// slotDuration times slots is the window of recent requests, 10 s.
	slotDuration = time.Second
	slots        = 10
)

// Window is the time over which requests and retries are counted.
const Window = slots * slotDuration

// StartMinimum returns how much of a minimum number of retries a process may use at an age. The retries of the process that ran in
// its place before count in the same window.
func StartMinimum(minRetries float64, age time.Duration) float64 {
	return minRetries * min(1, float64(age)/float64(Window))
}

// slot counts the requests and retries of one slotDuration.
type slot struct {
	number   int64
	requests int
	retries  int
}

// Budget limits the retries of a node. In a window of 10 s, it allows a ratio of the requests plus a minimum
// number of retries. It is safe for concurrent use.
type Budget struct {
	ratio      float64
	minRetries float64
	// minSpeculative is the minimum that speculative retries may use.
	minSpeculative float64
	start          time.Time
	mu             sync.Mutex
	slots          [slots]slot
}

// NewBudget returns a budget with the default ratio and minimum.
func NewBudget() *Budget { return NewBudgetWith(DefaultRatio, DefaultMinRetries) }

// NewBudgetWith returns an empty budget with the given ratio and minimum.
func NewBudgetWith(ratio, minRetries float64) *Budget {
	return &Budget{ratio: ratio, minRetries: minRetries, minSpeculative: minRetries}
}

// Resize changes the ratio and the minimum, of which speculative retries may use a part. Counts are kept.
func (b *Budget) Resize(ratio, minRetries, minSpeculative float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ratio, b.minRetries, b.minSpeculative = ratio, minRetries, minSpeculative
}

// Request counts a new request.
func (b *Budget) Request(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.slotAt(now).requests++
}

// Take counts a retry and returns true, or returns false if the budget is exhausted.
func (b *Budget) Take(now time.Time) bool { return b.take(now, false) }

func (b *Budget) take(now time.Time, speculative bool) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	minRetries := b.minRetries
	if speculative {
		minRetries = b.minSpeculative
	}
	current := b.slotAt(now)
	requests, retries := 0, 0
	for _, s := range b.slots {
		if current.number-s.number < slots {
			requests += s.requests
			retries += s.retries
		}
	}
	if float64(retries+1) > b.ratio*float64(requests)+minRetries {
		return false
	}
	current.retries++
	return true
}

// Return takes back a retry that was counted, but not sent.
func (b *Budget) Return(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	current := b.slotAt(now)
	for age := range int64(slots) {
		if s := &b.slots[(current.number+slots-age)%slots]; s.number == current.number-age && s.retries > 0 {
			s.retries--
			return
		}
	}
}

// slotAt returns the slot for now. If its position in the ring already holds a newer slot, it returns that one:
// a caller that read the clock before it acquired the lock must not clear a newer slot.
func (b *Budget) slotAt(now time.Time) *slot {
	if b.start.IsZero() {
		b.start = now
	}
	// Time differences are monotonic and not affected by clock steps. The first slot has number 1.
	number := 1 + max(0, int64(now.Sub(b.start)/slotDuration))
	s := &b.slots[number%slots]
	if s.number < number {
		*s = slot{number: number}
	}
	return s
}

package retry

import (
	"sync"
	"time"
)

// Defaults of a budget.
const (
	// Share is the part of recent requests that may be retried.
	Share = 0.1
	// Floor is the number of retries in a window that is allowed whatever the number of requests; it
	// lets a nearly idle node retry at all.
	Floor = 10
	// slotTime times slots is the window of recent requests, 10 s.
	slotTime = time.Second
	slots    = 10
)

// slot counts one slotTime.
type slot struct {
	number   int64
	requests int
	retries  int
}

// Budget bounds the retries of a node: in a window of 10 s at most a share of its requests, plus a
// floor. It is safe for concurrent use.
type Budget struct {
	share float64
	floor float64
	began time.Time
	mu    sync.Mutex
	slots [slots]slot
}

// NewBudget returns a budget with the default share and floor.
func NewBudget() *Budget { return NewBudgetOf(Share, Floor) }

// NewBudgetOf returns a budget with nothing counted.
func NewBudgetOf(share, floor float64) *Budget {
	return &Budget{share: share, floor: floor}
}

// Resize changes the share and the floor.
func (b *Budget) Resize(share, floor float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.share, b.floor = share, floor
}

// Request counts a new request.
func (b *Budget) Request(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.at(now).requests++
}

// Take counts a retry and reports true, or reports false when the budget has none left.
func (b *Budget) Take(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	current := b.at(now)
	requests, retries := 0, 0
	for _, s := range b.slots {
		if current.number-s.number < slots {
			requests += s.requests
			retries += s.retries
		}
	}
	if float64(retries+1) > b.share*float64(requests)+b.floor {
		return false
	}
	current.retries++
	return true
}

// at returns the slot of now. A time before the newest slot counts there, so that callers that read
// the clock before they get the lock do not clear a slot.
func (b *Budget) at(now time.Time) *slot {
	if b.began.IsZero() {
		b.began = now
	}
	// Differences of times do not follow steps of the clock; the first slot has number 1.
	number := 1 + max(0, int64(now.Sub(b.began)/slotTime))
	s := &b.slots[number%slots]
	if s.number < number {
		*s = slot{number: number}
	}
	return s
}

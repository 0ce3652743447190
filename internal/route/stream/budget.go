package stream

import "sync"

// Budget counts the bytes that the answers and prompts on one node occupy, in total and for each client
// account. It is safe for concurrent use.
type Budget struct {
	mu           sync.Mutex
	nodeBytes    int
	accountBytes map[string]int
}

// NewBudget returns an empty budget.
func NewBudget() *Budget { return &Budget{accountBytes: make(map[string]int)} }

// Held returns the total bytes in use on the node.
func (b *Budget) Held() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.nodeBytes
}

// Open returns an empty share of the budget for one request of a client account. Both limits are in bytes.
func (b *Budget) Open(account string, accountLimit, nodeLimit int) *Share {
	return &Share{budget: b, account: account, accountLimit: accountLimit, nodeLimit: nodeLimit}
}

// Share is the part of a Budget that one request uses. It is safe for concurrent use.
type Share struct {
	budget       *Budget
	account      string
	accountLimit int
	nodeLimit    int
	heldBytes    int
	// retained is set when the bytes no longer count against the client account.
	retained bool
}

// newRequestDivisor determines the part of both limits that is reserved for new requests, one eighth.
// Without it, callers that read nothing could fill the budget and block all new requests.
const newRequestDivisor = 8

// Start reserves the first n bytes of a request. It returns false if a limit would be exceeded.
func (s *Share) Start(n int) bool { return s.reserve(n, s.accountLimit, s.nodeLimit) }

// Grow reserves n more bytes. It returns false if they would exceed a limit or use the part reserved for
// new requests.
func (s *Share) Grow(n int) bool {
	return s.reserve(n, s.accountLimit-s.accountLimit/newRequestDivisor, s.nodeLimit-s.nodeLimit/newRequestDivisor)
}

func (s *Share) reserve(n, accountLimit, nodeLimit int) bool {
	b := s.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.nodeBytes+n > nodeLimit || b.accountBytes[s.account]+n > accountLimit {
		return false
	}
	s.addLocked(n)
	return true
}

// Shrink releases n bytes, or all bytes if the share uses fewer.
func (s *Share) Shrink(n int) {
	s.budget.mu.Lock()
	defer s.budget.mu.Unlock()
	s.addLocked(-min(n, s.heldBytes))
}

// ReleaseAccount stops counting the bytes against the client account. They still count against the node.
func (s *Share) ReleaseAccount() {
	s.budget.mu.Lock()
	defer s.budget.mu.Unlock()
	held := s.heldBytes
	s.addLocked(-held)
	s.retained = true
	s.addLocked(held)
}

// ChargeAccount counts the bytes against the client account again, even if this exceeds its limit.
func (s *Share) ChargeAccount() {
	s.budget.mu.Lock()
	defer s.budget.mu.Unlock()
	held := s.heldBytes
	s.addLocked(-held)
	s.retained = false
	s.addLocked(held)
}

// Close releases all bytes.
func (s *Share) Close() {
	s.budget.mu.Lock()
	defer s.budget.mu.Unlock()
	s.addLocked(-s.heldBytes)
}

// Held returns the bytes that the share uses.
func (s *Share) Held() int {
	s.budget.mu.Lock()
	defer s.budget.mu.Unlock()
	return s.heldBytes
}

// addLocked adds n, which may be negative, to the counters. The caller must hold the lock of the budget.
func (s *Share) addLocked(n int) {
	b := s.budget
	b.nodeBytes += n
	s.heldBytes += n
	if s.retained {
		return
	}
	b.accountBytes[s.account] += n
	if b.accountBytes[s.account] == 0 {
		delete(b.accountBytes, s.account)
	}
}

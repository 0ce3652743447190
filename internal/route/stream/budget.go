package stream

import "sync"

// Budget counts the bytes that the answers and prompts of one node hold, in total and for each client
// account. It is safe for concurrent use.
type Budget struct {
	mu       sync.Mutex
	node     int
	accounts map[string]int
}

// NewBudget returns an empty budget.
func NewBudget() *Budget { return &Budget{accounts: make(map[string]int)} }

// Held returns the bytes held by the node.
func (b *Budget) Held() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.node
}

// Open returns an empty share for one request of a client account. Both limits are in bytes.
func (b *Budget) Open(account string, accountLimit, nodeLimit int) *Share {
	return &Share{budget: b, account: account, accountLimit: accountLimit, nodeLimit: nodeLimit}
}

// Share is what one request holds of a budget. It is safe for concurrent use.
type Share struct {
	budget       *Budget
	account      string
	accountLimit int
	nodeLimit    int
	held         int
	// retained is set when the bytes no longer count against the client account.
	retained bool
}

// startPart is the part of both limits that is kept for new requests. Without it, callers that read
// nothing could fill the budget and keep all others out.
const startPart = 8

// Start takes the first n bytes of a request and reports whether both limits have room for them.
func (s *Share) Start(n int) bool { return s.take(n, s.accountLimit, s.nodeLimit) }

// Grow takes n more bytes and reports whether there is room for them beside the part for new requests.
func (s *Share) Grow(n int) bool {
	return s.take(n, s.accountLimit-s.accountLimit/startPart, s.nodeLimit-s.nodeLimit/startPart)
}

func (s *Share) take(n, accountLimit, nodeLimit int) bool {
	b := s.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.node+n > nodeLimit || b.accounts[s.account]+n > accountLimit {
		return false
	}
	s.add(n)
	return true
}

// Shrink gives n bytes back.
func (s *Share) Shrink(n int) {
	s.budget.mu.Lock()
	defer s.budget.mu.Unlock()
	s.add(-min(n, s.held))
}

// Retain takes the bytes off the client account; they go on counting against the node.
func (s *Share) Retain() {
	s.budget.mu.Lock()
	defer s.budget.mu.Unlock()
	held := s.held
	s.add(-held)
	s.retained = true
	s.add(held)
}

// Resume counts the bytes against the client account again, past its limit if need be.
func (s *Share) Resume() {
	s.budget.mu.Lock()
	defer s.budget.mu.Unlock()
	held := s.held
	s.add(-held)
	s.retained = false
	s.add(held)
}

// Close gives all bytes back.
func (s *Share) Close() {
	s.budget.mu.Lock()
	defer s.budget.mu.Unlock()
	s.add(-s.held)
}

// Held returns the bytes of the share.
func (s *Share) Held() int {
	s.budget.mu.Lock()
	defer s.budget.mu.Unlock()
	return s.held
}

// add changes the counters. The budget is locked.
func (s *Share) add(n int) {
	b := s.budget
	b.node += n
	s.held += n
	if s.retained {
		return
	}
	b.accounts[s.account] += n
	if b.accounts[s.account] == 0 {
		delete(b.accounts, s.account)
	}
}

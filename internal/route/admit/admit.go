// Package admit decides which requests a node runs, which wait and which are refused.
//
// Every client account has a share of each model's capacity, and rates of requests and tokens. What an
// account does not use of its share is used by the others. A request that is expected to wait past its
// deadline is refused at once. Everything here is a decider: time is given, and nothing is safe for
// concurrent use.
package admit

import (
	"time"

	"geraniumhollow/internal/core/fault"
	"golang.org/x/time/rate"
)

// Account is what admission has to know of a client account.
type Account struct {
	Name string
	// Share is the weight in fair sharing; less than 1 counts as 1.
	Share int
	// Requests and Tokens are rates a second over the whole fleet; 0 is no limit.
	Requests float64
	Tokens   float64
}

// Request asks for admission.
type Request struct {
	// ID is unique among the requests that wait or run on the node.
	ID       uint64
	Account  string
	Model    string
	Priority int // 0 is the lowest
	// Tokens is the most of prompt and answer that the request will hold.
	Tokens   int
	Deadline time.Time
}

// Verdict is what becomes of a request.
type Verdict int

// Verdicts.
const (
	Admitted Verdict = iota + 1
	Queued
	Refused
)

// Decision is the verdict on one request. Code and RetryAfter are set on a refusal, whose outcome is
// always not_run.
type Decision struct {
	ID         uint64
	Verdict    Verdict
	Code       fault.Code
	RetryAfter time.Duration
}

// Config holds the bounds of a node.
type Config struct {
	// QueueRequests bounds the requests that wait on the node.
	QueueRequests int
	// NoEarlyRefusal lets requests wait whose deadline cannot be met. It serves comparisons.
	NoEarlyRefusal bool
}

// Bounds of retry_after.
const (
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 30 * time.Second
)

// Controller decides on the admission of a node's requests.
type Controller struct {
	cfg      Config
	nodes    int
	accounts map[string]*account
	pools    map[string]*Pool
	// where holds the pool of each request that waits or runs.
	where   map[uint64]*Pool
	waiting int
}

// account holds the rates of a client account.
type account struct {
	Account
	requests *rate.Limiter
	tokens   *rate.Limiter
}

// New returns a controller without accounts and models.
func New(cfg Config) *Controller {
	return &Controller{
		cfg: cfg, nodes: 1, accounts: make(map[string]*account), pools: make(map[string]*Pool),
		where: make(map[uint64]*Pool),
	}
}

// SetAccounts replaces the accounts. Accounts that stay keep what they have used of their rates.
func (c *Controller) SetAccounts(now time.Time, accounts []Account) {
	next := make(map[string]*account, len(accounts))
	for _, a := range accounts {
		a.Share = max(1, a.Share)
		old, ok := c.accounts[a.Name]
		if !ok {
			old = &account{}
		}
		old.Account = a
		old.setRates(now, c.nodes)
		next[a.Name] = old
	}
	c.accounts = next
	for _, p := range c.pools {
		p.setShares(next)
	}
}

// SetNodes sets the number of nodes that are heard, this one included. Rates of the fleet are divided
// by it.
func (c *Controller) SetNodes(now time.Time, nodes int) {
	c.nodes = max(1, nodes)
	for _, a := range c.accounts {
		a.setRates(now, c.nodes)
	}
}

func (a *account) setRates(now time.Time, nodes int) {
	a.requests = limiter(a.requests, now, a.Requests/float64(nodes))
	a.tokens = limiter(a.tokens, now, a.Tokens/float64(nodes))
}

// limiter returns a bucket that holds what flows in during a second, and at least one request; nil is
// no limit.
func limiter(l *rate.Limiter, now time.Time, perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return nil
	}
	burst := max(1, int(perSecond))
	if l == nil {
		return rate.NewLimiter(rate.Limit(perSecond), burst)
	}
	l.SetLimitAt(now, rate.Limit(perSecond))
	l.SetBurstAt(now, burst)
	return l
}

// take takes from the account's rates, or returns when it may come back. undo gives the parts back.
func (a *account) take(now time.Time, tokens int) (func(), time.Duration) {
	var taken []*rate.Reservation
	undo := func() {
		for _, r := range taken {
			r.CancelAt(now)
		}
	}
	for _, b := range []struct {
		l *rate.Limiter
		n int
	}{{a.requests, 1}, {a.tokens, tokens}} {
		if b.l == nil {
			continue
		}
		// A request that is larger than the bucket takes all of it, otherwise it could never pass.
		r := b.l.ReserveN(now, min(b.n, b.l.Burst()))
		taken = append(taken, r)
		if wait := r.DelayFrom(now); wait > 0 {
			undo()
			return nil, wait
		}
	}
	return undo, 0
}

// Pool returns the pool of a model, which is made on first use.
func (c *Controller) Pool(model string) *Pool {
	p, ok := c.pools[model]
	if !ok {
		p = newPool()
		p.setShares(c.accounts)
		c.pools[model] = p
	}
	return p
}

// RemovePool forgets a model that is no longer offered, unless requests wait or run.
func (c *Controller) RemovePool(model string) {
	if p, ok := c.pools[model]; ok && p.waiting == 0 && len(p.flights) == 0 {
		delete(c.pools, model)
	}
}

// Models returns the models that have pools, in no order.
func (c *Controller) Models() []string {
	models := make([]string, 0, len(c.pools))
	for m := range c.pools {
		models = append(models, m)
	}
	return models
}

// SetQueue sets how many requests may wait. Those that wait stay when it shrinks.
func (c *Controller) SetQueue(requests int) { c.cfg.QueueRequests = requests }

// Waiting returns the number of requests that wait.
func (c *Controller) Waiting() int { return c.waiting }

// Enter decides on a new request. The first decision is on the request itself; others follow when it
// takes the place of one that waited.
func (c *Controller) Enter(now time.Time, r Request) []Decision {
	undo := func() {}
	if a, ok := c.accounts[r.Account]; ok {
		var wait time.Duration
		if undo, wait = a.take(now, r.Tokens); wait > 0 {
			return []Decision{refuse(r.ID, fault.RateLimited, wait)}
		}
	}
	p := c.Pool(r.Model)
	if p.admitsNow(r) {
		p.start(now, r)
		c.where[r.ID] = p
		return []Decision{{ID: r.ID, Verdict: Admitted}}
	}
	wait := p.expectedWait(r)
	if late := now.Add(wait).Sub(r.Deadline); late > 0 && !c.cfg.NoEarlyRefusal {
		undo()
		return []Decision{refuse(r.ID, fault.Overloaded, late)}
	}
	decisions := []Decision{{ID: r.ID, Verdict: Queued}}
	if c.waiting >= c.cfg.QueueRequests {
		victim, ok := c.makePlace(r)
		if !ok {
			undo()
			return []Decision{refuse(r.ID, fault.Overloaded, wait)}
		}
		decisions = append(decisions, refuse(victim, fault.Overloaded, wait))
	}
	p.enqueue(r)
	c.where[r.ID] = p
	c.waiting++
	return decisions
}

// makePlace removes a request that waits in favour of r and returns it. It is the last one of the
// account whose queue is longest for its share, so an account that floods loses its own requests.
func (c *Controller) makePlace(r Request) (uint64, bool) {
	var longest *queue
	var pool *Pool
	for _, p := range c.pools {
		for _, q := range p.queues {
			if len(q.items) > 0 && (longest == nil || q.excess(r, p, c) > longest.excess(r, pool, c)) {
				longest, pool = q, p
			}
		}
	}
	if longest == nil {
		return 0, false
	}
	own := longest == c.pools[r.Model].queues[r.Account]
	i := longest.last()
	if own && longest.items[i].Priority >= r.Priority {
		return 0, false
	}
	victim := longest.items[i].ID
	pool.remove(longest, i)
	delete(c.where, victim)
	c.waiting--
	return victim, true
}

// excess is how long a queue is for its share, with r counted to the queue that it would join.
func (q *queue) excess(r Request, p *Pool, c *Controller) float64 {
	n := len(q.items)
	if q.account == r.Account && p == c.pools[r.Model] {
		n++
	}
	return float64(n) / q.share
}

// Leave ends a request that was admitted and returns the decisions on those that waited for its
// place. It does nothing to others.
func (c *Controller) Leave(now time.Time, id uint64) []Decision {
	p, ok := c.where[id]
	if !ok || !p.runs(id) {
		return nil
	}
	delete(c.where, id)
	p.finish(now, id)
	return c.dispatch(now, p)
}

// Cancel removes a request that waits, because its caller has left or its deadline has passed. It
// returns a refusal, or an admission when the request was admitted before; such a request must leave.
func (c *Controller) Cancel(id uint64) Decision {
	p, ok := c.where[id]
	if !ok {
		return refuse(id, fault.Overloaded, 0)
	}
	if p.runs(id) {
		return Decision{ID: id, Verdict: Admitted}
	}
	q, i := p.find(id)
	wait := p.expectedWait(q.items[i].Request)
	p.remove(q, i)
	delete(c.where, id)
	c.waiting--
	return refuse(id, fault.Overloaded, wait)
}

// Dispatch admits what fits after limits or reports have changed.
func (c *Controller) Dispatch(now time.Time) []Decision {
	out := make([]Decision, 0, len(c.pools))
	for _, p := range c.pools {
		out = append(out, c.dispatch(now, p)...)
	}
	return out
}

func (c *Controller) dispatch(now time.Time, p *Pool) []Decision {
	out := make([]Decision, 0, 1)
	for {
		r, ok := p.next()
		if !ok {
			return out
		}
		c.waiting--
		if r.Deadline.Before(now) && !c.cfg.NoEarlyRefusal {
			delete(c.where, r.ID)
			out = append(out, refuse(r.ID, fault.Overloaded, p.expectedWait(r)))
			continue
		}
		p.charge(r)
		p.start(now, r)
		out = append(out, Decision{ID: r.ID, Verdict: Admitted})
	}
}

func refuse(id uint64, code fault.Code, after time.Duration) Decision {
	return Decision{ID: id, Verdict: Refused, Code: code, RetryAfter: min(max(after, minRetryAfter), maxRetryAfter)}
}

// Package admit decides which requests a node runs, queues or refuses.
//
// Every client account has a share of each model's capacity, and rate limits on requests and tokens. Capacity
// that an account leaves unused is available to the others. A request whose expected wait exceeds its deadline
// is refused at once. The package does no I/O and reads no clock: callers pass the time. Nothing in it is safe
// for concurrent use.
package admit

import (
	"time"

	"geraniumhollow/internal/core/fault"
	"golang.org/x/time/rate"
)

// Account holds the admission settings of a client account.
type Account struct {
	Name string
	// Share is the weight in fair sharing; values below 1 count as 1.
	Share int
	// Requests and Tokens are limits per second for the whole fleet; 0 means no limit.
	Requests float64
	Tokens   float64
}

// Request is a request for admission.
type Request struct {
	// ID is unique among the requests that are queued or running on the node.
	ID       uint64
	Account  string
	Model    string
	Priority int // 0 is the lowest
	// Tokens is an upper bound on the prompt and answer tokens that the request will hold.
	Tokens   int
	Deadline time.Time
}

// Verdict is the result of an admission decision.
type Verdict int

// Verdicts on a request.
const (
	Admitted Verdict = iota + 1
	Queued
	Refused
)

// Decision is the verdict on one request. Code and RetryAfter are set only on a refusal. The outcome of a
// refused request is always not_run.
type Decision struct {
	ID         uint64
	Verdict    Verdict
	Code       fault.Code
	RetryAfter time.Duration
}

// Config configures a Controller.
type Config struct {
	// MaxQueued is the maximum number of requests queued on the node.
	MaxQueued int
	// NoEarlyRefusal queues requests even if their deadline cannot be met. Benchmarks use it as a baseline.
	NoEarlyRefusal bool
}

// Bounds of the retry_after value of a refusal.
const (
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 30 * time.Second
)

// Controller decides on the admission of all requests of a node.
type Controller struct {
	cfg      Config
	nodes    int
	accounts map[string]*account
	pools    map[string]*Pool
	// poolOf maps the ID of each queued or running request to its pool.
	poolOf  map[uint64]*Pool
	waiting int
}

// account adds the rate limiters to the settings of a client account.
type account struct {
	Account
	requests *rate.Limiter
	tokens   *rate.Limiter
}

// New returns a controller without accounts or models.
func New(cfg Config) *Controller {
	return &Controller{
		cfg: cfg, nodes: 1, accounts: make(map[string]*account), pools: make(map[string]*Pool),
		poolOf: make(map[uint64]*Pool),
	}
}

// SetAccounts replaces the accounts. Accounts that remain keep the state of their rate limiters.
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

// SetNodes sets the number of live nodes, including this one. Each node enforces the fleet's rates divided by
// this number.
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

// limiter returns l with its rate changed, or a new limiter if l is nil. The burst is one second of the rate,
// and at least 1. A nil result means no limit.
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

// reserve consumes one request and the given tokens from the account's rates. It returns a function that undoes
// this, or, if the account is over a rate, the time until it may retry.
func (a *account) reserve(now time.Time, tokens int) (func(), time.Duration) {
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
		// A request larger than the burst consumes the whole burst; otherwise it could never be admitted.
		r := b.l.ReserveN(now, min(b.n, b.l.Burst()))
		taken = append(taken, r)
		if wait := r.DelayFrom(now); wait > 0 {
			undo()
			return nil, wait
		}
	}
	return undo, 0
}

// Pool returns the pool of a model and creates it on first use.
func (c *Controller) Pool(model string) *Pool {
	p, ok := c.pools[model]
	if !ok {
		p = newPool()
		p.setShares(c.accounts)
		c.pools[model] = p
	}
	return p
}

// RemovePool removes the pool of a model that is no longer offered, unless it has queued or running requests.
func (c *Controller) RemovePool(model string) {
	if p, ok := c.pools[model]; ok && p.waiting == 0 && len(p.inFlight) == 0 {
		delete(c.pools, model)
	}
}

// Models returns the models that have pools, in no particular order.
func (c *Controller) Models() []string {
	models := make([]string, 0, len(c.pools))
	for m := range c.pools {
		models = append(models, m)
	}
	return models
}

// SetQueueLimit sets the maximum number of queued requests. Lowering it does not evict requests that are already
// queued.
func (c *Controller) SetQueueLimit(requests int) { c.cfg.MaxQueued = requests }

// QueuedCount returns the number of queued requests.
func (c *Controller) QueuedCount() int { return c.waiting }

// Admit decides on a new request. The first decision is on the request itself; a second one follows if it
// evicts a queued request.
func (c *Controller) Admit(now time.Time, r Request) []Decision {
	undo := func() {}
	if a, ok := c.accounts[r.Account]; ok {
		var wait time.Duration
		if undo, wait = a.reserve(now, r.Tokens); wait > 0 {
			return []Decision{refuse(r.ID, fault.RateLimited, wait)}
		}
	}
	p := c.Pool(r.Model)
	if p.tryAdmit(r) {
		p.start(now, r)
		c.poolOf[r.ID] = p
		return []Decision{{ID: r.ID, Verdict: Admitted}}
	}
	wait := p.expectedWait(r)
	if overdue := now.Add(wait).Sub(r.Deadline); overdue > 0 && !c.cfg.NoEarlyRefusal {
		undo()
		return []Decision{refuse(r.ID, fault.Overloaded, overdue)}
	}
	decisions := []Decision{{ID: r.ID, Verdict: Queued}}
	if c.waiting >= c.cfg.MaxQueued {
		victim, ok := c.evictFor(r)
		if !ok {
			undo()
			return []Decision{refuse(r.ID, fault.Overloaded, wait)}
		}
		decisions = append(decisions, refuse(victim, fault.Overloaded, wait))
	}
	p.enqueue(r)
	c.poolOf[r.ID] = p
	c.waiting++
	return decisions
}

// evictFor evicts a queued request to make space for r and returns its ID. The victim is the last request of
// the account whose queue is longest relative to its share, so an account that floods the node loses its own
// requests. If that is the queue that r would join, r must have a higher priority than the victim.
func (c *Controller) evictFor(r Request) (uint64, bool) {
	var longest *queue
	var pool *Pool
	for _, p := range c.pools {
		for _, q := range p.queues {
			if len(q.items) > 0 && (longest == nil || q.relativeLength(r, p, c) > longest.relativeLength(r, pool, c)) {
				longest, pool = q, p
			}
		}
	}
	if longest == nil {
		return 0, false
	}
	ownQueue := longest == c.pools[r.Model].queues[r.Account]
	i := longest.last()
	if ownQueue && longest.items[i].Priority >= r.Priority {
		return 0, false
	}
	victim := longest.items[i].ID
	pool.remove(longest, i)
	delete(c.poolOf, victim)
	c.waiting--
	return victim, true
}

// relativeLength returns the length of a queue divided by its share. r counts towards the queue that it would
// join.
func (q *queue) relativeLength(r Request, p *Pool, c *Controller) float64 {
	n := len(q.items)
	if q.account == r.Account && p == c.pools[r.Model] {
		n++
	}
	return float64(n) / q.share
}

// Finish ends an admitted request and returns the decisions on queued requests that can now be made: admissions,
// and refusals of requests whose deadline has passed. It does nothing for a request that was not admitted.
func (c *Controller) Finish(now time.Time, id uint64) []Decision {
	p, ok := c.poolOf[id]
	if !ok || !p.runs(id) {
		return nil
	}
	delete(c.poolOf, id)
	p.finish(now, id)
	return c.dispatch(now, p)
}

// Cancel removes a queued request because its caller has disconnected or its deadline has passed. It returns a
// refusal, or an admission if the request has already been admitted; the caller must then call Finish.
func (c *Controller) Cancel(id uint64) Decision {
	p, ok := c.poolOf[id]
	if !ok {
		return refuse(id, fault.Overloaded, 0)
	}
	if p.runs(id) {
		return Decision{ID: id, Verdict: Admitted}
	}
	q, i := p.find(id)
	wait := p.expectedWait(q.items[i].Request)
	p.remove(q, i)
	delete(c.poolOf, id)
	c.waiting--
	return refuse(id, fault.Overloaded, wait)
}

// Dispatch admits the queued requests that fit after limits or load reports have changed. Like Finish, it refuses
// those whose deadline has passed.
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
			delete(c.poolOf, r.ID)
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

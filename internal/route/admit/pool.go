package admit

import (
	"math"
	"time"
)

// Pool holds the queues and the in-flight requests of one model.
//
// Accounts share it by start-time fair queueing: each account has a start tag, a virtual time that advances by
// the cost of its requests divided by its share, and the account with the lowest start tag is served next. An
// account that becomes active again starts shortly before the virtual time of the pool, so it does not lose its
// turn by having been idle and gains at most creditTime of its share.
type Pool struct {
	limit       *AdaptiveLimit
	maxTokens   int // limit on tokens in flight; 0 means no limit
	heldTokens  int
	queues      map[string]*queue
	accounts    map[string]*account
	totalShare  float64 // sum of all shares
	waiting     int
	queuedCost  float64 // cost of all waiting requests
	virtualTime float64
	seq         uint64
	inFlight    map[uint64]inFlightRequest
	// servers is a slice because every admission scans it for the server with the most free tokens.
	servers []server
	byName  map[string]int
	// meanHoldSeconds and meanCost are moving averages over completed requests. The hold time of a request is the
	// time from its admission to its end. Cost is measured in tokens.
	meanHoldSeconds float64
	meanCost        float64
}

// queue holds the waiting requests of one account.
type queue struct {
	account string
	share   float64
	items   []queuedRequest
	cost    float64
	// startTag is the virtual time at which the account's next request starts.
	startTag float64
}

type queuedRequest struct {
	Request
	seq       uint64
	overtaken int // admissions of other requests while this one did not fit
}

// inFlightRequest is an admitted request. Its tokens count against server, which is an estimate until SetServer
// sets the server that the request is sent to.
type inFlightRequest struct {
	server     string
	tokens     int
	admittedAt time.Time
	placedAt   time.Time
}

// server tracks the memory of one backend server, in tokens.
type server struct {
	name           string
	capacity       int
	reportedTokens int
	reportedAt     time.Time
	// unreportedTokens are the tokens of this node's requests that the last report does not include.
	unreportedTokens int
}

// maxOvertaken is how many requests may overtake a request that fits on no server. Without it, small requests
// that keep all servers full would starve large ones.
const maxOvertaken = 16

// meanSampleWeight is the weight of a new sample in the moving averages of a pool.
const meanSampleWeight = 0.05

func newPool() *Pool {
	return &Pool{
		limit: NewAdaptiveLimit(0, 0), queues: make(map[string]*queue), inFlight: make(map[uint64]inFlightRequest),
		byName: make(map[string]int),
	}
}

// SetLimits sets how many requests and tokens this node should have in flight: its part of the capacity of the
// model's servers. 0 means no limit.
func (p *Pool) SetLimits(requests float64, tokens int) {
	p.limit.SetRange(requests*limitLowRatio, requests*limitHighRatio)
	p.maxTokens = tokens
}

// Limit returns how many requests the pool runs at once; 0 means no limit.
func (p *Pool) Limit() float64 { return p.limit.Value() }

// InFlight returns the number of admitted requests.
func (p *Pool) InFlight() int { return len(p.inFlight) }

// ApplyReport applies a server's report of held tokens and capacity. A capacity of 0 means no limit. Reports older
// than the last one are ignored.
func (p *Pool) ApplyReport(name string, held, capacity int, reportedAt time.Time) {
	i, ok := p.byName[name]
	if !ok {
		i = len(p.servers)
		p.byName[name] = i
		p.servers = append(p.servers, server{name: name})
	}
	s := &p.servers[i]
	if reportedAt.Before(s.reportedAt) {
		return
	}
	s.capacity, s.reportedTokens, s.reportedAt, s.unreportedTokens = capacity, held, reportedAt, 0
	for _, f := range p.inFlight {
		if f.server == name && !f.placedAt.Before(reportedAt) {
			s.unreportedTokens += f.tokens
		}
	}
}

// RemoveServer removes a server.
func (p *Pool) RemoveServer(name string) {
	i, ok := p.byName[name]
	if !ok {
		return
	}
	last := len(p.servers) - 1
	p.servers[i] = p.servers[last]
	p.byName[p.servers[i].name] = i
	p.servers = p.servers[:last]
	delete(p.byName, name)
}

// SetServer records the server that an admitted request is sent to.
func (p *Pool) SetServer(now time.Time, id uint64, name string) {
	f, ok := p.inFlight[id]
	if !ok || f.server == name {
		return
	}
	p.unplace(f)
	f.server, f.placedAt = name, now
	p.inFlight[id] = f
	if i, ok := p.byName[name]; ok {
		p.servers[i].unreportedTokens += f.tokens
	}
}

// unplace subtracts the tokens of a request from its server unless the server's last report includes them.
func (p *Pool) unplace(f inFlightRequest) {
	if i, ok := p.byName[f.server]; ok && !f.placedAt.Before(p.servers[i].reportedAt) {
		p.servers[i].unreportedTokens -= f.tokens
	}
}

func (p *Pool) setShares(accounts map[string]*account) {
	p.accounts, p.totalShare = accounts, 0
	for _, a := range accounts {
		p.totalShare += float64(a.Share)
	}
	for name, q := range p.queues {
		q.share = p.share(name)
		if _, ok := accounts[name]; !ok && len(q.items) == 0 {
			delete(p.queues, name)
		}
	}
}

func (p *Pool) share(name string) float64 {
	if a, ok := p.accounts[name]; ok {
		return float64(a.Share)
	}
	return 1
}

func (p *Pool) queue(name string) *queue {
	q, ok := p.queues[name]
	if !ok {
		q = &queue{account: name, share: p.share(name)}
		p.queues[name] = q
	}
	return q
}

// tryAdmit reports whether a request may run without waiting, and if so charges its account.
func (p *Pool) tryAdmit(r Request) bool {
	if p.waiting > 0 || !p.hasSlot() || !p.fits(r.Tokens) {
		return false
	}
	q := p.queue(r.Account)
	q.startTag = p.nextStartTag(q)
	p.charge(r)
	return true
}

// nextStartTag returns the virtual time at which the next request of a queue starts.
func (p *Pool) nextStartTag(q *queue) float64 {
	if len(q.items) > 0 {
		return q.startTag
	}
	return max(q.startTag, p.virtualTime-p.virtualCredit())
}

// creditTime is how much of its share an account may catch up on after being idle. Without it, when a small
// account sends two requests at once, the second waits behind an account that floods the node until the small
// account's share has paid for the first.
const creditTime = 2 * time.Second

// virtualCredit returns creditTime converted to virtual time.
func (p *Pool) virtualCredit() float64 {
	if p.totalShare == 0 {
		return 0
	}
	return creditTime.Seconds() * p.drainRate() / p.totalShare
}

// charge advances the pool's virtual time to the start tag of the request's account, and that start tag by the
// cost of the request divided by the share.
func (p *Pool) charge(r Request) {
	q := p.queue(r.Account)
	p.virtualTime = max(p.virtualTime, q.startTag)
	q.startTag += cost(r) / q.share
}

// cost returns what a request takes from the account's share: its tokens plus a fixed cost per request.
func cost(r Request) float64 { return float64(r.Tokens) + requestCost }

// requestCost is the fixed cost of a request, in tokens.
const requestCost = 50

func (p *Pool) start(now time.Time, r Request) {
	f := inFlightRequest{tokens: r.Tokens, admittedAt: now, placedAt: now}
	if s := p.serverWithMostFree(); s != nil {
		f.server = s.name
		s.unreportedTokens += r.Tokens
	}
	p.inFlight[r.ID] = f
	p.heldTokens += r.Tokens
}

func (p *Pool) finish(now time.Time, id uint64) {
	f, ok := p.inFlight[id]
	if !ok {
		return
	}
	saturated := p.waiting > 0
	p.unplace(f)
	delete(p.inFlight, id)
	p.heldTokens -= f.tokens
	hold := now.Sub(f.admittedAt)
	if p.meanHoldSeconds == 0 {
		p.meanHoldSeconds, p.meanCost = hold.Seconds(), float64(f.tokens)+requestCost
	}
	p.meanHoldSeconds += meanSampleWeight * (hold.Seconds() - p.meanHoldSeconds)
	p.meanCost += meanSampleWeight * (float64(f.tokens) + requestCost - p.meanCost)
	p.limit.RecordCompletion(now, hold, saturated)
}

func (p *Pool) hasSlot() bool {
	limit := p.limit.Value()
	return limit == 0 || float64(len(p.inFlight)+1) <= math.Max(1, limit)
}

// fits reports whether the tokens of a request fit within the node's part and on some server. A request larger
// than the node's part may run alone.
func (p *Pool) fits(tokens int) bool {
	if p.maxTokens > 0 && p.heldTokens > 0 && p.heldTokens+tokens > p.maxTokens {
		return false
	}
	s := p.serverWithMostFree()
	return s == nil || s.freeTokens() >= tokens
}

func (s *server) freeTokens() int {
	if s.capacity <= 0 {
		return math.MaxInt
	}
	return s.capacity - s.reportedTokens - s.unreportedTokens
}

// serverWithMostFree returns the server with the most free tokens, or nil if no server is known. A request
// counts against it until SetServer is called.
func (p *Pool) serverWithMostFree() *server {
	var best *server
	most := math.MinInt
	for i := range p.servers {
		if free := p.servers[i].freeTokens(); free > most {
			best, most = &p.servers[i], free
		}
	}
	return best
}

func (p *Pool) enqueue(r Request) {
	q := p.queue(r.Account)
	q.startTag = p.nextStartTag(q)
	p.seq++
	q.items = append(q.items, queuedRequest{Request: r, seq: p.seq})
	q.cost += cost(r)
	p.queuedCost += cost(r)
	p.waiting++
}

// next removes the next request to run from its queue and returns it, or returns false if none can run now.
func (p *Pool) next() (Request, bool) {
	if p.waiting == 0 || !p.hasSlot() {
		return Request{}, false
	}
	q := p.furthestBehind(nil)
	i := q.first()
	if p.fits(q.items[i].Tokens) {
		return p.take(q, i), true
	}
	// The request does not fit. Another account's request may overtake it, at most maxOvertaken times.
	o := p.furthestBehind(q)
	if o == nil || q.items[i].overtaken >= maxOvertaken {
		return Request{}, false
	}
	j := o.first()
	if !p.fits(o.items[j].Tokens) {
		return Request{}, false
	}
	q.items[i].overtaken++
	return p.take(o, j), true
}

func (p *Pool) take(q *queue, i int) Request {
	r := q.items[i].Request
	p.remove(q, i)
	return r
}

// furthestBehind returns the non-empty queue with the lowest start tag, other than excluded.
func (p *Pool) furthestBehind(excluded *queue) *queue {
	var best *queue
	for _, q := range p.queues {
		if len(q.items) == 0 || q == excluded {
			continue
		}
		if best == nil || q.startTag < best.startTag || (q.startTag == best.startTag && q.account < best.account) {
			best = q
		}
	}
	return best
}

// first returns the index of the request to run first: by priority, then in order of arrival.
func (q *queue) first() int {
	best := 0
	for i := range q.items {
		if q.items[i].before(q.items[best]) {
			best = i
		}
	}
	return best
}

// last returns the index of the request to run last.
func (q *queue) last() int {
	worst := 0
	for i := range q.items {
		if q.items[worst].before(q.items[i]) {
			worst = i
		}
	}
	return worst
}

func (it queuedRequest) before(o queuedRequest) bool {
	if it.Priority != o.Priority {
		return it.Priority > o.Priority
	}
	return it.seq < o.seq
}

func (p *Pool) remove(q *queue, i int) {
	c := cost(q.items[i].Request)
	q.cost -= c
	p.queuedCost -= c
	p.waiting--
	q.items = append(q.items[:i], q.items[i+1:]...)
}

func (p *Pool) runs(id uint64) bool {
	_, ok := p.inFlight[id]
	return ok
}

// find returns the queue and index of a waiting request.
func (p *Pool) find(id uint64) (*queue, int) {
	for _, q := range p.queues {
		for i := range q.items {
			if q.items[i].ID == id {
				return q, i
			}
		}
	}
	return nil, 0
}

// expectedWait estimates how long a request will wait: until virtual time reaches its turn or the whole queue
// has drained, whichever is sooner. It is 0 until the first request has completed.
func (p *Pool) expectedWait(r Request) time.Duration {
	drainRate := p.drainRate()
	if drainRate == 0 {
		return 0
	}
	q := p.queue(r.Account)
	costAhead, activeShares := cost(r), q.share
	for i := range q.items {
		if q.items[i].Priority >= r.Priority {
			costAhead += cost(q.items[i].Request)
		}
	}
	for _, o := range p.queues {
		if o != q && len(o.items) > 0 {
			activeShares += o.share
		}
	}
	turn := max(0, p.nextStartTag(q)-p.virtualTime+costAhead/q.share)
	wait := min(max(cost(r), turn*activeShares), p.queuedCost+cost(r)) / drainRate
	return time.Duration(wait * float64(time.Second))
}

// drainRate returns the cost that completes per second while the pool is full, by Little's law, or 0 if it is
// not yet known.
func (p *Pool) drainRate() float64 {
	limit := p.limit.Value()
	if p.meanHoldSeconds == 0 {
		return 0
	}
	capacity := float64(len(p.inFlight)) * p.meanCost
	if limit > 0 {
		capacity = max(1, limit) * p.meanCost
	}
	if p.maxTokens > 0 {
		capacity = min(capacity, float64(p.maxTokens))
	}
	return capacity / p.meanHoldSeconds
}

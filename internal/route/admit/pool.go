package admit

import (
	"math"
	"time"
)

// Pool holds the queues and the requests in flight of one model.
//
// Accounts share it by start-time fair queueing: each account has a virtual time that advances by the
// cost of its requests divided by its share, and the account that is furthest behind goes next. An
// account that comes back after a pause starts shortly before the virtual time of the pool, so it loses
// nothing by having been idle and gains at most creditTime of its share.
type Pool struct {
	limit   *Limit
	tokens  int // bound on tokens in flight; 0 is none
	held    int
	queues  map[string]*queue
	shares  map[string]*account
	total   float64 // sum of all shares
	waiting int
	queued  float64 // cost that waits
	virtual float64
	seq     uint64
	flights map[uint64]flight
	// servers is a slice because each admission looks for the one with most room.
	servers []server
	byName  map[string]int
	// hold and cost are means over the requests that have ended, in seconds and tokens.
	hold float64
	cost float64
}

// queue holds the requests of one account that wait.
type queue struct {
	account string
	share   float64
	items   []item
	cost    float64
	// start is the virtual time at which the account's next request starts.
	start float64
}

type item struct {
	Request
	seq    uint64
	passed int // admissions that overtook the request while no server had room for it
}

// flight is an admitted request. Its tokens count for server, which is a guess until Place.
type flight struct {
	server string
	tokens int
	at     time.Time
	placed time.Time
}

// server is one backend server's memory.
type server struct {
	name     string
	capacity int
	reported int
	madeAt   time.Time
	// recent are the tokens of own requests that the report does not cover.
	recent int
}

// maxPassed bounds how many requests may overtake one that no server has room for, so that large
// requests do not starve while small ones keep all servers full.
const maxPassed = 16

// meanStep is the weight of a new sample in the means of a pool.
const meanStep = 0.05

func newPool() *Pool {
	return &Pool{
		limit: NewLimit(0, 0), queues: make(map[string]*queue), flights: make(map[uint64]flight),
		byName: make(map[string]int),
	}
}

// SetLimits sets how many requests and tokens this node should have in flight: its part of what the
// model's servers bear. 0 is no bound.
func (p *Pool) SetLimits(requests float64, tokens int) {
	p.limit.SetRange(requests*limitLow, requests*limitHigh)
	p.tokens = tokens
}

// Limit returns how many requests the pool runs at once; 0 is no bound.
func (p *Pool) Limit() float64 { return p.limit.Value() }

// InFlight returns the number of admitted requests.
func (p *Pool) InFlight() int { return len(p.flights) }

// Observe takes the tokens held and the capacity that a server has reported. Capacity 0 is no bound.
func (p *Pool) Observe(name string, held, capacity int, madeAt time.Time) {
	i, ok := p.byName[name]
	if !ok {
		i = len(p.servers)
		p.byName[name] = i
		p.servers = append(p.servers, server{name: name})
	}
	s := &p.servers[i]
	if madeAt.Before(s.madeAt) {
		return
	}
	s.capacity, s.reported, s.madeAt, s.recent = capacity, held, madeAt, 0
	for _, f := range p.flights {
		if f.server == name && !f.placed.Before(madeAt) {
			s.recent += f.tokens
		}
	}
}

// Forget drops a server.
func (p *Pool) Forget(name string) {
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

// Place notes the server that an admitted request is sent to.
func (p *Pool) Place(now time.Time, id uint64, name string) {
	f, ok := p.flights[id]
	if !ok || f.server == name {
		return
	}
	p.unplace(f)
	f.server, f.placed = name, now
	p.flights[id] = f
	if i, ok := p.byName[name]; ok {
		p.servers[i].recent += f.tokens
	}
}

func (p *Pool) unplace(f flight) {
	if i, ok := p.byName[f.server]; ok && !f.placed.Before(p.servers[i].madeAt) {
		p.servers[i].recent -= f.tokens
	}
}

func (p *Pool) setShares(accounts map[string]*account) {
	p.shares, p.total = accounts, 0
	for _, a := range accounts {
		p.total += float64(a.Share)
	}
	for name, q := range p.queues {
		q.share = p.share(name)
		if _, ok := accounts[name]; !ok && len(q.items) == 0 {
			delete(p.queues, name)
		}
	}
}

func (p *Pool) share(name string) float64 {
	if a, ok := p.shares[name]; ok {
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

// admitsNow reports whether a request may run without waiting, and charges its account if so.
func (p *Pool) admitsNow(r Request) bool {
	if p.waiting > 0 || !p.hasPlace() || !p.hasRoom(r.Tokens) {
		return false
	}
	q := p.queue(r.Account)
	q.start = p.startOf(q)
	p.charge(r)
	return true
}

// startOf returns the virtual time at which the next request of a queue starts.
func (p *Pool) startOf(q *queue) float64 {
	if len(q.items) > 0 {
		return q.start
	}
	return max(q.start, p.virtual-p.credit())
}

// creditTime is the part of its share that an account may catch up on after a pause. Without it, the
// second request of a small account that sends two at once waits until its share has paid for the
// first, behind an account that floods.
const creditTime = 2 * time.Second

// credit returns creditTime in virtual time.
func (p *Pool) credit() float64 {
	if p.total == 0 {
		return 0
	}
	return creditTime.Seconds() * p.drain() / p.total
}

// charge advances the virtual time of the request's account.
func (p *Pool) charge(r Request) {
	q := p.queue(r.Account)
	p.virtual = max(p.virtual, q.start)
	q.start += cost(r) / q.share
}

// cost is what a request takes of the account's share: its tokens and the work that any request makes.
func cost(r Request) float64 { return float64(r.Tokens) + requestCost }

// requestCost is the work of a request without its tokens, in tokens.
const requestCost = 50

func (p *Pool) start(now time.Time, r Request) {
	f := flight{tokens: r.Tokens, at: now, placed: now}
	if s := p.roomiest(); s != nil {
		f.server = s.name
		s.recent += r.Tokens
	}
	p.flights[r.ID] = f
	p.held += r.Tokens
}

func (p *Pool) finish(now time.Time, id uint64) {
	f, ok := p.flights[id]
	if !ok {
		return
	}
	full := p.waiting > 0
	p.unplace(f)
	delete(p.flights, id)
	p.held -= f.tokens
	hold := now.Sub(f.at)
	if p.hold == 0 {
		p.hold, p.cost = hold.Seconds(), float64(f.tokens)+requestCost
	}
	p.hold += meanStep * (hold.Seconds() - p.hold)
	p.cost += meanStep * (float64(f.tokens) + requestCost - p.cost)
	p.limit.Done(now, hold, full)
}

func (p *Pool) hasPlace() bool {
	limit := p.limit.Value()
	return limit == 0 || float64(len(p.flights)+1) <= math.Max(1, limit)
}

// hasRoom reports whether the tokens of a request fit in the node's part and on some server. A request
// that is larger than the node's part runs when it is alone.
func (p *Pool) hasRoom(tokens int) bool {
	if p.tokens > 0 && p.held > 0 && p.held+tokens > p.tokens {
		return false
	}
	s := p.roomiest()
	return s == nil || s.room() >= tokens
}

func (s *server) room() int {
	if s.capacity <= 0 {
		return math.MaxInt
	}
	return s.capacity - s.reported - s.recent
}

// roomiest returns the server with most room, which is where a request counts until it is placed, or
// nil when none is known.
func (p *Pool) roomiest() *server {
	var best *server
	most := math.MinInt
	for i := range p.servers {
		if room := p.servers[i].room(); room > most {
			best, most = &p.servers[i], room
		}
	}
	return best
}

func (p *Pool) enqueue(r Request) {
	q := p.queue(r.Account)
	q.start = p.startOf(q)
	p.seq++
	q.items = append(q.items, item{Request: r, seq: p.seq})
	q.cost += cost(r)
	p.queued += cost(r)
	p.waiting++
}

// next removes and returns the request that goes next, if there is a place for it.
func (p *Pool) next() (Request, bool) {
	if p.waiting == 0 || !p.hasPlace() {
		return Request{}, false
	}
	q := p.behind(nil)
	i := q.first()
	if p.hasRoom(q.items[i].Tokens) {
		return p.take(q, i), true
	}
	// No server has room for the request. One of another account may overtake it, but not for ever.
	o := p.behind(q)
	if o == nil || q.items[i].passed >= maxPassed {
		return Request{}, false
	}
	j := o.first()
	if !p.hasRoom(o.items[j].Tokens) {
		return Request{}, false
	}
	q.items[i].passed++
	return p.take(o, j), true
}

func (p *Pool) take(q *queue, i int) Request {
	r := q.items[i].Request
	p.remove(q, i)
	return r
}

// behind returns the queue with requests that is furthest behind in virtual time, other than not.
func (p *Pool) behind(not *queue) *queue {
	var best *queue
	for _, q := range p.queues {
		if len(q.items) == 0 || q == not {
			continue
		}
		if best == nil || q.start < best.start || (q.start == best.start && q.account < best.account) {
			best = q
		}
	}
	return best
}

// first returns the request of a queue that goes first: by priority, then in order of arrival.
func (q *queue) first() int {
	best := 0
	for i := range q.items {
		if q.items[i].before(q.items[best]) {
			best = i
		}
	}
	return best
}

// last returns the request of a queue that goes last.
func (q *queue) last() int {
	worst := 0
	for i := range q.items {
		if q.items[worst].before(q.items[i]) {
			worst = i
		}
	}
	return worst
}

func (it item) before(o item) bool {
	if it.Priority != o.Priority {
		return it.Priority > o.Priority
	}
	return it.seq < o.seq
}

func (p *Pool) remove(q *queue, i int) {
	c := cost(q.items[i].Request)
	q.cost -= c
	p.queued -= c
	p.waiting--
	q.items = append(q.items[:i], q.items[i+1:]...)
}

func (p *Pool) runs(id uint64) bool {
	_, ok := p.flights[id]
	return ok
}

// find returns the place of a request that waits.
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

// expectedWait estimates how long a request waits: until the virtual time has come to its turn, or
// until the whole queue has drained, whichever is sooner. It is 0 until requests have ended.
func (p *Pool) expectedWait(r Request) time.Duration {
	drain := p.drain()
	if drain == 0 {
		return 0
	}
	q := p.queue(r.Account)
	ahead, shares := cost(r), q.share
	for i := range q.items {
		if q.items[i].Priority >= r.Priority {
			ahead += cost(q.items[i].Request)
		}
	}
	for _, o := range p.queues {
		if o != q && len(o.items) > 0 {
			shares += o.share
		}
	}
	turn := max(0, p.startOf(q)-p.virtual+ahead/q.share)
	wait := min(max(cost(r), turn*shares), p.queued+cost(r)) / drain
	return time.Duration(wait * float64(time.Second))
}

// drain returns the cost that ends in a second while the pool is full, by Little's law, or 0 when it
// is not known.
func (p *Pool) drain() float64 {
	limit := p.limit.Value()
	if p.hold == 0 {
		return 0
	}
	full := float64(len(p.flights)) * p.cost
	if limit > 0 {
		full = max(1, limit) * p.cost
	}
	if p.tokens > 0 {
		full = min(full, float64(p.tokens))
	}
	return full / p.hold
}

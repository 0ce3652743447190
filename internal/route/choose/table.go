// Package choose picks the backend server for a request.
//
// A Table holds what one node knows of the backend servers: their specifications, the newest load
// report of each and the node's own sends since that report. Choosers read it. Everything here is a
// decider: time and random numbers are given, and nothing is safe for concurrent use.
package choose

import (
	"cmp"
	"math"
	"slices"
	"time"

	"geraniumhollow/internal/core/sets"
)

// Config holds the assumptions of the estimate. Durations that differ between engines are learned
// per server from observed first tokens.
type Config struct {
	// MaxReportAge is group_report_max_age: a server whose report is older is not chosen.
	MaxReportAge time.Duration
	// PrefillPerToken is the time to process one prompt token that is not cached.
	PrefillPerToken time.Duration
	// QueuedPrompt is what a request that a report counts as waiting is assumed to need of prefill, in
	// tokens, until own sends have shown it.
	QueuedPrompt int
	// PeerSends is how many sends of other nodes are assumed for each own send since the report. Nodes
	// have like requests and like reports, so what attracts the sends of one attracts those of others.
	PeerSends float64
	// FirstStep is the weight of each observed first token in the time that a model's servers need for it beyond
	// prefill, which is the same for all of them; 0 learns none.
	FirstStep float64
	// Hold is how long a request is assumed to occupy its place until ends have been observed.
	Hold time.Duration
	// ColdFactor is how many times slower than a warm instance a cold one is assumed to be.
	ColdFactor float64
	// BatchFactor is the part by which a full batch slows down prefill.
	BatchFactor float64
}

// DefaultConfig returns the assumptions that nodes start with.
func DefaultConfig() Config {
	return Config{
		MaxReportAge:    3 * time.Second,
		PrefillPerToken: 100 * time.Microsecond,
		QueuedPrompt:    1000,
		Hold:            4 * time.Second,
		PeerSends:       0.5,
		ColdFactor:      4,
		BatchFactor:     1,
	}
}

// Spec is the fixed part of a backend server.
type Spec struct {
	Name     string
	Model    string
	Version  string
	Adapters sets.Set[string]
	// Distance is the one-way delay from this node.
	Distance time.Duration
	// ColdRequests and WarmRequests bound the requests held by an instance; 0 is no bound.
	ColdRequests int
	WarmRequests int
	// WarmTokens bounds the tokens held, unless a report names a capacity; 0 is no bound.
	WarmTokens int
	// PrefillPerToken is the time to process one prompt token; 0 takes that of the table.
	PrefillPerToken time.Duration
	// Hold is how long a request occupies its place; 0 takes what the table has learned.
	Hold time.Duration
}

// Report is a load report of a backend server.
type Report struct {
	Instance string
	Open     bool
	Cold     bool
	Running  int
	Waiting  int
	// Held and Capacity are in tokens; capacity 0 means that the report does not tell.
	Held     int
	Capacity int
	// MadeAt is when the engine made the report, by the clock of this node.
	MadeAt time.Time
}

// Request is what a decision has to know of a request.
type Request struct {
	Model    string
	Version  string // "" takes any version
	Adapter  string // "" needs none
	Priority int
	// PromptTokens and AnswerTokens are the most that the request will hold.
	PromptTokens int
	AnswerTokens int
	// Hits are the servers that are expected to have a part of the prompt in their cache.
	Hits []Hit
	// Tried are the servers that must not be chosen again.
	Tried []int
}

// Hit is an expected cache hit.
type Hit struct {
	Server int
	Tokens int
}

// row holds what a decision reads of one server; it fits in one cache line.
type row struct {
	madeAt    int64 // clock of the table in ns; never for a closed route
	busyUntil int64 // when the prefill queue is expected to be empty
	placeAt   int64 // when a place is expected to be free
	fixed     float64
	perToken  float64
	fill      float64 // part of the limits in use, by requests or tokens, whichever is more
	room      int     // tokens
	inFlight  int
}

const never = math.MinInt64

// load is what decisions do not read of one server.
type load struct {
	spec   Spec
	used   bool
	report Report
	madeAt int64
	// changed is when an answer showed another instance than the report.
	changed int64
	sends   []send
	slow    float64 // learned factor on the time of prefill
}

// send is one request that this node sent.
type send struct {
	id       uint64
	at       int64
	ended    int64 // 0 while it runs
	tokens   int
	prefill  float64 // seconds on a server of factor 1
	estimate float64 // seconds to the first token
}

// maxSends bounds the sends that are remembered for one server; the oldest are forgotten first.
const maxSends = 512

// Table is what one node knows of the backend servers.
type Table struct {
	cfg    Config
	epoch  time.Time
	maxAge int64
	hold   float64 // seconds
	queued float64 // tokens of prefill that a waiting request is assumed to need
	nextID uint64
	ids    map[string]int
	free   []int
	loads  []load
	rows   []row
	marks  []int32 // per decision: expected hit in tokens, or tried
	lists  map[wish][]int32
	// firsts are the learned times to the first token beyond prefill, by model.
	firsts map[string]learned
}

// wish selects the servers that can run a request at all.
type wish struct {
	model, version, adapter string
}

// NewTable returns an empty table whose clock starts at now.
func NewTable(cfg Config, now time.Time) *Table {
	return &Table{
		cfg: cfg, epoch: now, maxAge: int64(cfg.MaxReportAge), hold: cfg.Hold.Seconds(),
		queued: float64(cfg.QueuedPrompt),
		ids:    make(map[string]int), lists: make(map[wish][]int32), firsts: make(map[string]learned),
	}
}

// SetPeerSends replaces Config.PeerSends, when the number of nodes has changed.
func (t *Table) SetPeerSends(sends float64) { t.cfg.PeerSends = sends }

// Put adds a server or replaces its specification, and returns its index. The index stays until the
// server is removed. A new server is not chosen before its first report.
func (t *Table) Put(s Spec) int {
	id, ok := t.ids[s.Name]
	if !ok {
		id = t.slot()
		t.ids[s.Name] = id
		t.loads[id] = load{used: true, slow: 1}
	}
	t.loads[id].spec = s
	clear(t.lists)
	t.refresh(id)
	return id
}

func (t *Table) slot() int {
	if n := len(t.free); n > 0 {
		id := t.free[n-1]
		t.free = t.free[:n-1]
		return id
	}
	t.loads = append(t.loads, load{})
	t.rows = append(t.rows, row{})
	t.marks = append(t.marks, 0)
	return len(t.loads) - 1
}

// Remove forgets a server. Its index may be given to another one.
func (t *Table) Remove(name string) {
	id, ok := t.ids[name]
	if !ok {
		return
	}
	delete(t.ids, name)
	t.loads[id] = load{}
	t.rows[id] = row{madeAt: never}
	t.free = append(t.free, id)
	clear(t.lists)
}

// Index returns the index of a server.
func (t *Table) Index(name string) (int, bool) {
	id, ok := t.ids[name]
	return id, ok
}

// Name returns the name of the server with an index that Put returned.
func (t *Table) Name(id int) string { return t.loads[id].spec.Name }

// Names returns the names of all servers, in no order.
func (t *Table) Names() []string {
	names := make([]string, 0, len(t.ids))
	for n := range t.ids {
		names = append(names, n)
	}
	return names
}

// Observe takes a report and returns true. A report that is older than the one held for the same
// instance, or than the answer that showed a new instance, is dropped.
func (t *Table) Observe(id int, r Report) bool {
	l := &t.loads[id]
	madeAt := t.clock(r.MadeAt)
	if r.Instance == l.report.Instance && madeAt < l.madeAt {
		return false
	}
	if r.Instance != l.report.Instance && madeAt < l.changed {
		return false
	}
	if r.Instance != l.report.Instance {
		l.sends = l.sends[:0]
		l.slow = 1
	}
	l.report, l.madeAt = r, madeAt
	kept := l.sends[:0]
	for _, s := range l.sends {
		if s.ended == 0 || s.ended > madeAt {
			kept = append(kept, s)
		}
	}
	l.sends = kept
	// A server that gets no requests gives no first tokens to learn from; the factor returns to 1 so
	// that it is tried again.
	l.slow = math.Pow(l.slow, slowReturn)
	t.refresh(id)
	return true
}

// Send notes that the node sent a request and returns an id for Done.
func (t *Table) Send(id int, now time.Time, r Request) uint64 {
	at := t.clock(now)
	l := &t.loads[id]
	if len(l.sends) == maxSends {
		l.sends = append(l.sends[:0], l.sends[1:]...)
	}
	t.nextID++
	left := r.PromptTokens
	for _, h := range r.Hits {
		if h.Server == id {
			left = max(0, left-h.Tokens)
		}
	}
	l.sends = append(l.sends, send{
		id: t.nextID, at: at, tokens: r.PromptTokens + r.AnswerTokens,
		prefill:  float64(left) * cmp.Or(l.spec.PrefillPerToken, t.cfg.PrefillPerToken).Seconds(),
		estimate: t.rows[id].cost(at, float64(left), math.Inf(1)) + t.firsts[l.spec.Model].value,
	})
	t.queued += queuedStep * (float64(left) - t.queued)
	t.refresh(id)
	return t.nextID
}

// Done notes that a request has ended. firstToken is the time that it took to its first token, or 0
// when there was none.
func (t *Table) Done(id int, sent uint64, now time.Time, firstToken time.Duration) {
	l := &t.loads[id]
	for i := range l.sends {
		s := &l.sends[i]
		if s.id != sent || s.ended != 0 {
			continue
		}
		s.ended = t.clock(now)
		if firstToken > 0 {
			t.learnFirst(l.spec.Model, firstToken.Seconds()-s.estimate)
			ratio := min(max(firstToken.Seconds()/max(s.estimate, minEstimate), slowMin), slowMax)
			l.slow = min(max(l.slow*math.Pow(ratio, slowStep), slowMin), slowMax)
			t.hold += holdStep * (float64(s.ended-s.at)/float64(time.Second) - t.hold)
		}
		if s.ended <= l.madeAt {
			l.sends = append(l.sends[:i], l.sends[i+1:]...)
		}
		break
	}
	t.refresh(id)
}

// Cancel forgets a send that did not reach the server.
func (t *Table) Cancel(id int, sent uint64) {
	l := &t.loads[id]
	l.sends = slices.DeleteFunc(l.sends, func(s send) bool { return s.id == sent })
	t.refresh(id)
}

// Estimate returns the expected time to first token on a server, and false when it may not be chosen. It leaves
// out what keeps the last places of a server for requests of higher priority, which is no time.
func (t *Table) Estimate(id int, now time.Time, r Request) (time.Duration, bool) {
	at := t.clock(now)
	t.mark(r)
	defer t.unmark(r)
	if !t.usable(id, at, r.PromptTokens+r.AnswerTokens) {
		return 0, false
	}
	left := max(0, r.PromptTokens-int(t.marks[id]))
	seconds := t.rows[id].cost(at, float64(left), math.Inf(1)) + t.firsts[t.loads[id].spec.Model].value
	return time.Duration(seconds * float64(time.Second)), true
}

// refresh computes the row of a server.
func (t *Table) refresh(id int) {
	l := &t.loads[id]
	if !l.used || !l.report.Open {
		t.rows[id] = row{madeAt: never}
		return
	}
	limit, slow := l.spec.WarmRequests, l.slow
	if l.report.Cold {
		limit, slow = l.spec.ColdRequests, l.slow*t.cfg.ColdFactor
	}
	transit := int64(l.spec.Distance)
	prefill := cmp.Or(l.spec.PrefillPerToken, t.cfg.PrefillPerToken).Seconds() * slow
	w := row{madeAt: l.madeAt, inFlight: l.report.Running + l.report.Waiting}
	w.busyUntil = l.madeAt + nanos(float64(l.report.Waiting)*t.queued*prefill)
	held := l.report.Held
	unreported := 0
	for i := range l.sends {
		s := &l.sends[i]
		switch reported := s.at+transit < l.madeAt; {
		case reported && s.ended != 0:
			w.inFlight--
			held -= s.tokens
		case !reported && s.ended == 0:
			unreported++
			held += s.tokens
			w.busyUntil = max(w.busyUntil, s.at+transit) + nanos(s.prefill*slow*(1+t.cfg.PeerSends))
		}
	}
	w.inFlight += unreported
	if t.cfg.FirstStep > 0 {
		w.inFlight += int(float64(unreported) * t.cfg.PeerSends)
	}
	w.inFlight, held = max(0, w.inFlight), max(0, held)
	w.fixed = 2 * l.spec.Distance.Seconds()
	w.perToken = prefill
	if limit > 0 {
		part := float64(w.inFlight+1) / float64(limit)
		w.fill = part
		w.perToken *= 1 + t.cfg.BatchFactor*min(1, part)
		if part > 1 {
			w.placeAt = l.madeAt + nanos((part-1)*cmp.Or(l.spec.Hold.Seconds(), t.hold)*slow)
		}
	}
	w.room = math.MaxInt
	if capacity := l.capacity(); capacity > 0 {
		w.room = capacity - held
		w.fill = max(w.fill, float64(held)/float64(capacity))
	}
	t.rows[id] = w
}

func (l *load) capacity() int {
	if l.report.Capacity > 0 {
		return l.report.Capacity
	}
	return l.spec.WarmTokens
}

func nanos(seconds float64) int64 { return int64(seconds * float64(time.Second)) }

// cost is the expected time to first token in seconds, with what keeps the last places of a nearly
// full server for requests of higher priority.
func (w *row) cost(at int64, left, limit float64) float64 {
	c := w.fixed + w.perToken*left
	if wait := w.busyUntil - at; wait > 0 {
		c += float64(wait) * 1e-9
	}
	if wait := w.placeAt - at; wait > 0 {
		c += float64(wait) * 1e-9
	}
	if w.fill > limit {
		c += reservedCost
	}
	return c
}

// reservedPart is the part of a server that is kept from requests of the lowest priority, and
// reservedCost what it adds to their estimate in seconds: they use it when all else is worse.
const (
	reservedPart = 0.1
	reservedCost = 1.0
)

// fillLimit returns how full a server may be for a request of a priority; 0 is the lowest.
func fillLimit(priority int) float64 {
	return 1 - reservedPart/float64(1+max(0, priority))
}

func (t *Table) clock(now time.Time) int64 { return int64(now.Sub(t.epoch)) }

// list returns the servers that have what the request needs. Only combinations that some server
// offers are kept, so callers cannot fill the map with names of their own.
func (t *Table) list(r Request) []int32 {
	key := wish{r.Model, r.Version, r.Adapter}
	if ids, ok := t.lists[key]; ok {
		return ids
	}
	var ids []int32
	for id := range t.loads {
		s := &t.loads[id].spec
		fits := t.loads[id].used && s.Model == r.Model && (r.Version == "" || s.Version == r.Version)
		if fits && (r.Adapter == "" || s.Adapters.Has(r.Adapter)) {
			ids = append(ids, int32(id))
		}
	}
	if len(ids) > 0 {
		t.lists[key] = ids
	}
	return ids
}

// tried marks a server that the request must not be sent to again.
const tried = -1

func (t *Table) mark(r Request) {
	for _, h := range r.Hits {
		t.marks[h.Server] = int32(min(h.Tokens, math.MaxInt32))
	}
	for _, id := range r.Tried {
		t.marks[id] = tried
	}
}

func (t *Table) unmark(r Request) {
	for _, h := range r.Hits {
		t.marks[h.Server] = 0
	}
	for _, id := range r.Tried {
		t.marks[id] = 0
	}
}

// usable reports whether a server may be chosen for a request that holds need tokens.
func (t *Table) usable(id int, at int64, need int) bool {
	w := &t.rows[id]
	return w.madeAt >= at-t.maxAge && need <= w.room && t.marks[id] != tried
}

// Answer takes what an answer said of its server, which is newer than the report. It holds until the
// next report.
func (t *Table) Answer(id int, now time.Time, instance string, cold bool) {
	l := &t.loads[id]
	if instance == "" || !l.report.Open {
		return
	}
	if instance != l.report.Instance {
		l.report.Instance = instance
		l.changed = t.clock(now)
		l.sends = l.sends[:0]
		l.slow = 1
	}
	l.report.Cold = cold
	t.refresh(id)
}

// Full reports whether some server could be chosen for a request if it had room for its tokens.
func (t *Table) Full(now time.Time, r Request) bool {
	t.mark(r)
	defer t.unmark(r)
	at := t.clock(now)
	for _, id := range t.list(r) {
		if t.usable(int(id), at, 0) {
			return true
		}
	}
	return false
}

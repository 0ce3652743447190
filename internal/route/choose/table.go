// Package choose selects the backend server for a request.
//
// A Table holds the state of the backend servers as one node knows it: their specifications, the
// latest load report of each and the requests that this node sent since that report. A Chooser
// reads the table. The package is deterministic: callers pass in the time and the source of random
// numbers. No type is safe for concurrent use.
package choose

import (
	"cmp"
	"math"
	"slices"
	"time"

	"geraniumhollow/internal/core/sets"
)

// Config holds the parameters of the estimate. Differences in speed between servers are learned from
// the observed times to first token.
type Config struct {
	// MaxReportAge is the setting group_report_max_age. A server whose load report is older is not chosen.
	MaxReportAge time.Duration
	// PrefillPerToken is the time to process one prompt token that is not cached.
	PrefillPerToken time.Duration
	// QueuedPromptTokens is the initial estimate of the uncached prompt tokens of a request that a load report
	// counts as waiting. It is adjusted with each request that this node sends.
	QueuedPromptTokens int
	// PeerSends is the number of requests that other nodes are assumed to have sent to a server for each
	// request that this node sent since the load report. Nodes receive similar requests and reports, so
	// they tend to choose the same servers.
	PeerSends float64
	// FirstTokenLearningRate is the learning rate of the additional time to first token, beyond the estimate, that the
	// servers of a model have in common. 0 disables it; the requests that other nodes are assumed to have
	// sent are then not counted as in flight.
	FirstTokenLearningRate float64
	// SlotTime is the initial estimate of the time for which a request occupies a slot of an instance. It is
	// adjusted with each request that ends after its first token.
	SlotTime time.Duration
	// ColdFactor is the assumed ratio of the prefill time of a cold instance to that of a warm one.
	ColdFactor float64
	// BatchFactor is the relative increase of the prefill time when the batch is full.
	BatchFactor float64
}

// DefaultConfig returns the initial parameters of a node.
func DefaultConfig() Config {
	return Config{
		MaxReportAge:       3 * time.Second,
		PrefillPerToken:    100 * time.Microsecond,
		QueuedPromptTokens: 1000,
		SlotTime:           4 * time.Second,
		PeerSends:          0.5,
		ColdFactor:         4,
		BatchFactor:        1,
	}
}

// Spec is the static description of a backend server.
type Spec struct {
	Name     string
	Model    string
	Version  string
	Adapters sets.Set[string]
	// OneWayDelay is the one-way delay from this node.
	OneWayDelay time.Duration
	// ColdRequests and WarmRequests limit the concurrent requests of a cold and of a warm instance; 0
	// means no limit.
	ColdRequests int
	WarmRequests int
	// WarmTokens limits the tokens held by an instance if its load report gives no capacity; 0 means no
	// limit.
	WarmTokens int
	// PrefillPerToken is the time to process one prompt token; 0 uses Config.PrefillPerToken.
	PrefillPerToken time.Duration
	// SlotTime is the time for which a request occupies a slot; 0 uses the learned mean of the table.
	SlotTime time.Duration
}

// Report is a load report of a backend server.
type Report struct {
	Instance string
	// Open is set while the route to the server is open.
	Open bool
	// Cold is set while the instance is in cold start: it is slower, and Spec.ColdRequests applies.
	Cold bool
	// Running and Waiting count requests.
	Running int
	Waiting int
	// HeldTokens and CapacityTokens are in tokens; a capacity of 0 means that the report does not contain it.
	HeldTokens     int
	CapacityTokens int
	// CreatedAt is the time at which the engine created the report, on the clock of this node.
	CreatedAt time.Time
}

// Request holds the properties of a request that a decision depends on.
type Request struct {
	Model    string
	Version  string // "" accepts any version
	Adapter  string // "" means no adapter
	Priority int
	// PromptTokens and AnswerTokens are upper bounds of the tokens that the request will hold.
	PromptTokens int
	AnswerTokens int
	// Hits are the servers that are expected to have a prefix of the prompt in their cache.
	Hits []Hit
	// Tried are the servers that have been tried and must not be chosen again.
	Tried []int
}

// Hit is an expected cache hit of a number of prompt tokens on a server.
type Hit struct {
	Server int
	Tokens int
}

// row holds the precomputed values of one server that a decision reads. It fits in one cache line.
type row struct {
	madeAt          int64   // time of the load report in ns since Table.epoch; neverReported if the route is closed
	busyUntil       int64   // when the prefill queue is expected to be empty
	slotFreeAt      int64   // when a slot is expected to be free
	roundTrip       float64 // network delay in seconds
	prefillPerToken float64 // seconds
	utilization     float64 // the higher of the used fractions of the request limit and of the token capacity
	freeTokens      int
	inFlight        int
}

const neverReported = math.MinInt64

// serverState holds the state of one server from which its row is computed.
type serverState struct {
	spec   Spec
	used   bool
	report Report
	madeAt int64
	// instanceChangedAt is the time at which a response named another instance than the load report.
	instanceChangedAt int64
	sends             []send
	slowdown          float64 // learned factor on the prefill time
}

// send is a request that this node sent to a server.
type send struct {
	id       uint64
	at       int64
	ended    int64 // 0 while the request is running
	tokens   int
	prefill  float64 // seconds on a server whose slowdown is 1
	estimate float64 // expected time to first token in seconds
	learned  bool    // RecordFirstToken was called
}

// maxSends is the maximum number of sends kept for one server; the oldest are dropped first.
const maxSends = 512

// Table holds the state of the backend servers as one node knows it.
type Table struct {
	cfg                Config
	epoch              time.Time
	maxAge             int64
	meanHold           float64 // seconds
	queuedPromptTokens float64 // mean uncached prompt tokens of a waiting request
	nextID             uint64
	ids                map[string]int
	free               []int
	servers            []serverState
	rows               []row
	marks              []int32 // set during a decision: expected cache hit in tokens, or tried
	compatibleIDs      map[requirements][]int32
	// firstTokenDelays are the learned times to first token beyond the estimate, by model.
	firstTokenDelays map[string]learnedDelay
}

// requirements are the properties of a request that a server must support to run it.
type requirements struct {
	model, version, adapter string
}

// NewTable returns an empty table that measures times from now.
func NewTable(cfg Config, now time.Time) *Table {
	return &Table{
		cfg: cfg, epoch: now, maxAge: int64(cfg.MaxReportAge), meanHold: cfg.SlotTime.Seconds(),
		queuedPromptTokens: float64(cfg.QueuedPromptTokens),
		ids:                make(map[string]int), compatibleIDs: make(map[requirements][]int32), firstTokenDelays: make(map[string]learnedDelay),
	}
}

// SetPeerSends replaces Config.PeerSends after the number of nodes has changed.
func (t *Table) SetPeerSends(sends float64) { t.cfg.PeerSends = sends }

// Put adds a server or replaces its specification, and returns its index. The index remains valid
// until the server is removed. A new server is not chosen before its first load report.
func (t *Table) Put(s Spec) int {
	id, ok := t.ids[s.Name]
	if !ok {
		id = t.allocateIndex()
		t.ids[s.Name] = id
		t.servers[id] = serverState{used: true, slowdown: 1}
	}
	t.servers[id].spec = s
	clear(t.compatibleIDs)
	t.refresh(id)
	return id
}

func (t *Table) allocateIndex() int {
	if n := len(t.free); n > 0 {
		id := t.free[n-1]
		t.free = t.free[:n-1]
		return id
	}
	t.servers = append(t.servers, serverState{})
	t.rows = append(t.rows, row{})
	t.marks = append(t.marks, 0)
	return len(t.servers) - 1
}

// Remove removes a server. Its index may be reused for another server.
func (t *Table) Remove(name string) {
	id, ok := t.ids[name]
	if !ok {
		return
	}
	delete(t.ids, name)
	t.servers[id] = serverState{}
	t.rows[id] = row{madeAt: neverReported}
	t.free = append(t.free, id)
	clear(t.compatibleIDs)
}

// Index returns the index of a server.
func (t *Table) Index(name string) (int, bool) {
	id, ok := t.ids[name]
	return id, ok
}

// Name returns the name of a server by the index that Put returned.
func (t *Table) Name(id int) string { return t.servers[id].spec.Name }

// Names returns the names of all servers in unspecified order.
func (t *Table) Names() []string {
	names := make([]string, 0, len(t.ids))
	for n := range t.ids {
		names = append(names, n)
	}
	return names
}

// ApplyReport applies a load report and reports whether it was accepted. A report is rejected if it is
// older than the current report of the same instance, or older than the response that named a new
// instance.
func (t *Table) ApplyReport(id int, r Report) bool {
	st := &t.servers[id]
	madeAt := t.clock(r.CreatedAt)
	if r.Instance == st.report.Instance && madeAt < st.madeAt {
		return false
	}
	if r.Instance != st.report.Instance && madeAt < st.instanceChangedAt {
		return false
	}
	if r.Instance != st.report.Instance {
		st.sends = st.sends[:0]
		st.slowdown = 1
	}
	st.report, st.madeAt = r, madeAt
	kept := st.sends[:0]
	for _, s := range st.sends {
		if s.ended == 0 || s.ended > madeAt {
			kept = append(kept, s)
		}
	}
	st.sends = kept
	// Without requests there are no first tokens to learn from, so the slowdown decays to 1 with each
	// report and the server is tried again.
	st.slowdown = math.Pow(st.slowdown, slowdownDecay)
	t.refresh(id)
	return true
}

// RecordSend records that the node sent a request and returns an ID for RecordEnd and Cancel.
func (t *Table) RecordSend(id int, now time.Time, r Request) uint64 {
	at := t.clock(now)
	st := &t.servers[id]
	if len(st.sends) == maxSends {
		st.sends = append(st.sends[:0], st.sends[1:]...)
	}
	t.nextID++
	uncachedTokens := r.PromptTokens
	for _, h := range r.Hits {
		if h.Server == id {
			uncachedTokens = max(0, uncachedTokens-h.Tokens)
		}
	}
	st.sends = append(st.sends, send{
		id: t.nextID, at: at, tokens: r.PromptTokens + r.AnswerTokens,
		prefill:  float64(uncachedTokens) * cmp.Or(st.spec.PrefillPerToken, t.cfg.PrefillPerToken).Seconds(),
		estimate: t.rows[id].cost(at, float64(uncachedTokens), math.Inf(1)) + t.firstTokenDelays[st.spec.Model].value,
	})
	t.queuedPromptTokens += queuedPromptStep * (float64(uncachedTokens) - t.queuedPromptTokens)
	t.refresh(id)
	return t.nextID
}

// RecordEnd records that a request has ended. firstToken is its time to first token, or 0 if it had none.
func (t *Table) RecordEnd(id int, sendID uint64, now time.Time, firstToken time.Duration) {
	st := &t.servers[id]
	for i := range st.sends {
		s := &st.sends[i]
		if s.id != sendID || s.ended != 0 {
			continue
		}
		s.ended = t.clock(now)
		if firstToken > 0 {
			if !s.learned {
				t.learnFirstTokenDelay(st.spec.Model, firstToken.Seconds()-s.estimate)
			}
			ratio := min(max(firstToken.Seconds()/max(s.estimate, minEstimateSeconds), slowdownMin), slowdownMax)
			st.slowdown = min(max(st.slowdown*math.Pow(ratio, slowdownStep), slowdownMin), slowdownMax)
			t.meanHold += holdStep * (float64(s.ended-s.at)/float64(time.Second) - t.meanHold)
		}
		if s.ended <= st.madeAt {
			st.sends = append(st.sends[:i], st.sends[i+1:]...)
		}
		break
	}
	t.refresh(id)
}

// Cancel removes a send that did not reach the server.
func (t *Table) Cancel(id int, sendID uint64) {
	st := &t.servers[id]
	st.sends = slices.DeleteFunc(st.sends, func(s send) bool { return s.id == sendID })
	t.refresh(id)
}

// Estimate returns the expected time to first token on a server, or false if the server is not eligible.
// It leaves out reservedCostSeconds, which affects the choice of a server but is not a delay.
func (t *Table) Estimate(id int, now time.Time, r Request) (time.Duration, bool) {
	at := t.clock(now)
	t.mark(r)
	defer t.unmark(r)
	if !t.usable(id, at, r.PromptTokens+r.AnswerTokens) {
		return 0, false
	}
	uncachedTokens := max(0, r.PromptTokens-int(t.marks[id]))
	seconds := t.rows[id].cost(at, float64(uncachedTokens), math.Inf(1)) + t.firstTokenDelays[t.servers[id].spec.Model].value
	return time.Duration(seconds * float64(time.Second)), true
}

// refresh recomputes the row of a server.
func (t *Table) refresh(id int) {
	st := &t.servers[id]
	if !st.used || !st.report.Open {
		t.rows[id] = row{madeAt: neverReported}
		return
	}
	limit, slow := st.spec.WarmRequests, st.slowdown
	if st.report.Cold {
		limit, slow = st.spec.ColdRequests, st.slowdown*t.cfg.ColdFactor
	}
	transit := int64(st.spec.OneWayDelay)
	prefill := cmp.Or(st.spec.PrefillPerToken, t.cfg.PrefillPerToken).Seconds() * slow
	w := row{madeAt: st.madeAt, inFlight: st.report.Running + st.report.Waiting}
	w.busyUntil = st.madeAt + toNanoseconds(float64(st.report.Waiting)*t.queuedPromptTokens*prefill)
	heldTokens := st.report.HeldTokens
	unreported := 0
	for i := range st.sends {
		s := &st.sends[i]
		switch reported := s.at+transit < st.madeAt; {
		case reported && s.ended != 0:
			w.inFlight--
			heldTokens -= s.tokens
		case !reported && s.ended == 0:
			unreported++
			heldTokens += s.tokens
			w.busyUntil = max(w.busyUntil, s.at+transit) + toNanoseconds(s.prefill*slow*(1+t.cfg.PeerSends))
		}
	}
	w.inFlight += unreported
	if t.cfg.FirstTokenLearningRate > 0 {
		w.inFlight += int(float64(unreported) * t.cfg.PeerSends)
	}
	w.inFlight, heldTokens = max(0, w.inFlight), max(0, heldTokens)
	w.roundTrip = 2 * st.spec.OneWayDelay.Seconds()
	w.prefillPerToken = prefill
	if limit > 0 {
		requestUtilization := float64(w.inFlight+1) / float64(limit)
		w.utilization = requestUtilization
		w.prefillPerToken *= 1 + t.cfg.BatchFactor*min(1, requestUtilization)
		if requestUtilization > 1 {
			w.slotFreeAt = st.madeAt + toNanoseconds((requestUtilization-1)*cmp.Or(st.spec.SlotTime.Seconds(), t.meanHold)*slow)
		}
	}
	w.freeTokens = math.MaxInt
	if capacity := st.capacity(); capacity > 0 {
		w.freeTokens = capacity - heldTokens
		w.utilization = max(w.utilization, float64(heldTokens)/float64(capacity))
	}
	t.rows[id] = w
}

func (st *serverState) capacity() int {
	if st.report.CapacityTokens > 0 {
		return st.report.CapacityTokens
	}
	return st.spec.WarmTokens
}

func toNanoseconds(seconds float64) int64 { return int64(seconds * float64(time.Second)) }

// cost returns the expected time to first token in seconds, plus reservedCostSeconds if the
// utilization of the server is above threshold.
func (w *row) cost(at int64, uncachedTokens, threshold float64) float64 {
	c := w.roundTrip + w.prefillPerToken*uncachedTokens
	if wait := w.busyUntil - at; wait > 0 {
		c += float64(wait) * 1e-9
	}
	if wait := w.slotFreeAt - at; wait > 0 {
		c += float64(wait) * 1e-9
	}
	if w.utilization > threshold {
		c += reservedCostSeconds
	}
	return c
}

// reservedFraction is the fraction of the capacity of a server that is reserved for requests above the
// lowest priority. reservedCostSeconds is added to the cost for a request that would use the reserved
// part, so that it goes there only if all other servers are worse.
const (
	reservedFraction    = 0.1
	reservedCostSeconds = 1.0
)

// utilizationLimit returns the utilization above which reservedCostSeconds is added for a request of
// the given priority; 0 is the lowest priority.
func utilizationLimit(priority int) float64 {
	return 1 - reservedFraction/float64(1+max(0, priority))
}

func (t *Table) clock(now time.Time) int64 { return int64(now.Sub(t.epoch)) }

// compatible returns the servers that support the model, version and adapter of the request. Empty
// results are not cached, so that callers cannot grow the map with names that do not exist.
func (t *Table) compatible(r Request) []int32 {
	key := requirements{r.Model, r.Version, r.Adapter}
	if ids, ok := t.compatibleIDs[key]; ok {
		return ids
	}
	var ids []int32
	for id := range t.servers {
		s := &t.servers[id].spec
		matches := t.servers[id].used && s.Model == r.Model && (r.Version == "" || s.Version == r.Version)
		if matches && (r.Adapter == "" || s.Adapters.Has(r.Adapter)) {
			ids = append(ids, int32(id))
		}
	}
	if len(ids) > 0 {
		t.compatibleIDs[key] = ids
	}
	return ids
}

// tried is the mark of a server that the request must not be sent to again.
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

// usable reports whether a server is eligible for a request that holds requiredTokens.
func (t *Table) usable(id int, at int64, requiredTokens int) bool {
	w := &t.rows[id]
	return w.madeAt >= at-t.maxAge && requiredTokens <= w.freeTokens && t.marks[id] != tried
}

// ApplyResponse applies the instance ID and the cold state from a response, which is newer than the load
// report. They apply until the next report.
func (t *Table) ApplyResponse(id int, now time.Time, instance string, cold bool) {
	st := &t.servers[id]
	if instance == "" || !st.report.Open {
		return
	}
	if instance != st.report.Instance {
		st.report.Instance = instance
		st.instanceChangedAt = t.clock(now)
		st.sends = st.sends[:0]
		st.slowdown = 1
	}
	st.report.Cold = cold
	t.refresh(id)
}

// HasServerIgnoringTokens reports whether at least one server would be eligible for the request if it had enough free
// tokens.
func (t *Table) HasServerIgnoringTokens(now time.Time, r Request) bool {
	t.mark(r)
	defer t.unmark(r)
	at := t.clock(now)
	for _, id := range t.compatible(r) {
		if t.usable(int(id), at, 0) {
			return true
		}
	}
	return false
}

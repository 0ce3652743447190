package seat

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"geraniumhollow/internal/core/fault"
	"geraniumhollow/internal/core/sets"
	"geraniumhollow/internal/node/pass"
	"geraniumhollow/internal/route/match"
	"geraniumhollow/internal/route/queue"
)

// line holds the calls that wait for the servers of one model. It is guarded by Picker.mu.
type line struct {
	model   string
	queue   *queue.Queue
	waiters map[uint64]*waiter
	nextID  uint64
	// capacityAt is when the capacity of the servers was last computed.
	capacityAt time.Time
	// lookAt is when the queue has to be looked through again.
	lookAt time.Time
	// usedAt is when a call last entered.
	usedAt time.Time
	// saturated and source are what was last logged of the threshold.
	saturated bool
	source    queue.Source
}

// waiter is a call that waits for a server.
type waiter struct {
	call     *pass.Call
	onSilent context.CancelCauseFunc
	// result receives the decision on the call.
	result chan pickResult
	// lastRefusal is why no server took the call when it was last tried, nil if it was not tried.
	lastRefusal *fault.Error
}

// pickResult is the decision on a call: a reservation or a refusal.
type pickResult struct {
	reservation *reservation
	refusal     *fault.Error
}

// capacityInterval is the minimum time between two computations of the capacity of the servers of a model.
const capacityInterval = 100 * time.Millisecond

// pickInLine picks a server for a call of a service whose calls have different priorities. The call waits in the queue of its
// model.
func (s *Picker) pickInLine(ctx context.Context, c *pass.Call, onSilent context.CancelCauseFunc) (pass.Reservation, *fault.Error) {
	w := &waiter{call: c, onSilent: onSilent, result: make(chan pickResult, 1)}
	l, id := s.enter(w)
	if l == nil {
		return (<-w.result).unpack()
	}
	for {
		timer := time.NewTimer(s.dispatchNow(l))
		select {
		case r := <-w.result:
			timer.Stop()
			return r.unpack()
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			s.leave(l, id, w)
			return (<-w.result).unpack()
		}
	}
}

func (r pickResult) unpack() (pass.Reservation, *fault.Error) {
	if r.reservation == nil {
		return nil, r.refusal
	}
	return r.reservation, nil
}

// enter adds a call to the line of its model, and returns the line and the ID of the call in it. Without a line, the decision has
// been made.
func (s *Picker) enter(w *waiter) (*line, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.cfg.Now()
	s.sync(now)
	cand, freeAt, refusal := s.candidate(now, w.call, nil)
	if refusal != nil && (freesTooLate(now, w.call, freeAt) || !s.serves(callModelKey(w.call))) {
		w.result <- pickResult{refusal: refusal}
		return nil, 0
	}
	l := s.line(now, callModelKey(w.call))
	l.nextID++
	c := w.call
	r := queue.Request{
		ID: l.nextID, Priority: c.Priority, Account: c.Account, Tokens: c.PromptTokens + c.MaxTokens, Fingerprint: c.Fingerprint, FirstArrival: c.FirstArrival(),
		Objective: c.Route.Objective, Deadline: c.Deadline, StartTime: startTime(c, cand.estimate),
	}
	s.updateCapacity(now, l)
	if x := l.queue.Arrive(now, r); x != nil {
		w.result <- pickResult{refusal: s.refuse(x, w)}
		return nil, 0
	}
	l.waiters[r.ID], l.lookAt = w, now
	return l, r.ID
}

// freesTooLate reports whether a call would wait in vain for a server that becomes available at a time, zero if unknown.
func freesTooLate(now time.Time, c *pass.Call, freeAt time.Time) bool {
	latest := c.FirstArrival().Add(c.Route.Objective)
	switch {
	case c.Route.Objective <= 0:
		latest = c.Deadline
	case !latest.After(now):
		latest = now.Add(time.Duration(maxWaitShare * float64(c.Route.Objective)))
	}
	return freeAt.IsZero() || freeAt.After(latest) || freeAt.After(c.Deadline)
}

// startTime returns the expected time to the first byte that a call needs at least. An estimate of a busy server is more than that.
func startTime(c *pass.Call, estimate time.Duration) time.Duration {
	return min(estimate, time.Duration(maxWaitShare*float64(c.Route.Objective)))
}

// line returns the line of a model. A new one counts the requests that are at its servers already. The caller must hold mu.
func (s *Picker) line(now time.Time, model string) *line {
	l, ok := s.lines[model]
	if !ok {
		l = &line{model: model, queue: queue.New(now, rand.New(rand.NewPCG(s.rnd.Uint64(), s.rnd.Uint64()))), waiters: make(map[uint64]*waiter)}
		s.lines[model] = l
		for _, sv := range s.servers {
			for r := range sv.reservations {
				if sv.modelKey == model {
					r.line = l
					l.queue.RequestSent()
				}
			}
		}
	}
	l.usedAt = now
	return l
}

// lineRetention is how long the line of a model without calls is kept, such as after a change of the configuration to equal priorities.
const lineRetention = 30 * time.Second

// expireLines deletes the lines that have not been used for lineRetention. The caller must hold mu.
func (s *Picker) expireLines(now time.Time) {
	for model, l := range s.lines {
		if now.Sub(l.usedAt) < lineRetention || l.queue.Len() > 0 {
			continue
		}
		delete(s.lines, model)
		for _, sv := range s.servers {
			for r := range sv.reservations {
				if r.line == l {
					r.line = nil
				}
			}
		}
	}
}

// serves reports whether a server of a model is known. The names of models come from callers, so that lines are kept only for those.
func (s *Picker) serves(model string) bool {
	for _, sv := range s.servers {
		if sv.modelKey == model {
			return true
		}
	}
	return false
}

// updateCapacity tells the queue of a line what the servers of the model can run. The caller must hold mu.
func (s *Picker) updateCapacity(now time.Time, l *line) {
	if now.Sub(l.capacityAt) < capacityInterval {
		return
	}
	l.capacityAt = now
	c, known := queue.Capacity{Nodes: max(1, s.cfg.Nodes())}, true
	for _, sv := range s.servers {
		if sv.modelKey != l.model {
			continue
		}
		blocked, _ := s.notices.blocks(now, sv.entry)
		if blocked || now.Before(sv.refusedUntil) || s.watch.Stalled(now, sv.entry.ID) {
			c.Elsewhere += l.counted(sv)
			continue
		}
		known = known && sv.entry.Slots > 0
		c.Slots += s.usableSlots(now, sv)
	}
	for sv := range s.departed {
		if sv.modelKey == l.model {
			c.Elsewhere += l.counted(sv)
		}
	}
	if !known {
		// The servers whose slots are known cannot stand for those that may have room beyond.
		c.Slots = 0
	}
	l.queue.SetCapacity(c)
}

// counted returns the number of requests at a server that the line counts.
func (l *line) counted(sv *server) int {
	n := 0
	for r := range sv.reservations {
		if r.line == l {
			n++
		}
	}
	return n
}

// usableSlots returns how many requests a server can run at the same time. If the rate of requests to it is limited, these are no more
// than arrive in the time for which a request holds its slot.
func (s *Picker) usableSlots(now time.Time, sv *server) float64 {
	slots, hold := float64(sv.entry.Slots), defaultSlotTime.Seconds()
	if svc := s.cfg.Service(sv.entry.Service); svc != nil && sv.cold(now) && svc.ColdRate > 0 {
		slots = min(slots, svc.ColdRate*hold)
	}
	if rate, ok := s.cfg.Rates.Rate(sv.process()); ok {
		slots = min(slots, rate*hold)
	}
	return slots
}

// defaultSlotTime is the time for which a request is taken to hold its slot on a server with a limited rate.
const defaultSlotTime = 2 * time.Second

// leave removes a call that ends before its decision. If it has been made, it stands.
func (s *Picker) leave(l *line, id uint64, w *waiter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := l.waiters[id]; !ok {
		return
	}
	delete(l.waiters, id)
	l.queue.Remove(id)
	w.result <- pickResult{refusal: fault.New(fault.Overloaded, fault.NotRun, "the call ended while it waited for a backend server").WithRetryAfter(minRetryAfter)}
}

// dispatchNow sends waiting calls to servers if this is due, and returns the time until it is due again. All waiting calls ask for it at
// the same times.
func (s *Picker) dispatchNow(l *line) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now := s.cfg.Now(); now.Before(l.lookAt) {
		return l.lookAt.Sub(now)
	}
	s.dispatch(l)
	now := s.cfg.Now()
	at, ok := l.queue.Wakeup(now)
	if !ok {
		at = now.Add(capacityInterval)
	}
	l.lookAt = at
	return at.Sub(now)
}

// dispatch sends waiting calls to servers. The caller must hold mu.
func (s *Picker) dispatch(l *line) {
	if l.queue.Len() == 0 {
		return
	}
	now := s.cfg.Now()
	s.sync(now)
	s.updateCapacity(now, l)
	for _, x := range l.queue.Expired(now) {
		w := l.waiters[x.ID]
		delete(l.waiters, x.ID)
		w.result <- pickResult{refusal: s.refuse(&x, w)}
	}
	skipped := sets.New[uint64]()
	var freeAt time.Time
	for {
		id, ok := l.queue.Next(now, skipped.Has)
		if !ok {
			break
		}
		if at, placed := s.place(now, l, id); !placed {
			skipped.Add(id)
			if freeAt.IsZero() || !at.IsZero() && at.Before(freeAt) {
				freeAt = at
			}
		}
	}
	if len(skipped) > 0 {
		l.queue.Hold(now, freeAt)
	}
}

// place decides on the call that goes first: it is sent to a server, refused, or skipped, in which case place returns false and when
// a server becomes available, zero if unknown. The caller must hold mu.
func (s *Picker) place(now time.Time, l *line, id uint64) (time.Time, bool) {
	w := l.waiters[id]
	c := w.call
	cand, freeAt, refusal := s.candidate(now, c, nil)
	if refusal == nil {
		refusal = s.checkStart(now, l, c, cand.estimate)
	} else if freesTooLate(now, c, freeAt) {
		l.queue.Remove(id)
		delete(l.waiters, id)
		w.result <- pickResult{refusal: refusal}
		return time.Time{}, true
	}
	if refusal != nil {
		w.lastRefusal = refusal
		return freeAt, false
	}
	delete(l.waiters, id)
	l.queue.Sent(now, id)
	w.result <- pickResult{reservation: s.reserve(now, c, cand, w.onSilent)}
	return time.Time{}, true
}

// checkStart returns an error if a streaming call should not be sent to its best server now. While the fleet is saturated, a server must
// be able to start the call within its objective. Otherwise servers have free slots, and a late response is better than none: estimates
// are too high for some calls, which would be refused again each time that they return.
func (s *Picker) checkStart(now time.Time, l *line, c *pass.Call, estimate time.Duration) *fault.Error {
	if c.Route.Kind != match.Stream {
		return nil
	}
	by := c.Deadline
	if c.Route.Objective > 0 && l.queue.Saturated(now) {
		by = now.Add(c.Route.Objective)
		if at := c.FirstArrival().Add(c.Route.Objective); at.After(now) {
			by = at
		}
	}
	if c.Deadline.Before(by) {
		by = c.Deadline
	}
	if now.Add(estimate).After(by) {
		return fault.New(fault.Overloaded, fault.NotRun, "all backend servers are busy")
	}
	return nil
}

// messages are the messages of refusals.
var messages = map[queue.Reason]string{
	queue.BelowThreshold: "more urgent requests take all backend servers",
	queue.WaitTooLong:    "too many requests wait for backend servers",
	queue.Expired:        "no backend server could start the request in time",
	queue.Full:           "too many requests wait at this node",
}

// refuse returns the error for a call that the queue refuses. The caller must hold mu.
func (s *Picker) refuse(x *queue.Refusal, w *waiter) *fault.Error {
	s.cfg.Metrics.QueueRefused(string(x.Reason))
	if w.lastRefusal != nil {
		// Without requests, nothing shows that the servers are free again.
		s.table.RecordRefusal(callModelKey(w.call))
		if w.lastRefusal.Code() == fault.NoBackend {
			return w.lastRefusal.WithRetryAfter(x.RetryAfter)
		}
	}
	return fault.New(fault.Overloaded, fault.NotRun, messages[x.Reason]).WithRetryAfter(x.RetryAfter)
}

// observeFirstByte records the first byte of a response. The caller must hold mu.
func (s *Picker) observeFirstByte(now time.Time, r *reservation) {
	if r.line == nil || r.server.removed {
		return
	}
	r.line.queue.FirstByte(now, r.firstByte, r.objective)
	s.table.RecordFirstToken(r.server.tableIndex, r.sendID, now, r.firstByte)
}

// pressureShare is the share of the target for requests at servers from which nodes tell each other of the demand for a model; below,
// no request is held back. From urgentShare on, they do so often.
const (
	pressureShare = 0.5
	urgentShare   = 0.75
)

// Pressure returns the demand and load of this node for each model whose servers are busy or whose calls wait, by model, and whether calls
// wait or may soon have to.
func (s *Picker) Pressure() ([]queue.ModelTotals, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.cfg.Now()
	s.expireLines(now)
	var list []queue.ModelTotals
	urgent := false
	for _, model := range s.modelsInLine() {
		l := s.lines[model]
		s.updateCapacity(now, l)
		s.logThreshold(now, l)
		occupancy := l.queue.Status(now).Occupancy
		if l.queue.Len() > 0 || occupancy >= pressureShare {
			list = append(list, queue.ModelTotals{Model: model, Totals: l.queue.Totals(now)})
		}
		urgent = urgent || l.queue.Len() > 0 || occupancy >= urgentShare
	}
	return list, urgent
}

// logThreshold logs when a line begins or ceases to hold requests back, and when the source of its threshold changes meanwhile.
func (s *Picker) logThreshold(now time.Time, l *line) {
	st := l.queue.Status(now)
	saturated := st.Threshold < queue.Levels
	if saturated == l.saturated && (!saturated || st.Source == l.source) {
		return
	}
	l.saturated, l.source = saturated, st.Source
	s.cfg.Log.Info("admission by priority changed", "model", l.model, "saturated", saturated, "threshold", st.Threshold, "source", st.Source,
		"occupancy", st.Occupancy, "waiting", l.queue.Len())
}

// SetFleetTotals sets the demand and load of all nodes for a model, as received at a time. It does nothing for a model without calls on this node.
func (s *Picker) SetFleetTotals(at time.Time, t queue.ModelTotals) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if l := s.lines[t.Model]; l != nil {
		l.queue.SetFleet(at, t.Totals)
	}
}

// LineStatus is the state of the line of a model.
type LineStatus struct {
	Model string
	queue.Status
	// Waiting is the number of waiting calls by priority.
	Waiting [queue.Levels]int
}

// Lines returns the state of all lines, by model.
func (s *Picker) Lines() []LineStatus {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.cfg.Now()
	out := make([]LineStatus, 0, len(s.lines))
	for _, model := range s.modelsInLine() {
		q := s.lines[model].queue
		out = append(out, LineStatus{Model: model, Status: q.Status(now), Waiting: q.Waiting()})
	}
	return out
}

func (s *Picker) modelsInLine() []string {
	models := make([]string, 0, len(s.lines))
	for m := range s.lines {
		models = append(models, m)
	}
	slices.Sort(models)
	return models
}

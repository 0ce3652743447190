package usage

import (
	"maps"
	"slices"
	"time"

	"geraniumhollow/internal/core/sets"
	"geraniumhollow/internal/fleet/duty"
	"geraniumhollow/internal/plat/table"
	"github.com/cockroachdb/errors"
)

// Times of a Ledger.
const (
	// gatherTime is how long after the end of a window its counts are stored if some nodes have not sent final ones.
	gatherTime = 3 * time.Second
	// settleTime is how long after the beginning of a tenure the nodes need to send their counts to a new holder.
	settleTime = 2500 * time.Millisecond
	// dropMargin is how much longer than its report may be late a window is tried.
	dropMargin = 5 * time.Second
	// rowTime is how long after the end of a window its row is kept.
	rowTime = time.Minute
	// firstRetry is the delay before the first retry of a call, and maxRetry the longest one.
	firstRetry = 200 * time.Millisecond
	maxRetry   = 2 * time.Second
)

// ActionKind is the kind of an Action.
type ActionKind string

// Kinds of actions.
const (
	// ReadRows requests a read of all rows of the ledger, whose result is passed to RowsRead.
	ReadRows ActionKind = "read_rows"
	// Store requests the transaction Txn, whose result is passed to Stored.
	Store ActionKind = "store"
	// ReadRow requests a read of the row of a window, whose result is passed to RowRead.
	ReadRow ActionKind = "read_row"
	// Send requests a report of Counts to the platform, whose result is passed to Sent.
	Send ActionKind = "send"
)

// Action is a call that the Ledger requests.
type Action struct {
	Kind   ActionKind
	Window uint64
	// Key is the key of the row of the window.
	Key    string
	Txn    table.Txn
	Counts Counts
	// Fence is the fencing number of the tenure.
	Fence uint64
}

// MissReason is the reason for which a window is not reported.
type MissReason string

// Reasons.
const (
	// MissTooLate means that the report was not accepted in time.
	MissTooLate MissReason = "too_late"
	// MissStore means that the counts could not be stored in time.
	MissStore MissReason = "store"
	// MissRejected means that the store rejects the row.
	MissRejected MissReason = "rejected"
	// MissRestored means that the store was restored from an older copy, so that the window may have been reported with other counts.
	MissRestored MissReason = "restored"
)

// Miss is a window that is not reported.
type Miss struct {
	Window uint64
	Reason MissReason
}

// windowState is the state of a window at the holder.
type windowState struct {
	// counts holds the merged counts by process, final the processes that have sent final ones. counts is nil when they are not needed any
	// more: the row is another holder's, or the window is over.
	counts map[Process]Counts
	final  sets.Set[Process]
	// stored holds the counts of the row once it is known to be stored.
	stored Counts
	// conflict is set if the row exists but has not been read.
	conflict bool
	// busy is set while a call is in progress; retryAt is the earliest time of the next one after failures.
	busy     bool
	failures int
	retryAt  time.Time
	// done is set once the window has been reported or dropped.
	done bool
}

// LedgerConfig configures a Ledger.
type LedgerConfig struct {
	// Length is the length of a window, Lateness how long after its end its report may arrive.
	Length   time.Duration
	Lateness time.Duration
}

// Ledger is the decider of the holder of the duty: it merges the counts of all nodes, and returns which windows are to be stored and
// reported. The row of a window is created before its report is sent, and its counts are used by every holder, so that a
// window is never reported with different counts. It does no I/O. Times are estimates of true time. It is not safe for concurrent use.
//
// A restored store may lack the rows of windows that have been reported. In a new era of the store, a holder therefore creates no
// rows of windows up to its floor: those that had ended when its tenure began, or, if it was the holder before as well, the last one
// that it or the holder before it may have stored. Its rows carry the floor to the holders that follow in the era.
type Ledger struct {
	cfg     LedgerConfig
	windows map[uint64]*windowState
	// fence is the fencing number of the tenure that began at began.
	fence uint64
	began time.Time
	// rowsRead is set once the rows have been read in the tenure; rowsBusy, rowsRetryAt and rowsFailures belong to that read.
	rowsRead     bool
	rowsBusy     bool
	rowsRetryAt  time.Time
	rowsFailures int
	// continuous is set if this process held the duty until shortly before this tenure.
	continuous bool
	// floor is the last window of which no row may be created, and highest the last one whose row this process knows.
	floor   uint64
	highest uint64
	// foreign is the last window that an earlier holder may have stored, since when this process has held the duty.
	foreign uint64
	// next is the first window that has not been entered because of the time.
	next uint64
	// rows holds the windows whose rows are in the store.
	rows sets.Set[uint64]
	// lastSent is the last window that was reported.
	lastSent uint64
	// late counts requests whose counts arrived after the row was stored.
	late uint64
}

// NewLedger returns a Ledger of a node that does not hold the duty.
func NewLedger(cfg LedgerConfig) *Ledger {
	return &Ledger{cfg: cfg, windows: make(map[uint64]*windowState), rows: sets.New[uint64]()}
}

// Start begins a tenure. continuous is set if this process held the duty until so shortly before that no other holder can have made a
// call in between.
func (l *Ledger) Start(now time.Time, fence uint64, continuous bool) {
	l.continuous = continuous && l.fence > 0
	if duty.EraStart(l.fence) != duty.EraStart(fence) && !l.continuous {
		l.forgetRows()
	}
	if !l.continuous {
		// The earlier holder may act for HoldTime more.
		l.foreign = max(Window(now.Add(duty.HoldTime), l.cfg.Length), 1) - 1
	}
	l.fence, l.began = fence, now
	l.rowsRead, l.rowsBusy, l.rowsFailures, l.rowsRetryAt = false, false, 0, time.Time{}
	l.rows = sets.New[uint64]()
	l.next = max(l.next, Window(now, l.cfg.Length))
	for _, w := range l.windows {
		w.busy, w.failures, w.retryAt = false, 0, time.Time{}
	}
}

// forgetRows forgets which rows were stored in an earlier era. Their windows are not reported by this holder.
func (l *Ledger) forgetRows() {
	for _, w := range l.windows {
		if w.stored != nil {
			w.stored, w.counts = nil, make(map[Process]Counts)
		}
		w.conflict = false
	}
	l.highest = 0
}

// LastSent returns the last window that was reported, 0 for none.
func (l *Ledger) LastSent() uint64 { return l.lastSent }

// LateCounts returns the number of requests that were reported by a node after the row of their window was stored.
func (l *Ledger) LateCounts() uint64 { return l.late }

// expiry is how long after its end a window is forgotten.
func (l *Ledger) expiry() time.Duration { return max(rowTime, l.cfg.Lateness+2*dropMargin) }

// Merge adds the counts of nodes. Those of windows that are too old, or not near in time, are ignored.
func (l *Ledger) Merge(now time.Time, list []Report) {
	for _, r := range list {
		for _, c := range r.Windows {
			age := now.Sub(WindowEnd(c.Window, l.cfg.Length))
			if age > l.cfg.Lateness+dropMargin || age < -l.expiry() {
				continue
			}
			l.mergeWindow(r.Process, c)
		}
	}
}

func (l *Ledger) mergeWindow(p Process, c WindowCounts) {
	w := l.window(c.Window)
	if w.counts == nil {
		return
	}
	if w.counts[p] == nil {
		w.counts[p] = make(Counts)
	}
	if w.stored != nil {
		for account, n := range c.Counts {
			l.late += max(n, w.counts[p][account]) - w.counts[p][account]
		}
	}
	w.counts[p].merge(c.Counts)
	if c.Final {
		w.final.Add(p)
	}
}

func (l *Ledger) window(window uint64) *windowState {
	w := l.windows[window]
	if w == nil {
		w = &windowState{counts: make(map[Process]Counts), final: sets.New[Process]()}
		l.windows[window] = w
	}
	return w
}

// Next returns the calls to make now, and the windows that are given up. nodes are the registered nodes. maySend is set if a call of the
// platform's API may begin now.
func (l *Ledger) Next(now time.Time, nodes []string, maySend bool) ([]Action, []Miss) {
	l.enterEnded(now)
	misses := l.expire(now)
	if !l.rowsRead {
		if l.rowsBusy || now.Before(l.rowsRetryAt) {
			return nil, misses
		}
		l.rowsBusy = true
		return []Action{{Kind: ReadRows, Fence: l.fence}}, misses
	}
	var out []Action
	for _, k := range slices.Sorted(maps.Keys(l.windows)) {
		w := l.windows[k]
		if w.done || w.busy || now.Before(w.retryAt) || now.Before(WindowEnd(k, l.cfg.Length)) {
			continue
		}
		if w.stored == nil && !w.conflict && k <= l.floor {
			w.done = true
			misses = append(misses, Miss{Window: k, Reason: MissRestored})
			continue
		}
		if a, ok := l.action(now, k, w, nodes, maySend); ok {
			// One report at a time begins, so that those of older windows come first.
			maySend = maySend && a.Kind != Send
			w.busy = true
			out = append(out, a)
		}
	}
	return out, misses
}

// enterEnded enters the windows that have ended since the tenure began, also those without counts.
func (l *Ledger) enterEnded(now time.Time) {
	current := Window(now, l.cfg.Length)
	if current > l.next+uint64(l.expiry()/l.cfg.Length) {
		// The estimate of the time has changed, or this process was not running.
		l.next = current
	}
	for ; l.next < current; l.next++ {
		l.window(l.next)
	}
}

// action returns the call to make for a window.
func (l *Ledger) action(now time.Time, k uint64, w *windowState, nodes []string, maySend bool) (Action, bool) {
	a := Action{Window: k, Key: RowKey(k), Fence: l.fence}
	switch {
	case w.stored != nil:
		a.Kind, a.Counts = Send, w.stored
		return a, maySend
	case w.conflict:
		a.Kind = ReadRow
		return a, true
	case l.complete(now, k, w, nodes):
		a.Kind, a.Counts = Store, w.total()
		txn, err := l.insert(now, k, a.Counts)
		a.Txn = txn
		return a, err == nil
	default:
		return a, false
	}
}

// complete reports whether the counts of a window can be stored: all registered nodes, and all processes that have sent any, have sent
// final ones, or the time for them is over.
func (l *Ledger) complete(now time.Time, k uint64, w *windowState, nodes []string) bool {
	if now.Sub(l.began) < settleTime {
		return false
	}
	if now.Sub(WindowEnd(k, l.cfg.Length)) >= gatherTime {
		return true
	}
	for p := range w.counts {
		if !w.final.Has(p) {
			return false
		}
	}
	reported := sets.New[string]()
	for p := range w.final {
		reported.Add(p.Node)
	}
	return len(nodes) > 0 && !slices.ContainsFunc(nodes, func(n string) bool { return !reported.Has(n) })
}

// total returns the sum over all processes.
func (w *windowState) total() Counts {
	out := make(Counts)
	for _, counts := range w.counts {
		for account, n := range counts {
			out[account] += n
		}
	}
	return out
}

// expire gives up windows that are too old, and forgets those whose rows are deleted.
func (l *Ledger) expire(now time.Time) []Miss {
	var out []Miss
	for _, k := range slices.Sorted(maps.Keys(l.windows)) {
		w, age := l.windows[k], now.Sub(WindowEnd(k, l.cfg.Length))
		if !w.done && !w.busy && age > l.cfg.Lateness+dropMargin {
			w.done = true
			reason := MissTooLate
			if w.stored == nil {
				reason = MissStore
			}
			out = append(out, Miss{Window: k, Reason: reason})
		}
		if w.done && age > l.cfg.Lateness+dropMargin {
			w.counts = nil
		}
		if w.done && age > l.expiry() {
			delete(l.windows, k)
		}
	}
	return out
}

// RowsRead processes the result of ReadRows.
func (l *Ledger) RowsRead(now time.Time, rows []table.Row, err error) {
	l.rowsBusy = false
	if err != nil {
		l.rowsRetryAt = now.Add(retryDelay(l.rowsFailures))
		l.rowsFailures++
		return
	}
	l.rowsRead = true
	l.setFloor(rows)
	for _, r := range rows {
		k, ok := windowOfKey(r.Key)
		if !ok {
			continue
		}
		l.rows.Add(k)
		// A row of a window that nobody has sent counts of is still there if its report may be missing.
		if v, ok := decodeRow(r.Value); ok && l.recent(now, k) {
			l.setForeign(k, v.Counts)
		}
	}
}

// recent reports whether a window has not been given up yet because of its age.
func (l *Ledger) recent(now time.Time, k uint64) bool {
	return now.Sub(WindowEnd(k, l.cfg.Length)) <= l.cfg.Lateness+dropMargin
}

// setStored records the counts of a row.
func (l *Ledger) setStored(k uint64, counts Counts) {
	w := l.window(k)
	l.rows.Add(k)
	l.highest = max(l.highest, k)
	if w.stored != nil {
		return
	}
	if counts == nil {
		counts = Counts{}
	}
	w.stored, w.conflict = counts, false
}

// setForeign records the counts of a row that another holder may have created.
func (l *Ledger) setForeign(k uint64, counts Counts) {
	if l.window(k).stored == nil {
		l.window(k).counts = nil
	}
	l.setStored(k, counts)
}

// setFloor sets the floor of the tenure from the rows of the store.
func (l *Ledger) setFloor(rows []table.Row) {
	era := duty.EraStart(l.fence)
	if era == 0 {
		l.floor = 0
		return
	}
	floor, known := uint64(0), false
	for _, r := range rows {
		if v, ok := decodeRow(r.Value); ok && duty.EraStart(v.Fence) == era {
			floor, known = max(floor, v.Floor), true
		}
	}
	switch {
	case known:
		l.floor = floor
	case l.continuous:
		l.floor = max(l.floor, l.highest, l.foreign)
	default:
		l.floor = max(Window(l.began, l.cfg.Length), 1) - 1
	}
}

// Stored processes the result of Store.
func (l *Ledger) Stored(now time.Time, a Action, err error) []Miss {
	w := l.finished(a)
	if w == nil {
		return nil
	}
	switch {
	case err == nil:
		l.setStored(a.Window, a.Counts)
		for _, key := range a.Txn.Deletes {
			if k, ok := windowOfKey(key); ok {
				l.rows.Remove(k)
			}
		}
		w.failures = 0
	case errors.Is(err, table.ErrConflict):
		w.conflict = true
	case errors.Is(err, table.ErrRejected):
		w.done = true
		return []Miss{{Window: a.Window, Reason: MissRejected}}
	default:
		w.retry(now)
	}
	return nil
}

// RowRead processes the result of ReadRow.
func (l *Ledger) RowRead(now time.Time, a Action, row table.Row, err error) []Miss {
	w := l.finished(a)
	if w == nil {
		return nil
	}
	switch {
	case errors.Is(err, table.ErrNotFound):
		// The store was restored meanwhile; the next tenure decides.
		w.conflict = false
		w.retry(now)
	case err != nil:
		w.retry(now)
	default:
		v, ok := decodeRow(row.Value)
		if !ok {
			w.done = true
			return []Miss{{Window: a.Window, Reason: MissRejected}}
		}
		l.setForeign(a.Window, v.Counts)
		w.failures = 0
	}
	return nil
}

// Sent processes the result of Send.
func (l *Ledger) Sent(now time.Time, a Action, err error) {
	w := l.finished(a)
	switch {
	case w == nil:
	case err == nil:
		w.done, w.failures = true, 0
		l.lastSent = max(l.lastSent, a.Window)
	default:
		w.retry(now)
	}
}

// finished returns the window of a call that has ended, or nil if the call belongs to an earlier tenure.
func (l *Ledger) finished(a Action) *windowState {
	w := l.windows[a.Window]
	if w == nil || a.Fence != l.fence {
		return nil
	}
	w.busy = false
	return w
}

func (w *windowState) retry(now time.Time) {
	w.retryAt = now.Add(retryDelay(w.failures))
	w.failures++
}

// retryDelay returns the delay after a number of failures before the last one.
func retryDelay(failures int) time.Duration { return min(firstRetry<<min(failures, 10), maxRetry) }

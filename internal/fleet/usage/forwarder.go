package usage

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// Limits of a Forwarder.
const (
	// keepTime is how long counts are kept after the last change, to send them again when the holder of the duty changes. It is longer
	// than a window may be late.
	keepTime = 20 * time.Second
	// holdTime is how long after the end of a window counts of other processes that are not final are held back. The links near the
	// holder then carry the counts of a window once, unless a process has ended before it sent final ones.
	holdTime = 500 * time.Millisecond
	// maxEntries limits the processes and windows whose counts are kept: those of 400 nodes for 20 s with windows of 2 s. Further ones
	// are dropped.
	maxEntries = 4000
)

// entryKey identifies the counts of a process for a window.
type entryKey struct {
	process Process
	window  uint64
}

// entry holds the counts of a process for a window.
type entry struct {
	counts Counts
	final  bool
	// unsent holds the accounts whose counts have not been sent since they changed, and finalUnsent is set if final has not.
	unsent      map[string]struct{}
	finalUnsent bool
	changedAt   time.Duration
}

// Forwarder keeps the latest counts of this node and of those that send their counts through it, and returns what is to be sent
// towards the holder of the duty. It does no I/O. Times are readings of a monotonic clock. It is not safe for concurrent use.
type Forwarder struct {
	self    Process
	length  time.Duration
	entries map[entryKey]*entry
	// demandSeen holds the number of the last demand of each process.
	demandSeen map[Process]demandMark
	// demand holds demand that has not been sent.
	demand    []Report
	expiredAt time.Duration
	// dropped counts reports that were dropped because there were too many.
	dropped uint64
}

// demandMark is the number of the last demand of a process, and when it arrived.
type demandMark struct {
	seq uint64
	at  time.Duration
}

// NewForwarder returns a Forwarder of a process for windows of a length.
func NewForwarder(self Process, length time.Duration) *Forwarder {
	return &Forwarder{self: self, length: length, entries: make(map[entryKey]*entry), demandSeen: make(map[Process]demandMark)}
}

// Merge adds reports and returns what was new in them. Only that is sent on, so that reports do not circulate while the nodes
// disagree on the holder.
func (f *Forwarder) Merge(now time.Duration, list []Report) []Report {
	f.expire(now)
	var out []Report
	for _, r := range list {
		added := Report{Process: r.Process}
		for _, w := range r.Windows {
			if n, ok := f.mergeWindow(now, r.Process, w); ok {
				added.Windows = append(added.Windows, n)
			}
		}
		if r.DemandSeq > f.demandSeen[r.Process].seq {
			f.demandSeen[r.Process] = demandMark{seq: r.DemandSeq, at: now}
			added.DemandSeq, added.Demand = r.DemandSeq, r.Demand
			f.demand = append(f.demand, Report{Process: r.Process, DemandSeq: r.DemandSeq, Demand: r.Demand})
		}
		if len(added.Windows) > 0 || added.DemandSeq > 0 {
			out = append(out, added)
		}
	}
	return out
}

// mergeWindow adds the counts of one window and returns what was new in them.
func (f *Forwarder) mergeWindow(now time.Duration, p Process, w WindowCounts) (WindowCounts, bool) {
	key := entryKey{process: p, window: w.Window}
	e := f.entries[key]
	isNew := e == nil
	if isNew {
		if len(f.entries) >= maxEntries {
			f.dropped++
			return WindowCounts{}, false
		}
		e = &entry{counts: make(Counts), unsent: make(map[string]struct{})}
		f.entries[key] = e
	}
	added := WindowCounts{Window: w.Window, Counts: e.counts.merge(w.Counts), Final: w.Final && !e.final}
	if !isNew && len(added.Counts) == 0 && !added.Final {
		return WindowCounts{}, false
	}
	e.changedAt = now
	for account := range added.Counts {
		e.unsent[account] = struct{}{}
	}
	if added.Final {
		e.final, e.finalUnsent = true, true
		// Final counts are sent in full, so that they replace earlier messages that were lost.
		for account := range e.counts {
			e.unsent[account] = struct{}{}
		}
	}
	return added, true
}

// merge raises counts to those of another set and returns the counts that were raised.
func (c Counts) merge(o Counts) Counts {
	raised := make(Counts)
	for account, n := range o {
		if n > c[account] {
			c[account], raised[account] = n, n
		}
	}
	return raised
}

// expireInterval is the minimum time between two searches for what has not changed for keepTime.
const expireInterval = time.Second

// expire drops what has not changed for keepTime.
func (f *Forwarder) expire(now time.Duration) {
	if now-f.expiredAt < expireInterval {
		return
	}
	f.expiredAt = now
	maps.DeleteFunc(f.entries, func(_ entryKey, e *entry) bool { return now-e.changedAt >= keepTime })
	maps.DeleteFunc(f.demandSeen, func(_ Process, m demandMark) bool { return now-m.at >= keepTime })
}

// Take returns what is to be sent at a point of true time, and counts it as sent.
func (f *Forwarder) Take(now time.Time) []Report {
	out := append(f.take(func(key entryKey, e *entry) bool {
		return e.final || key.process == f.self || now.Sub(WindowEnd(key.window, f.length)) >= holdTime
	}), f.demand...)
	f.demand = nil
	sortReports(out)
	return out
}

// TakeOwn returns the counts of this process that have not been sent, and counts them as sent.
func (f *Forwarder) TakeOwn() []Report {
	return f.take(func(key entryKey, _ *entry) bool { return key.process == f.self })
}

// take returns those of some counts that have not been sent.
func (f *Forwarder) take(due func(key entryKey, e *entry) bool) []Report {
	byProcess := make(map[Process]*Report)
	report := func(p Process) *Report {
		r := byProcess[p]
		if r == nil {
			r = &Report{Process: p}
			byProcess[p] = r
		}
		return r
	}
	for key, e := range f.entries {
		if len(e.unsent) == 0 && !e.finalUnsent || !due(key, e) {
			continue
		}
		w := WindowCounts{Window: key.window, Counts: make(Counts, len(e.unsent)), Final: e.finalUnsent}
		for account := range e.unsent {
			w.Counts[account] = e.counts[account]
		}
		clear(e.unsent)
		e.finalUnsent = false
		r := report(key.process)
		r.Windows = append(r.Windows, w)
	}
	out := make([]Report, 0, len(byProcess))
	for _, r := range byProcess {
		out = append(out, *r)
	}
	sortReports(out)
	return out
}

// sortReports sorts reports so that the result of a Forwarder does not depend on the order of maps.
func sortReports(list []Report) {
	for _, r := range list {
		slices.SortFunc(r.Windows, func(a, b WindowCounts) int { return int(int64(a.Window) - int64(b.Window)) })
	}
	slices.SortStableFunc(list, func(a, b Report) int {
		if c := strings.Compare(a.Process.Node, b.Process.Node); c != 0 {
			return c
		}
		return strings.Compare(a.Process.Incarnation, b.Process.Incarnation)
	})
}

// Resend has all counts that are kept sent again, because the holder of the duty, or the node through which they are sent, has
// changed. Demand is not sent again.
func (f *Forwarder) Resend() {
	for _, e := range f.entries {
		for account := range e.counts {
			e.unsent[account] = struct{}{}
		}
		e.finalUnsent = e.final
	}
}

// DropDemand discards demand that has not been sent. A node without a route to the holder does so, because old demand would be taken
// for new.
func (f *Forwarder) DropDemand() { f.demand = nil }

// All returns all counts that are kept.
func (f *Forwarder) All() []Report {
	byProcess := make(map[Process][]WindowCounts)
	for key, e := range f.entries {
		byProcess[key.process] = append(byProcess[key.process], WindowCounts{Window: key.window, Counts: maps.Clone(e.counts), Final: e.final})
	}
	out := make([]Report, 0, len(byProcess))
	for p, windows := range byProcess {
		out = append(out, Report{Process: p, Windows: windows})
	}
	sortReports(out)
	return out
}

// Dropped returns the number of reports of a window that were dropped because too many were kept.
func (f *Forwarder) Dropped() uint64 { return f.dropped }

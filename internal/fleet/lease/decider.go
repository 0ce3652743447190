package lease

import (
	"maps"
	"slices"
	"strings"
	"time"

	"geraniumhollow/internal/plat/table"
	"github.com/cockroachdb/errors"
)

// Config shapes a decider.
type Config struct {
	Node        string
	Incarnation string
	// Duties are the names of all duties of the fleet.
	Duties []string
	// Lifetime is how long a row must be seen unchanged before its node counts as lapsed.
	Lifetime time.Duration
	// Renew is the time between renewals; Scan is the time between reads of all rows.
	Renew time.Duration
	Scan  time.Duration
	// Margin is how long before the end of the lifetime the holder itself stops. It covers
	// clocks that run at different rates: 1.5 s of 15 s covers one tenth.
	Margin time.Duration
	// Absent is how long the platform's list must have dropped a host before it counts as gone.
	Absent time.Duration
	// Settle is how long the preferred node must have been live before a duty moves to it for
	// balance.
	Settle time.Duration
}

// Defaults of Config.
const (
	DefaultLifetime = 15 * time.Second
	DefaultRenew    = 5 * time.Second
	DefaultScan     = 5 * time.Second
	DefaultMargin   = 1500 * time.Millisecond
	DefaultAbsent   = 30 * time.Second
	DefaultSettle   = 30 * time.Second
)

// DefaultConfig returns the times of the design page.
func DefaultConfig(node, incarnation string, duties []string) Config {
	return Config{
		Node: node, Incarnation: incarnation, Duties: duties,
		Lifetime: DefaultLifetime, Renew: DefaultRenew, Scan: DefaultScan, Margin: DefaultMargin,
		Absent: DefaultAbsent, Settle: DefaultSettle,
	}
}

// Tenure is a duty that this process holds or has held.
type Tenure struct {
	Duty  string
	Fence uint64
	Depth int
	// Earlier are the earlier holders that are not confirmed gone.
	Earlier []Earlier
	// Retaken means that no other process has held the duty since this process's last tenure.
	Retaken bool
	// Clean means that nothing of any earlier holder is in use.
	Clean bool
	// Lost means that another process holds the duty, or that it has been released.
	Lost bool

	session uint64
}

// Kind says what an operation does.
type Kind int

// Kinds of operations.
const (
	// ReadAll reads all lease and duty rows.
	ReadAll Kind = iota + 1
	// Renew writes the node's own lease row; Register inserts it.
	Renew
	Register
	// Change writes a duty row.
	Change
	// Forget deletes the lease row of a host that the platform's list has dropped.
	Forget
)

// Op is one call of the table that the decider wants made. Only one runs at a time.
type Op struct {
	Kind Kind
	Txn  table.Txn
	// sent is the time before the call.
	sent time.Time
	beat uint64
	duty string
	row  DutyRow
}

// Result is what became of an operation.
type Result struct {
	Revision uint64
	Leases   []table.Row
	Duties   []table.Row
	Err      error
}

// seen is what the decider has observed of another node's lease row.
type seen struct {
	row      versioned[NodeRow]
	since    time.Time // when the revision was first observed
	appeared time.Time // when the incarnation was first observed
}

// Decider decides about one process's lease and duties. It is not safe for concurrent use.
type Decider struct {
	cfg Config

	session  uint64
	beat     uint64
	sentAt   map[uint64]time.Time // time before each renewal that may have taken effect
	own      uint64               // revision of the own row; 0 when not registered
	until    time.Time            // the lease is valid before this
	joined   bool                 // the row has been seen to hold this incarnation
	leaving  bool                 // the lease row is to be deleted
	replaced bool                 // a newer process of this node has registered

	scanned   bool
	scanDue   time.Time
	renewDue  time.Time
	nodes     map[string]seen
	duties    map[string]versioned[DutyRow]
	tenures   map[string]Tenure
	lastFence map[string]uint64 // fence of this process's last tenure

	listed   map[string]time.Time // when each host was last in the platform's list
	listFrom time.Time            // first answer of the platform's list
	listAt   time.Time            // last answer of the platform's list

	draining  bool
	yield     map[string]bool // duties to release; the value says whether nothing is in use
	consent   map[string]bool // lost duties of which nothing is in use any more
	moveDue   time.Time
	retakeDue map[string]time.Time
}

// New returns a decider of a process that has not registered.
func New(cfg Config) *Decider {
	return &Decider{
		cfg: cfg, sentAt: make(map[uint64]time.Time), nodes: make(map[string]seen),
		duties: make(map[string]versioned[DutyRow]), tenures: make(map[string]Tenure),
		lastFence: make(map[string]uint64), listed: make(map[string]time.Time),
		yield: make(map[string]bool), consent: make(map[string]bool), retakeDue: make(map[string]time.Time),
	}
}

// Valid reports whether the node lease is valid by the process's own clock.
func (d *Decider) Valid(now time.Time) bool { return d.own != 0 && now.Before(d.until) }

// Holds reports whether the process holds the duty under a valid lease with this fencing number. A
// caller that has not seen the newest tenure yet gets false. A lease that was lost and
// registered again doesn't count for a duty until its row has been written again, because another
// process may have taken the duty in between.
func (d *Decider) Holds(now time.Time, duty string, fence uint64) bool {
	t, ok := d.tenures[duty]
	return ok && !t.Lost && t.Fence == fence && t.session == d.session && d.Valid(now)
}

// Replaced reports whether a newer process of the same node has registered. The process must stop.
func (d *Decider) Replaced() bool { return d.replaced }

// Tenures returns the duties that the process holds, and those it has lost and not consented to yet.
func (d *Decider) Tenures() []Tenure {
	out := make([]Tenure, 0, len(d.tenures))
	for _, k := range slices.Sorted(maps.Keys(d.tenures)) {
		out = append(out, d.tenures[k])
	}
	return out
}

// Holder returns the node that the last read showed as holder of the duty, or "".
func (d *Decider) Holder(duty string) string { return d.duties[duty].value.Holder }

// Yield asks for the release of a held duty. clean says that nothing that was given out under it, by
// this or an earlier holder, is in use.
func (d *Decider) Yield(duty string, clean bool) { d.yield[duty] = clean }

// Consent says that nothing given out under a lost duty is in use any more.
func (d *Decider) Consent(duty string) { d.consent[duty] = true }

// Drain stops the process from taking duties. Others learn of it from the lease row, which is written
// at once.
func (d *Decider) Drain() { d.draining, d.renewDue = true, time.Time{} }

// Rescan has the rows read at once: something is known to have changed.
func (d *Decider) Rescan() { d.scanDue = time.Time{} }

// Leave deletes the lease row. The process must have released its duties, and must stop afterwards.
func (d *Decider) Leave() { d.draining, d.leaving = true, true }

// Left reports whether the lease row has been deleted after Leave.
func (d *Decider) Left() bool { return d.leaving && d.own == 0 && d.scanned }

// Hosts takes an answer of the platform's list.
func (d *Decider) Hosts(now time.Time, names []string) {
	if d.listFrom.IsZero() {
		d.listFrom = now
	}
	d.listAt = now
	for _, n := range names {
		d.listed[n] = now
	}
}

// dropped reports whether the platform's list has been without the host for long enough.
func (d *Decider) dropped(node string) bool {
	if d.listFrom.IsZero() {
		return false
	}
	last, ok := d.listed[node]
	if !ok {
		last = d.listFrom
	}
	return d.listAt.Sub(last) > d.cfg.Absent
}

// Wants returns a held duty with the prefix whose move for balance is due. Its user releases it with
// Yield when it suits.
func (d *Decider) Wants(now time.Time, prefix string) (string, bool) {
	if !d.Valid(now) || now.Before(d.moveDue) {
		return "", false
	}
	live := d.live(now, d.cfg.Settle)
	for _, t := range d.Tenures() {
		if t.Lost || !strings.HasPrefix(t.Duty, prefix) {
			continue
		}
		if p := Preferred(t.Duty, live); p != "" && p != d.cfg.Node {
			d.moveDue = now.Add(d.cfg.Scan)
			return t.Duty, true
		}
	}
	return "", false
}

// Next returns the operation to run now, if there is one.
func (d *Decider) Next(now time.Time) (Op, bool) {
	if d.replaced {
		return Op{}, false
	}
	if !d.scanned || !now.Before(d.scanDue) {
		return Op{Kind: ReadAll, sent: now}, true
	}
	if d.own == 0 {
		if d.leaving {
			return Op{}, false
		}
		return d.register(now), true
	}
	if d.leaving {
		row := table.Row{Key: NodePrefix + d.cfg.Node, Revision: d.own}
		return Op{Kind: Forget, Txn: table.Remove(row), sent: now}, true
	}
	if !now.Before(d.renewDue) {
		return d.renew(now), true
	}
	if !d.Valid(now) {
		return Op{}, false
	}
	for _, name := range d.cfg.Duties {
		if op, ok := d.change(now, name); ok {
			return op, true
		}
	}
	return d.forget(now)
}

func (d *Decider) register(now time.Time) Op {
	d.session++
	op := d.renew(now)
	op.Kind = Register
	return op
}

func (d *Decider) renew(now time.Time) Op {
	d.beat++
	d.sentAt[d.beat] = now
	row := NodeRow{Incarnation: d.cfg.Incarnation, Session: d.session, Beat: d.beat, Draining: d.draining}
	value, err := encode(row)
	if err != nil {
		return Op{Kind: ReadAll, sent: now}
	}
	key := NodePrefix + d.cfg.Node
	old := table.Row{Key: key, Revision: d.own}
	if d.own == 0 {
		old.Revision = d.nodes[d.cfg.Node].row.revision
	}
	return Op{Kind: Renew, Txn: table.Replace(old, value), sent: now, beat: d.beat}
}

// live returns the nodes that may hold duties: seen to renew, not draining, known for at least age.
func (d *Decider) live(now time.Time, age time.Duration) []string {
	var out []string
	for name, s := range d.nodes {
		fresh := name == d.cfg.Node || now.Sub(s.since) < d.cfg.Lifetime
		if fresh && !s.row.value.Draining && (name == d.cfg.Node || now.Sub(s.appeared) >= age) {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

// lapsed reports whether the holder of a duty has lost its node lease, by observation.
func (d *Decider) lapsed(now time.Time, r DutyRow) bool {
	s, ok := d.nodes[r.Holder]
	if !ok || s.row.value.Incarnation != r.Incarnation {
		return true
	}
	return now.Sub(s.since) >= d.cfg.Lifetime
}

// gone reports whether a process is confirmed gone.
func (d *Decider) gone(node, incarnation string) bool {
	s, ok := d.nodes[node]
	return ok && s.row.value.Incarnation != incarnation || d.dropped(node)
}

// change returns the write that a duty needs from this process, if any.
func (d *Decider) change(now time.Time, name string) (Op, bool) {
	cur := d.duties[name]
	r := cur.value
	mine := r.Holder == d.cfg.Node && r.Incarnation == d.cfg.Incarnation
	if mine {
		return d.changeOwn(now, name, cur)
	}
	if t, ok := d.tenures[name]; ok && t.Lost && d.consent[name] {
		r.Earlier = r.without(d.isOwn)
		return d.write(now, name, cur.revision, r, nil)
	}
	if d.draining || Preferred(name, d.live(now, 0)) != d.cfg.Node {
		return Op{}, false
	}
	if r.Holder != "" && !d.lapsed(now, r) {
		return Op{}, false
	}
	return d.take(now, name, cur)
}

func (d *Decider) isOwn(e Earlier) bool {
	return e.Node == d.cfg.Node && e.Incarnation == d.cfg.Incarnation
}

func (d *Decider) changeOwn(now time.Time, name string, cur versioned[DutyRow]) (Op, bool) {
	r := cur.value
	if clean, ok := d.yield[name]; ok {
		if !clean {
			r.Earlier = append(slices.Clone(r.Earlier), Earlier{
				Node: d.cfg.Node, Incarnation: d.cfg.Incarnation, Depth: r.Depth,
			})
		}
		r.Holder, r.Incarnation, r.Session, r.Depth = "", "", 0, 0
		r.Clean = clean && len(r.Earlier) == 0
		return d.write(now, name, cur.revision, r, nil)
	}
	if r.Session != d.session {
		r.Session, r.Fence, r.Clean = d.session, r.Fence+1, false
		return d.write(now, name, cur.revision, r, nil)
	}
	kept := r.without(func(e Earlier) bool { return d.gone(e.Node, e.Incarnation) })
	if len(kept) == len(r.Earlier) {
		return Op{}, false
	}
	r.Earlier = kept
	return d.write(now, name, cur.revision, r, nil)
}

// take returns the write that makes this process the holder. The conditions on the old holder's
// lease row make the transaction fail when the old holder has renewed since it was observed.
func (d *Decider) take(now time.Time, name string, cur versioned[DutyRow]) (Op, bool) {
	if now.Before(d.retakeDue[name]) {
		return Op{}, false
	}
	old := cur.value
	earlier := old.without(func(e Earlier) bool { return d.isOwn(e) || d.gone(e.Node, e.Incarnation) })
	var extra *table.Txn
	if old.Holder != "" {
		if !d.gone(old.Holder, old.Incarnation) {
			earlier = append(earlier, Earlier{Node: old.Holder, Incarnation: old.Incarnation, Depth: old.Depth})
		}
		extra = d.depose(old)
	}
	r := DutyRow{
		Holder: d.cfg.Node, Incarnation: d.cfg.Incarnation, Session: d.session, Fence: old.Fence + 1,
		Depth: freeDepth(earlier), Earlier: earlier,
		Clean: cur.revision == table.Absent || old.Clean && old.Holder == "",
	}
	return d.write(now, name, cur.revision, r, extra)
}

// depose ends the old holder's lease in the transaction that takes its duty.
func (d *Decider) depose(old DutyRow) *table.Txn {
	key := NodePrefix + old.Holder
	s, ok := d.nodes[old.Holder]
	if !ok {
		return &table.Txn{Conditions: []table.Condition{{Key: key, Revision: table.Absent}}}
	}
	if s.row.value.Incarnation != old.Incarnation {
		// A newer process has the row, so the old holder can't renew.
		return nil
	}
	return &table.Txn{
		Conditions: []table.Condition{{Key: key, Revision: s.row.revision}},
		Deletes:    []string{key},
	}
}

func (d *Decider) write(now time.Time, name string, revision uint64, r DutyRow, extra *table.Txn) (Op, bool) {
	value, err := encode(r)
	if err != nil {
		return Op{}, false
	}
	txn := table.Replace(table.Row{Key: DutyPrefix + name, Revision: revision}, value)
	if extra != nil {
		txn.Conditions = append(txn.Conditions, extra.Conditions...)
		txn.Deletes = extra.Deletes
	}
	return Op{Kind: Change, Txn: txn, sent: now, duty: name, row: r}, true
}

// forget deletes one lapsed lease row whose host the platform's list has dropped.
func (d *Decider) forget(now time.Time) (Op, bool) {
	if Preferred("forget", d.live(now, 0)) != d.cfg.Node {
		return Op{}, false
	}
	for _, name := range slices.Sorted(maps.Keys(d.nodes)) {
		s := d.nodes[name]
		if name == d.cfg.Node || !d.dropped(name) || now.Sub(s.since) < d.cfg.Lifetime {
			continue
		}
		return Op{Kind: Forget, Txn: table.Remove(table.Row{Key: NodePrefix + name, Revision: s.row.revision}), sent: now}, true
	}
	return Op{}, false
}

// Done takes the result of an operation.
func (d *Decider) Done(now time.Time, op Op, res Result) {
	if op.Kind == ReadAll {
		d.read(now, res)
		return
	}
	if errors.Is(res.Err, table.ErrUnavailable) {
		d.postpone(now, op)
		return
	}
	if res.Err != nil {
		// The row may or may not have been written. The next read shows which.
		d.postpone(now, op)
		d.scanDue = now
		return
	}
	switch op.Kind {
	case Register, Renew:
		d.own, d.joined = res.Revision, true
		d.extend(op.sent, op.beat)
		d.nodes[d.cfg.Node] = seen{row: versioned[NodeRow]{
			value: NodeRow{Incarnation: d.cfg.Incarnation, Session: d.session, Beat: op.beat, Draining: d.draining}, revision: res.Revision,
		}, since: now, appeared: now}
	case Change:
		d.duties[op.duty] = versioned[DutyRow]{value: op.row, revision: res.Revision}
		d.adopt(op.duty)
		if len(op.Txn.Deletes) > 0 {
			d.scanDue = now
		}
	case Forget, ReadAll:
		d.scanDue = now
	}
}

// retry is the least time between two tries of a call that failed.
const retry = time.Second

func (d *Decider) postpone(now time.Time, op Op) {
	switch op.Kind {
	case Change:
		d.retakeDue[op.duty] = now.Add(retry)
		d.scanDue = now.Add(retry)
	case Renew:
		d.renewDue = now.Add(retry)
	case Register, Forget, ReadAll:
		d.scanDue = now.Add(retry)
	}
}

// extend counts the lease from before the renewal was sent.
func (d *Decider) extend(sent time.Time, beat uint64) {
	if until := sent.Add(d.cfg.Lifetime - d.cfg.Margin); until.After(d.until) {
		d.until = until
	}
	d.renewDue = sent.Add(d.cfg.Renew)
	maps.DeleteFunc(d.sentAt, func(b uint64, _ time.Time) bool { return b <= beat })
}

// read takes all rows as they are in the table. The time of the observation is that of the answer,
// because the row may have been written at any time before it.
func (d *Decider) read(now time.Time, res Result) {
	d.scanDue = now.Add(d.cfg.Scan)
	if res.Err != nil {
		d.scanDue = now.Add(retry)
		return
	}
	nodes, err := decode[NodeRow](NodePrefix, res.Leases)
	if err != nil {
		return
	}
	duties, err := decode[DutyRow](DutyPrefix, res.Duties)
	if err != nil {
		return
	}
	d.scanned = true
	for name, row := range nodes {
		s, ok := d.nodes[name]
		if !ok || s.row.value.Incarnation != row.value.Incarnation {
			s.appeared = now
		}
		if !ok || s.row.revision != row.revision {
			s.since = now
		}
		s.row = row
		d.nodes[name] = s
	}
	maps.DeleteFunc(d.nodes, func(name string, _ seen) bool { _, ok := nodes[name]; return !ok })
	d.checkOwn(nodes[d.cfg.Node])
	d.duties = duties
	for _, name := range d.cfg.Duties {
		d.adopt(name)
	}
}

// checkOwn compares the own lease row with what the process believes.
func (d *Decider) checkOwn(row versioned[NodeRow]) {
	switch {
	case row.revision == table.Absent:
		d.endSession()
	case row.value.Incarnation != d.cfg.Incarnation:
		// Before its first registration a process replaces the row of its predecessor.
		d.replaced = d.joined
		d.endSession()
	case row.value.Session != d.session:
		d.endSession()
	default:
		d.own, d.joined = row.revision, true
		if sent, ok := d.sentAt[row.value.Beat]; ok {
			d.extend(sent, row.value.Beat)
		}
	}
}

// endSession makes the lease lapse at once.
func (d *Decider) endSession() {
	d.own = 0
	d.until = time.Time{}
}

// adopt brings the tenure of a duty in line with its row.
func (d *Decider) adopt(name string) {
	r := d.duties[name].value
	t, had := d.tenures[name]
	if r.Holder == d.cfg.Node && r.Incarnation == d.cfg.Incarnation {
		if r.Session != d.session || d.own == 0 {
			return
		}
		if !had || t.Fence != r.Fence {
			last, ok := d.lastFence[name]
			t = Tenure{Duty: name, Fence: r.Fence, Retaken: ok && last == r.Fence-1, Clean: r.Clean, session: r.Session}
			d.lastFence[name] = r.Fence
			delete(d.consent, name)
		}
		t.Depth, t.Earlier, t.Lost = r.Depth, r.Earlier, false
		d.tenures[name] = t
		return
	}
	if !had {
		return
	}
	delete(d.yield, name)
	if !slices.ContainsFunc(r.Earlier, d.isOwn) {
		delete(d.tenures, name)
		delete(d.consent, name)
		return
	}
	t.Lost = true
	d.tenures[name] = t
}

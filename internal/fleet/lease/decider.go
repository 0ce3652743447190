package lease

import (
	"maps"
	"slices"
	"strings"
	"time"

	"geraniumhollow/internal/fleet/duty"
	"geraniumhollow/internal/plat/table"
	"github.com/cockroachdb/errors"
)

// Config configures a Decider.
type Config struct {
	Node        string
	Incarnation string
	// Duties names every duty in the fleet.
	Duties []string
	// Lifetime is how long a lease row must be observed unchanged before the lease counts as expired.
	Lifetime time.Duration
	// RenewInterval is the time between renewals. ScanInterval is the time between reads of all rows.
	RenewInterval time.Duration
	ScanInterval  time.Duration
	// ExpiryMargin is how long before Lifetime the holder stops using its own lease. It covers clocks that
	// run at different rates: 1.5 s of 15 s allows a difference of one tenth.
	ExpiryMargin time.Duration
	// DelistedAfter is how long a host must be missing from the platform's host list before its processes
	// count as terminated.
	DelistedAfter time.Duration
	// MinLiveTime is how long the preferred node must have been live before a duty moves to it for balance.
	MinLiveTime time.Duration
}

// Default values of Config.
const (
	DefaultLifetime      = 15 * time.Second
	DefaultRenewInterval = 5 * time.Second
	DefaultScanInterval  = 5 * time.Second
	DefaultExpiryMargin  = 1500 * time.Millisecond
	DefaultDelistedAfter = 30 * time.Second
	DefaultMinLiveTime   = 30 * time.Second
)

// DefaultConfig returns a configuration with the default times.
func DefaultConfig(node, incarnation string, duties []string) Config {
	return Config{
		Node: node, Incarnation: incarnation, Duties: duties,
		Lifetime: DefaultLifetime, RenewInterval: DefaultRenewInterval, ScanInterval: DefaultScanInterval, ExpiryMargin: DefaultExpiryMargin,
		DelistedAfter: DefaultDelistedAfter, MinLiveTime: DefaultMinLiveTime,
	}
}

// Tenure is the period for which this process holds, or held, a duty.
type Tenure struct {
	Duty  string
	Fence uint64
	Depth int
	// Earlier lists the earlier holders whose granted resources may still be in use.
	Earlier []EarlierHolder
	// Continued reports that no other process has held the duty since this process's previous tenure, whose fencing number
	// is Previous.
	Continued bool
	Previous  uint64
	// Clean reports that no resource granted by an earlier holder is in use.
	Clean bool
	// Lost reports that another process holds the duty, or that it has been released.
	Lost bool

	session uint64
	// lapses is the number of lapses of the lease before the tenure.
	lapses int
}

// OpKind is the kind of an operation.
type OpKind int

// Operation kinds.
const (
	// ReadAll reads all lease and duty rows.
	ReadAll OpKind = iota + 1
	// RenewLease updates the node's own lease row. RegisterLease inserts it, or replaces the row of an
	// earlier process.
	RenewLease
	RegisterLease
	// WriteDuty writes a duty row.
	WriteDuty
	// DeleteLease deletes the node's own lease row, or that of a host that is no longer in the platform's
	// host list.
	DeleteLease
)

// Op is a table call requested by the Decider. Only one may be in progress at a time.
type Op struct {
	Kind OpKind
	Txn  table.Txn
	// sentAt is the time just before the call.
	sentAt     time.Time
	renewalSeq uint64
	duty       string
	row        DutyRow
}

// Result is the outcome of an operation.
type Result struct {
	Revision table.Revision
	Leases   []table.Row
	Duties   []table.Row
	Err      error
}

// observedLease is the last observed state of a node's lease row.
type observedLease struct {
	row              versioned[NodeLease]
	unchangedSince   time.Time // when this revision was first observed
	incarnationSince time.Time // when this incarnation was first observed
}

// Decider is the state machine that manages one process's lease and duties. It does no I/O: the caller runs
// the operations returned by Next and passes the results to Done. It is not safe for concurrent use.
type Decider struct {
	cfg Config

	session       uint64
	renewalSeq    uint64
	renewalSentAt map[uint64]time.Time // send times of renewals that may have been stored
	leaseRevision table.Revision       // revision of the process's own lease row; 0 if not registered
	validUntil    time.Time            // end of the lease by the local clock
	registered    bool                 // the row has been observed with this incarnation
	lapses        int                  // how often the lease has lapsed by the local clock
	era           uint64               // latest era of the table in which a row was read or written
	rowEra        uint64               // era in which the process's own lease row was last seen
	leaving       bool                 // the lease row is to be deleted
	replaced      bool                 // a newer process of this node has registered

	scanned   bool
	scanDue   time.Time
	renewDue  time.Time
	leases    map[string]observedLease
	duties    map[string]versioned[DutyRow]
	tenures   map[string]Tenure
	lastFence map[string]uint64 // fence of this process's last tenure

	lastListed  map[string]time.Time // when each host was last in the platform's host list
	firstListAt time.Time            // first read of the platform's host list
	lastListAt  time.Time            // last read of the platform's host list

	draining     bool
	releases     map[string]bool // duties to release; true if no granted resource is in use
	lostUnused   map[string]bool // lost duties that no longer have granted resources in use
	rebalanceDue time.Time
	dutyRetryDue map[string]time.Time
}

// New returns a Decider for a process that has not registered.
func New(cfg Config) *Decider {
	return &Decider{
		cfg: cfg, renewalSentAt: make(map[uint64]time.Time), leases: make(map[string]observedLease),
		duties: make(map[string]versioned[DutyRow]), tenures: make(map[string]Tenure),
		lastFence: make(map[string]uint64), lastListed: make(map[string]time.Time),
		releases: make(map[string]bool), lostUnused: make(map[string]bool), dutyRetryDue: make(map[string]time.Time),
	}
}

// Valid reports whether the node lease is valid by the local clock.
func (d *Decider) Valid(now time.Time) bool {
	return d.leaseRevision != table.Absent && now.Before(d.validUntil)
}

// Holds reports whether the process holds the duty with this fencing number under a valid lease. It returns
// false if the duty has a newer tenure. After a lease is lost and registered again, Holds returns false until
// the duty row has been rewritten, because another process may have claimed the duty in between.
func (d *Decider) Holds(now time.Time, duty string, fence uint64) bool {
	t, ok := d.tenures[duty]
	return ok && !t.Lost && t.Fence == fence && t.session == d.session && d.Valid(now)
}

// Replaced reports whether a newer process of the same node has registered. If so, this process must stop.
func (d *Decider) Replaced() bool { return d.replaced }

// Tenures returns the duties that the process holds, and the lost ones for which it still has to call
// ConfirmUnused.
func (d *Decider) Tenures() []Tenure {
	out := make([]Tenure, 0, len(d.tenures))
	for _, k := range slices.Sorted(maps.Keys(d.tenures)) {
		out = append(out, d.tenures[k])
	}
	return out
}

// Holder returns the duty's holder as of the last read, or "".
func (d *Decider) Holder(duty string) string { return d.duties[duty].value.Holder }

// ReleaseDuty requests the release of a held duty. clean reports that nothing granted under it, by this or a
// previous holder, is in use.
func (d *Decider) ReleaseDuty(duty string, clean bool) { d.releases[duty] = clean }

// ConfirmUnused confirms that nothing granted under a lost duty is still in use.
func (d *Decider) ConfirmUnused(duty string) { d.lostUnused[duty] = true }

// Drain stops the process from claiming duties. The lease row is written at once so that other nodes see it.
func (d *Decider) Drain() { d.draining, d.renewDue = true, time.Time{} }

// Rescan requests an immediate read of the rows. Callers use it when they know that something has changed.
func (d *Decider) Rescan() { d.scanDue = time.Time{} }

// Leave deletes the lease row. The caller must have released its duties, and must stop afterwards.
func (d *Decider) Leave() { d.draining, d.leaving = true, true }

// Left reports whether the lease row has been deleted after Leave.
func (d *Decider) Left() bool { return d.leaving && d.leaseRevision == table.Absent && d.scanned }

// SetHosts records the host names in a new read of the platform's host list.
func (d *Decider) SetHosts(now time.Time, names []string) {
	if d.firstListAt.IsZero() {
		d.firstListAt = now
	}
	d.lastListAt = now
	for _, n := range names {
		d.lastListed[n] = now
	}
}

// delisted reports whether the host has been missing from the platform's host list for longer than
// DelistedAfter.
func (d *Decider) delisted(node string) bool {
	if d.firstListAt.IsZero() {
		return false
	}
	last, ok := d.lastListed[node]
	if !ok {
		last = d.firstListAt
	}
	return d.lastListAt.Sub(last) > d.cfg.DelistedAfter
}

// DueToMove returns a held duty with the given prefix that is due to move to its preferred node, if any. The
// caller releases it with ReleaseDuty at a suitable time.
func (d *Decider) DueToMove(now time.Time, prefix string) (string, bool) {
	if !d.Valid(now) || now.Before(d.rebalanceDue) {
		return "", false
	}
	live := d.eligible(now, d.cfg.MinLiveTime)
	for _, t := range d.Tenures() {
		if t.Lost || !strings.HasPrefix(t.Duty, prefix) {
			continue
		}
		if p := Preferred(t.Duty, live); p != "" && p != d.cfg.Node {
			d.rebalanceDue = now.Add(d.cfg.ScanInterval)
			return t.Duty, true
		}
	}
	return "", false
}

// Next returns the operation to run now, if any.
func (d *Decider) Next(now time.Time) (Op, bool) {
	if d.replaced {
		return Op{}, false
	}
	if !d.scanned || !now.Before(d.scanDue) {
		return Op{Kind: ReadAll, sentAt: now}, true
	}
	if d.leaseRevision == table.Absent {
		if d.leaving {
			return Op{}, false
		}
		return d.register(now), true
	}
	if d.leaving {
		row := table.Row{Key: NodePrefix + d.cfg.Node, Revision: d.leaseRevision}
		return Op{Kind: DeleteLease, Txn: table.Remove(row), sentAt: now}, true
	}
	if !now.Before(d.renewDue) {
		return d.renew(now), true
	}
	if !d.Valid(now) {
		return Op{}, false
	}
	for _, name := range d.cfg.Duties {
		if op, ok := d.nextDutyWrite(now, name); ok {
			return op, true
		}
	}
	return d.deleteDelisted(now)
}

func (d *Decider) register(now time.Time) Op {
	d.session++
	op := d.renew(now)
	op.Kind = RegisterLease
	return op
}

func (d *Decider) renew(now time.Time) Op {
	d.renewalSeq++
	d.renewalSentAt[d.renewalSeq] = now
	row := NodeLease{Incarnation: d.cfg.Incarnation, Session: d.session, RenewalSeq: d.renewalSeq, Draining: d.draining}
	value, err := encode(row)
	if err != nil {
		return Op{Kind: ReadAll, sentAt: now}
	}
	key := NodePrefix + d.cfg.Node
	old := table.Row{Key: key, Revision: d.leaseRevision}
	if d.leaseRevision == table.Absent {
		old.Revision = d.leases[d.cfg.Node].row.revision
	}
	return Op{Kind: RenewLease, Txn: table.Replace(old, value), sentAt: now, renewalSeq: d.renewalSeq}
}

// eligible returns the nodes that may claim duties: their lease is current, they are not draining, and their
// incarnation has been observed for at least age.
func (d *Decider) eligible(now time.Time, age time.Duration) []string {
	var out []string
	for name, s := range d.leases {
		fresh := name == d.cfg.Node || now.Sub(s.unchangedSince) < d.cfg.Lifetime
		if fresh && !s.row.value.Draining && (name == d.cfg.Node || now.Sub(s.incarnationSince) >= age) {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

// expired reports whether the node lease of a duty's holder has expired, as observed by this process.
func (d *Decider) expired(now time.Time, r DutyRow) bool {
	s, ok := d.leases[r.Holder]
	if !ok || s.row.value.Incarnation != r.Incarnation {
		return true
	}
	return now.Sub(s.unchangedSince) >= d.cfg.Lifetime
}

// terminated reports whether a process is confirmed terminated: its node runs another incarnation, or its
// host is no longer listed.
func (d *Decider) terminated(node, incarnation string) bool {
	s, ok := d.leases[node]
	return ok && s.row.value.Incarnation != incarnation || d.delisted(node)
}

// nextDutyWrite returns the write to a duty row that is due, if any.
func (d *Decider) nextDutyWrite(now time.Time, name string) (Op, bool) {
	cur := d.duties[name]
	r := cur.value
	isHolder := r.Holder == d.cfg.Node && r.Incarnation == d.cfg.Incarnation
	if isHolder {
		return d.nextHeldWrite(now, name, cur)
	}
	if t, ok := d.tenures[name]; ok && t.Lost && d.lostUnused[name] {
		r.Earlier = r.without(d.isSelf)
		return d.writeDuty(now, name, cur.revision, r, nil)
	}
	if d.draining || Preferred(name, d.eligible(now, 0)) != d.cfg.Node {
		return Op{}, false
	}
	if r.Holder != "" && !d.expired(now, r) {
		return Op{}, false
	}
	return d.claim(now, name, cur)
}

func (d *Decider) isSelf(e EarlierHolder) bool {
	return e.Node == d.cfg.Node && e.Incarnation == d.cfg.Incarnation
}

func (d *Decider) nextHeldWrite(now time.Time, name string, cur versioned[DutyRow]) (Op, bool) {
	r := cur.value
	if clean, ok := d.releases[name]; ok {
		if !clean {
			r.Earlier = append(slices.Clone(r.Earlier), EarlierHolder{
				Node: d.cfg.Node, Incarnation: d.cfg.Incarnation, Depth: r.Depth,
			})
		}
		r.Holder, r.Incarnation, r.Session, r.Depth = "", "", 0, 0
		r.Clean = clean && len(r.Earlier) == 0
		return d.writeDuty(now, name, cur.revision, r, nil)
	}
	if r.Session != d.session || d.restored(r) {
		r.Session, r.Fence, r.Clean = d.session, d.nextFence(r), false
		return d.writeDuty(now, name, cur.revision, r, nil)
	}
	remaining := r.without(func(e EarlierHolder) bool { return d.terminated(e.Node, e.Incarnation) })
	if len(remaining) == len(r.Earlier) {
		return Op{}, false
	}
	r.Earlier = remaining
	return d.writeDuty(now, name, cur.revision, r, nil)
}

// restored reports whether a duty row may have been brought back by a restoration of the table. Tenures that began after
// it was written, and their resources, are then not known from it.
func (d *Decider) restored(r DutyRow) bool { return d.era > 1 && r.Fence <= duty.FirstOfEra(d.era) }

// nextFence returns the fencing number of the tenure after the one in a duty row.
func (d *Decider) nextFence(r DutyRow) uint64 { return max(r.Fence, duty.FirstOfEra(d.era)) + 1 }

// claim returns the write that makes this process the holder. The conditions on the previous holder's lease
// row make the transaction fail if that lease was renewed after it was observed.
func (d *Decider) claim(now time.Time, name string, cur versioned[DutyRow]) (Op, bool) {
	if now.Before(d.dutyRetryDue[name]) {
		return Op{}, false
	}
	old := cur.value
	earlier := old.without(func(e EarlierHolder) bool { return d.isSelf(e) || d.terminated(e.Node, e.Incarnation) })
	var revocation *table.Txn
	if old.Holder != "" {
		if !d.terminated(old.Holder, old.Incarnation) {
			earlier = append(earlier, EarlierHolder{Node: old.Holder, Incarnation: old.Incarnation, Depth: old.Depth})
		}
		revocation = d.revokeLease(old)
	}
	r := DutyRow{
		Holder: d.cfg.Node, Incarnation: d.cfg.Incarnation, Session: d.session, Fence: d.nextFence(old),
		Depth: freeDepth(earlier), Earlier: earlier,
		Clean: !d.restored(old) && (cur.revision == table.Absent || old.Clean && old.Holder == ""),
	}
	return d.writeDuty(now, name, cur.revision, r, revocation)
}

// revokeLease returns the part of a claim's transaction that ends the previous holder's lease.
func (d *Decider) revokeLease(old DutyRow) *table.Txn {
	key := NodePrefix + old.Holder
	s, ok := d.leases[old.Holder]
	if !ok {
		return &table.Txn{Conditions: []table.Condition{{Key: key, Revision: table.Absent}}}
	}
	if s.row.value.Incarnation != old.Incarnation {
		// A newer process owns the row, so the previous holder can't renew.
		return nil
	}
	return &table.Txn{
		Conditions: []table.Condition{{Key: key, Revision: s.row.revision}},
		Deletes:    []string{key},
	}
}

func (d *Decider) writeDuty(now time.Time, name string, revision table.Revision, r DutyRow, revocation *table.Txn) (Op, bool) {
	value, err := encode(r)
	if err != nil {
		return Op{}, false
	}
	txn := table.Replace(table.Row{Key: DutyPrefix + name, Revision: revision}, value)
	if revocation != nil {
		txn.Conditions = append(txn.Conditions, revocation.Conditions...)
		txn.Deletes = revocation.Deletes
	}
	return Op{Kind: WriteDuty, Txn: txn, sentAt: now, duty: name, row: r}, true
}

// deleteDelisted deletes one expired lease row whose host is no longer in the platform's host list. Only the
// node preferred for this task does so.
func (d *Decider) deleteDelisted(now time.Time) (Op, bool) {
	if Preferred("forget", d.eligible(now, 0)) != d.cfg.Node {
		return Op{}, false
	}
	for _, name := range slices.Sorted(maps.Keys(d.leases)) {
		s := d.leases[name]
		if name == d.cfg.Node || !d.delisted(name) || now.Sub(s.unchangedSince) < d.cfg.Lifetime {
			continue
		}
		return Op{Kind: DeleteLease, Txn: table.Remove(table.Row{Key: NodePrefix + name, Revision: s.row.revision}), sentAt: now}, true
	}
	return Op{}, false
}

// Done processes the result of an operation.
func (d *Decider) Done(now time.Time, op Op, res Result) {
	if op.Kind == ReadAll {
		d.applyRows(now, res)
		return
	}
	if errors.Is(res.Err, table.ErrUnavailable) {
		d.scheduleRetry(now, op)
		return
	}
	if res.Err != nil {
		// The row may or may not have been written; the next read shows which.
		d.scheduleRetry(now, op)
		d.scanDue = now
		return
	}
	switch op.Kind {
	case RegisterLease, RenewLease:
		d.leaseRevision, d.registered = res.Revision, true
		d.rowEra = res.Revision.Era
		d.era = max(d.era, d.rowEra)
		d.extendLease(now, op.sentAt, op.renewalSeq)
		d.leases[d.cfg.Node] = observedLease{row: versioned[NodeLease]{
			value: NodeLease{Incarnation: d.cfg.Incarnation, Session: d.session, RenewalSeq: op.renewalSeq, Draining: d.draining}, revision: res.Revision,
		}, unchangedSince: now, incarnationSince: now}
	case WriteDuty:
		d.duties[op.duty] = versioned[DutyRow]{value: op.row, revision: res.Revision}
		d.updateTenure(op.duty)
		if len(op.Txn.Deletes) > 0 {
			d.scanDue = now
		}
	case DeleteLease, ReadAll:
		d.scanDue = now
	}
}

// retryInterval is the minimum time between attempts after a failed call.
const retryInterval = time.Second

func (d *Decider) scheduleRetry(now time.Time, op Op) {
	switch op.Kind {
	case WriteDuty:
		d.dutyRetryDue[op.duty] = now.Add(retryInterval)
		d.scanDue = now.Add(retryInterval)
	case RenewLease:
		d.renewDue = now.Add(retryInterval)
	case RegisterLease, DeleteLease, ReadAll:
		d.scanDue = now.Add(retryInterval)
	}
}

// extendLease extends the lease, counting from the time just before the renewal was sent.
func (d *Decider) extendLease(now, sent time.Time, renewalSeq uint64) {
	if now.After(d.validUntil) {
		d.lapses++
	}
	if until := sent.Add(d.cfg.Lifetime - d.cfg.ExpiryMargin); until.After(d.validUntil) {
		d.validUntil = until
	}
	d.renewDue = sent.Add(d.cfg.RenewInterval)
	maps.DeleteFunc(d.renewalSentAt, func(b uint64, _ time.Time) bool { return b <= renewalSeq })
}

// applyRows replaces the known rows by those read from the table. A row counts as observed when the answer
// arrived, because it may have been written at any time before that.
func (d *Decider) applyRows(now time.Time, res Result) {
	d.scanDue = now.Add(d.cfg.ScanInterval)
	if res.Err != nil {
		d.scanDue = now.Add(retryInterval)
		return
	}
	nodes, err := decode[NodeLease](NodePrefix, res.Leases)
	if err != nil {
		return
	}
	duties, err := decode[DutyRow](DutyPrefix, res.Duties)
	if err != nil {
		return
	}
	d.scanned = true
	for name, row := range nodes {
		s, ok := d.leases[name]
		if !ok || s.row.value.Incarnation != row.value.Incarnation {
			s.incarnationSince = now
		}
		if !ok || s.row.revision != row.revision {
			s.unchangedSince = now
		}
		s.row = row
		d.leases[name] = s
	}
	maps.DeleteFunc(d.leases, func(name string, _ observedLease) bool { _, ok := nodes[name]; return !ok })
	for _, r := range slices.Concat(res.Leases, res.Duties) {
		d.era = max(d.era, r.Revision.Era)
	}
	d.checkOwnLease(now, nodes[d.cfg.Node])
	d.duties = duties
	for _, name := range d.cfg.Duties {
		d.updateTenure(name)
	}
}

// checkOwnLease compares the process's own lease row with its local state.
func (d *Decider) checkOwnLease(now time.Time, row versioned[NodeLease]) {
	switch {
	case row.revision == table.Absent:
		d.endSession()
	case row.value.Incarnation != d.cfg.Incarnation:
		// Before it has registered, a process replaces the row of its predecessor.
		// A restored table can bring the row of a predecessor back.
		back := row.revision.Era > d.rowEra && row.value.Incarnation < d.cfg.Incarnation
		d.replaced = d.registered && !back
		d.endSession()
	case row.value.Session != d.session:
		d.endSession()
	default:
		d.leaseRevision, d.registered, d.rowEra = row.revision, true, row.revision.Era
		if sent, ok := d.renewalSentAt[row.value.RenewalSeq]; ok {
			d.extendLease(now, sent, row.value.RenewalSeq)
		}
	}
}

// endSession makes the lease expire at once.
func (d *Decider) endSession() {
	d.leaseRevision = table.Absent
	d.validUntil = time.Time{}
}

// updateTenure updates the tenure of a duty from its row.
func (d *Decider) updateTenure(name string) {
	r := d.duties[name].value
	t, had := d.tenures[name]
	if r.Holder == d.cfg.Node && r.Incarnation == d.cfg.Incarnation {
		if r.Session != d.session || d.leaseRevision == table.Absent || d.restored(r) {
			return
		}
		if !had || t.Fence != r.Fence {
			t = d.newTenure(name, r, t)
			d.lastFence[name] = r.Fence
			delete(d.lostUnused, name)
		}
		t.Depth, t.Earlier, t.Lost = r.Depth, r.Earlier, false
		d.tenures[name] = t
		return
	}
	if !had {
		return
	}
	delete(d.releases, name)
	if !slices.ContainsFunc(r.Earlier, d.isSelf) {
		delete(d.tenures, name)
		delete(d.lostUnused, name)
		return
	}
	t.Lost = true
	d.tenures[name] = t
}

// newTenure returns the tenure of a duty row whose holder is this process. old is the tenure of the duty until now, if any.
func (d *Decider) newTenure(name string, r DutyRow, old Tenure) Tenure {
	last, ok := d.lastFence[name]
	// Nobody can have claimed the duty during a lease that has not lapsed, even if the table has forgotten it.
	unbroken := old.Duty != "" && !old.Lost && old.session == r.Session && old.lapses == d.lapses
	return Tenure{
		Duty: name, Fence: r.Fence, Continued: ok && (last == r.Fence-1 || unbroken), Previous: last, Clean: r.Clean,
		session: r.Session, lapses: d.lapses,
	}
}

// Package duty gives one node at a time a duty, through a row of the platform's store.
//
// The holder renews the row and tells the nodes that it has links to. Others take the duty when they have
// seen the row unchanged for a lifetime, when a holder that they heard has fallen silent, or when another
// process has taken the holder's place. A holder whose renewals fail stops before that. Two nodes can act at the
// same time for up to Tenure, and a process can stand still between its check and its act: whatever the duty
// changes has to be guarded by the fencing number that each tenure has.
package duty

import (
	"encoding/json"
	"time"

	"geraniumhollow/internal/plat/table"
	"github.com/cockroachdb/errors"
	"github.com/zeebo/xxh3"
)

// Times of a duty.
const (
	// Lifetime is how long a row must be unchanged before another node takes the duty.
	Lifetime = 1800 * time.Millisecond
	// Renew is the time between renewals of the holder.
	Renew = 600 * time.Millisecond
	// Look is the time between reads of the nodes that stand by.
	Look = 600 * time.Millisecond
	// Beat is the time between messages of the holder to other nodes; a holder that was heard and then is
	// silent for Silence has lost the duty or its life.
	Beat    = 250 * time.Millisecond
	Silence = 900 * time.Millisecond
	// heardLook is the time between reads of a node that hears the holder. The holder's word is as good as the row,
	// so a read is only needed in case that messages between nodes fail in a way that is not foreseen.
	heardLook = 15 * time.Second
	// Reserve is the least time for which a node that does not stand by leaves the duty to others. It is many times what
	// the nodes that stand by need.
	Reserve = 6 * time.Second
	// Tenure is how long a holder acts after it sent the last renewal that was stored. It ends before Lifetime, so
	// that clocks may differ by the rest.
	Tenure = Lifetime - 300*time.Millisecond
)

// Row is the stored form.
type Row struct {
	Holder string `json:"holder"`
	// Fence grows with each tenure.
	Fence uint64 `json:"fence"`
	// Beat changes with each renewal.
	Beat uint64 `json:"beat"`
}

// Word is what a node says of the holder of the duty.
type Word struct {
	Fence  uint64
	Holder string
	// Failing says that the store does not take the holder's renewals.
	Failing bool
	// Relayed says that another node than the holder passes the word on.
	Relayed bool
}

// Op is a call of the store that the decider wants made. Only one runs at a time.
type Op struct {
	// Read asks for the row; else Txn is committed.
	Read bool
	Txn  table.Txn
	want Row
	sent time.Duration
}

// Decider decides about the duty for one node. Times are readings of a clock that runs on while the host
// is suspended. It is not safe for concurrent use.
type Decider struct {
	node string
	key  string

	row      Row
	revision uint64
	// known is set once the row has been read; changed is when it was first seen as it is.
	known   bool
	changed time.Duration
	// until is when the tenure of this node ends, by its own clock; 0 for none.
	until   time.Duration
	next    time.Duration
	running bool
	yielded bool
	// heard is when the holder was heard last in the tenure heardFence.
	heard      time.Duration
	heardFence uint64
	// met is the tenure whose holder was heard over a link of its own. Only then is silence a sign of its end: a node
	// that passed the word on may have ended as well.
	met uint64
	// linked says that the node hears other nodes, so that a silent holder is not the node's own fault.
	linked bool
	// failing says that the store does not take renewals of this node's tenure; offered is the tenure of
	// another node of which that is so.
	failing bool
	offered uint64
	// replaced is a holder whose place another process has taken.
	replaced string
	// readAt is when the row was read last.
	readAt time.Duration
	// refused counts the tries in a row to take the duty that the store did not answer.
	refused int
	// reserve is how long the node leaves the duty to others while none of them is heard, 0 for a node that stands by.
	// quietSince is when it began to hear nobody.
	reserve    time.Duration
	quietSince time.Duration
	// told is the holder as other nodes say, in the tenure toldFence.
	told      string
	toldFence uint64
}

// New returns a decider for a node and the key of the duty's row. The node stands by.
func New(node, key string) *Decider { return &Decider{node: node, key: key} }

// StandBy says whether the node is among those that take the duty as soon as it is free. Few nodes should be, as each of
// them reads the row; another node takes the duty only after it has heard no holder for a long time.
func (d *Decider) StandBy(now time.Duration, stands bool) {
	switch {
	case stands && d.reserve > 0:
		d.reserve, d.next = 0, min(d.next, now)
	case !stands && d.reserve == 0:
		d.reserve, d.quietSince = Reserve+time.Duration(xxh3.HashString(d.node)%uint64(Reserve)), now
	}
}

// Told notes the holder of a tenure, as other nodes say.
func (d *Decider) Told(fence uint64, holder string) {
	if fence >= d.toldFence {
		d.told, d.toldFence = holder, fence
	}
}

// Holds reports whether the node has the duty, and its fencing number.
func (d *Decider) Holds(now time.Duration) (uint64, bool) {
	return d.row.Fence, d.until > now && d.row.Holder == d.node
}

// Holder returns the node that holds the duty, as the last read showed or other nodes say, whichever is newer.
func (d *Decider) Holder() string {
	if d.toldFence > d.row.Fence {
		return d.told
	}
	return d.row.Holder
}

// Heard notes a message of the holder, which came over a link to it.
func (d *Decider) Heard(now time.Duration, fence uint64) {
	d.Relayed(now, fence)
	d.met = max(d.met, fence)
}

// Relayed notes a message of the holder that another node has passed on.
func (d *Decider) Relayed(now time.Duration, fence uint64) {
	if fence < d.row.Fence {
		return
	}
	if fence > d.row.Fence {
		d.known = false // The duty has moved; the row tells to whom.
		d.next = min(d.next, now)
	}
	d.heard, d.heardFence = now, fence
}

// Offered notes that the store does not take the renewals of a holder: whoever the store serves should take
// the duty.
func (d *Decider) Offered(now time.Duration, fence uint64) {
	d.Heard(now, fence)
	if d.offered != fence && fence >= d.row.Fence {
		d.offered, d.next = fence, min(d.next, now)
	}
}

// Failing reports whether the store does not take the renewals of this node's tenure.
func (d *Decider) Failing() bool { return d.failing }

// Linked says whether the node has links to nodes other than the holder.
func (d *Decider) Linked(linked bool) { d.linked = linked }

// Replaced notes that another process has taken the place of a holder.
func (d *Decider) Replaced(now time.Duration, holder string) {
	if holder != d.node && holder != d.replaced {
		d.replaced = holder
		d.next = min(d.next, now)
	}
}

// lapsed reports whether another node may take the duty.
func (d *Decider) lapsed(now time.Duration) bool {
	if d.row.Holder == "" || d.row.Holder == d.replaced || d.row.Holder != d.node && d.offered == d.row.Fence {
		return true
	}
	silent := d.linked && d.met == d.row.Fence && d.heardFence == d.met && now-d.heard >= Silence
	seen := d.changed
	if d.heardFence == d.row.Fence {
		seen = max(seen, d.heard)
	}
	return silent || now-seen >= Lifetime
}

// hears reports whether the holder has been heard of late.
func (d *Decider) hears(now time.Duration) bool {
	return d.heardFence == d.row.Fence && d.heardFence > 0 && now-d.heard < Silence
}

// assured reports whether the row need not be read, because its holder was heard and the row read of late.
func (d *Decider) assured(now time.Duration) bool {
	return d.known && d.hears(now) && !d.lapsed(now) && now < d.readAt+heardLook
}

// rest returns until when a node that does not hold the duty need not call the store.
func (d *Decider) rest(now time.Duration) time.Duration {
	switch {
	case d.reserve > 0:
		return max(d.heard, d.quietSince) + d.reserve
	case d.assured(now):
		return min(d.heard+Silence, d.readAt+heardLook)
	default:
		return now
	}
}

// Yield gives the duty up as soon as it is free to move; the node takes none afterwards.
func (d *Decider) Yield() { d.yielded, d.next = true, 0 }

// Next returns the call to make now, if there is one.
func (d *Decider) Next(now time.Duration) (Op, bool) {
	if d.running || now < d.next {
		return Op{}, false
	}
	_, holds := d.Holds(now)
	if until := d.rest(now); !holds && until > now {
		d.next = until
		return Op{}, false
	}
	d.running = true
	if !d.known {
		return Op{Read: true, sent: now}, true
	}
	switch {
	case holds && d.yielded:
		return d.write(now, Row{Fence: d.row.Fence, Beat: d.row.Beat + 1})
	case holds:
		return d.write(now, Row{Holder: d.node, Fence: d.row.Fence, Beat: d.row.Beat + 1})
	case !d.yielded && d.lapsed(now):
		return d.write(now, Row{Holder: d.node, Fence: d.row.Fence + 1, Beat: d.row.Beat + 1})
	default:
		return Op{Read: true, sent: now}, true
	}
}

func (d *Decider) write(now time.Duration, r Row) (Op, bool) {
	b, err := json.Marshal(r)
	if err != nil {
		// A row of plain fields always has a JSON form.
		panic(errors.Newf("encode duty: %w", err))
	}
	old := table.Row{Key: d.key, Revision: d.revision}
	return Op{Txn: table.Replace(old, b), want: r, sent: now}, true
}

// ReadDone takes the answer to a read. A missing row has revision table.Absent.
func (d *Decider) ReadDone(now time.Duration, row table.Row, err error) {
	d.running = false
	d.next = now + Look
	if d.reserve > 0 {
		// The second read shows whether the holder renews the row.
		d.next = now + Lifetime + Look
	}
	d.refused = 0
	if err != nil && !errors.Is(err, table.ErrNotFound) {
		return
	}
	r := Row{}
	if err == nil {
		if jerr := json.Unmarshal(row.Value, &r); jerr != nil {
			// A row that cannot be read names no holder; taking the duty writes it anew.
			r = Row{}
		}
	}
	if !d.known || row.Revision != d.revision {
		d.changed = now
	}
	d.readAt = now
	d.known, d.row, d.revision = true, r, row.Revision
	if d.lapsed(now) {
		d.next = now
	}
}

// CommitDone takes the answer to a commit.
func (d *Decider) CommitDone(now time.Duration, op Op, revision uint64, err error) {
	d.running = false
	switch {
	case err == nil:
		d.refused = 0
		d.row, d.revision, d.changed = op.want, revision, now
		d.next = now + Renew
		d.until, d.failing = 0, false
		if op.want.Holder == d.node {
			d.until = op.sent + Tenure
		}
	case errors.Is(err, table.ErrUnavailable) && op.want.Fence == d.row.Fence:
		d.failing = true
		d.next = now + retryAfter
	case errors.Is(err, table.ErrUnavailable):
		// All nodes that stand by try to take the duty while the store is away, and any of them may have it.
		d.next = now + max(Look<<min(d.refused, maxDoublings), d.reserve)
		d.refused++
	default:
		// Another node was faster, or the outcome is unknown: the row tells.
		d.known, d.failing = false, false
		d.next = now
	}
}

// maxDoublings is how often the time between tries to take the duty doubles.
const maxDoublings = 2

// retryAfter is the pause after a call that the store did not answer.
const retryAfter = 200 * time.Millisecond

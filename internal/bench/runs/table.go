package runs

import (
	"math/rand/v2"

	"geraniumhollow/internal/plat/table"
)

// Chooser returns a number from 0 to n-1. All chance of an interleaving comes from it.
type Chooser func(n int) int

// Seeded returns uniform choices that repeat with the seed.
func Seeded(seed uint64) Chooser {
	r := rand.New(rand.NewPCG(seed, 0))
	return r.IntN
}

// stepKinds returns the number of kinds of steps to choose from. The first few kinds are faults, so that
// some interleavings are full of them and others hardly have any.
func stepKinds(choose Chooser) int { return []int{24, 60, 150}[choose(3)] }

// chance reports true once in n times.
func (c Chooser) chance(n int) bool { return c(n) == 0 }

// cell is a row with its revision.
type cell[R any] struct {
	value R
	rev   table.Revision
}

// op is one call of the table that is under way.
type op[R any] struct {
	key    string
	read   bool
	base   table.Revision
	value  R
	remove bool

	applied  bool
	got      cell[R]
	conflict bool
}

// opResult is what the caller of a table operation learns.
type opResult int

const (
	opAnswered opResult = iota
	// opRefused means that the operation has no effect.
	opRefused
	// opLost means that the answer is lost.
	opLost
)

// faultyTable is a table that may be down or slow, lose answers, and apply writes late.
type faultyTable[R any] struct {
	choose Chooser
	// faultOdds is the inverse rate of each fault; it differs between interleavings.
	faultOdds int
	rows      map[string]cell[R]
	rev       table.Revision
	down      bool
	// late are writes whose callers have heard nothing and that may still take effect.
	late []*op[R]
}

func newFaultyTable[R any](choose Chooser) *faultyTable[R] {
	faultOdds := []int{4, 10, 30}[choose(3)]
	return &faultyTable[R]{choose: choose, faultOdds: faultOdds, rows: make(map[string]cell[R])}
}

// apply carries out an operation once.
func (t *faultyTable[R]) apply(o *op[R]) {
	if o.applied {
		return
	}
	o.applied = true
	row := t.rows[o.key]
	switch {
	case o.read:
		o.got = row
	case row.rev != o.base:
		o.conflict = true
	case o.remove:
		delete(t.rows, o.key)
	default:
		t.rev.Number++
		o.got = cell[R]{value: o.value, rev: t.rev}
		t.rows[o.key] = o.got
	}
}

// advance applies an operation without an answer yet, or ends the wait for it and reports true. Without
// faults the wait ends with an answer.
func (t *faultyTable[R]) advance(o *op[R], faults bool) (opResult, bool) {
	if !o.applied && !t.down && t.choose.chance(3) {
		t.apply(o)
		return opAnswered, false
	}
	if faults {
		return t.finish(o), true
	}
	t.apply(o)
	return opAnswered, true
}

// finish ends the wait of an operation's caller.
func (t *faultyTable[R]) finish(o *op[R]) opResult {
	outcomes := t.faultOdds
	if t.down {
		outcomes = 2
	}
	if !o.applied {
		switch t.choose(outcomes) {
		case 0:
			return opRefused
		case 1:
			t.abandon(o)
			return opLost
		}
	}
	t.apply(o)
	if t.choose.chance(t.faultOdds) {
		return opLost
	}
	return opAnswered
}

// abandon leaves a write without a caller.
func (t *faultyTable[R]) abandon(o *op[R]) {
	if !o.read && !o.applied {
		t.late = append(t.late, o)
	}
}

// applyLate applies or drops a write whose caller has heard nothing.
func (t *faultyTable[R]) applyLate() {
	if len(t.late) == 0 {
		return
	}
	i := t.choose(len(t.late))
	o := t.late[i]
	t.late = append(t.late[:i], t.late[i+1:]...)
	if !t.choose.chance(4) {
		t.apply(o)
	}
}

// absent reports whether a cell stands for no row.
func (c cell[R]) absent() bool { return c.rev == table.Absent }

package group

import (
	"encoding/json"
	"maps"
	"slices"

	"github.com/cockroachdb/errors"
)

// HeadRow is the name of the row that each change of a plan writes. Those that change a plan make that depend on it.
const HeadRow = ""

// domainRow is the stored form of the formations of a domain. Its size does not grow with the fleet.
type domainRow struct {
	Current []Formation `json:"current,omitempty"`
	Retired []Formation `json:"retired,omitempty"`
}

// Rows is the stored form of a plan: the head row, and one row for each domain that has formations, by the name of the
// domain.
type Rows map[string][]byte

// Rows returns the stored form.
func (p Plan) Rows() (Rows, error) {
	domains := make(map[string]*domainRow)
	in := func(f Formation) *domainRow {
		d, ok := domains[f.Domain]
		if !ok {
			d = &domainRow{}
			domains[f.Domain] = d
		}
		return d
	}
	for _, f := range p.Current {
		in(f).Current = append(in(f).Current, f)
	}
	for _, f := range p.Retired {
		in(f).Retired = append(in(f).Retired, f)
	}
	out := make(Rows, len(domains)+1)
	b, err := json.Marshal(p.Head)
	if err != nil {
		return nil, errors.Newf("encode plan: %w", err)
	}
	out[HeadRow] = b
	for name, d := range domains {
		if out[name], err = json.Marshal(d); err != nil {
			return nil, errors.Newf("encode plan of domain %s: %w", name, err)
		}
	}
	return out, nil
}

// Plan reads the stored form. A plan that was never stored is empty.
func (r Rows) Plan() (Plan, error) {
	var p Plan
	for _, name := range slices.Sorted(maps.Keys(r)) {
		if name == HeadRow {
			if err := json.Unmarshal(r[name], &p.Head); err != nil {
				return Plan{}, errors.Newf("decode plan: %w", err)
			}
			continue
		}
		var d domainRow
		if err := json.Unmarshal(r[name], &d); err != nil {
			return Plan{}, errors.Newf("decode plan of domain %s: %w", name, err)
		}
		for _, f := range slices.Concat(d.Current, d.Retired) {
			if len(f.Members) == 0 {
				return Plan{}, errors.Newf("decode plan: group %s has no members", f.Group)
			}
		}
		p.Current, p.Retired = append(p.Current, d.Current...), append(p.Retired, d.Retired...)
	}
	return p, nil
}

// Bounds of one step of a change. The platform takes 100 entries and 1 MB in a transaction, and values there are a third
// longer.
const (
	MaxStepRows  = 90
	maxStepBytes = 512 << 10
)

// Step is a part of a change of the stored rows, to be written in one transaction with the head row. A row without a
// value is deleted.
type Step map[string][]byte

// Apply carries out a step.
func (r Rows) Apply(s Step) {
	for name, value := range s {
		if value == nil {
			delete(r, name)
		} else {
			r[name] = value
		}
	}
}

// Steps returns the change from the rows that are stored to these, in steps of so many rows that a transaction can hold
// them. Each has the head row. What is stored after any of them is a plan as well.
func (r Rows) Steps(stored Rows, limit int) []Step {
	var out []Step
	step, size := Step{HeadRow: r[HeadRow]}, 0
	add := func(name string, value []byte) {
		if len(step) >= limit || len(step) > 1 && size+len(value) > maxStepBytes {
			out = append(out, step)
			step, size = Step{HeadRow: r[HeadRow]}, 0
		}
		step[name] = value
		size += len(value)
	}
	for _, name := range slices.Sorted(maps.Keys(r)) {
		if name != HeadRow && string(r[name]) != string(stored[name]) {
			add(name, r[name])
		}
	}
	for _, name := range slices.Sorted(maps.Keys(stored)) {
		if _, ok := r[name]; !ok {
			add(name, nil)
		}
	}
	return append(out, step)
}

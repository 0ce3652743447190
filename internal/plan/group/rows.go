package group

import (
	"encoding/json"
	"maps"
	"slices"

	"github.com/cockroachdb/errors"
)

// HeaderRow is the name of the row that every change of a plan writes. Making each change conditional
// on the revision of this row serializes the changes.
const HeaderRow = ""

// domainRow is the stored form of the formations of one domain. Its size does not grow with the
// fleet.
type domainRow struct {
	Current []Formation `json:"current,omitempty"`
	Retired []Formation `json:"retired,omitempty"`
}

// Rows is the stored form of a plan: the header row, and one row for each domain with formations,
// keyed by the name of the domain.
type Rows map[string][]byte

// Rows returns the stored form.
func (p Plan) Rows() (Rows, error) {
	domains := make(map[string]*domainRow)
	rowOf := func(f Formation) *domainRow {
		d, ok := domains[f.Domain]
		if !ok {
			d = &domainRow{}
			domains[f.Domain] = d
		}
		return d
	}
	for _, f := range p.Current {
		rowOf(f).Current = append(rowOf(f).Current, f)
	}
	for _, f := range p.Retired {
		rowOf(f).Retired = append(rowOf(f).Retired, f)
	}
	out := make(Rows, len(domains)+1)
	b, err := json.Marshal(p.Header)
	if err != nil {
		return nil, errors.Newf("encode plan: %w", err)
	}
	out[HeaderRow] = b
	for name, d := range domains {
		if out[name], err = json.Marshal(d); err != nil {
			return nil, errors.Newf("encode plan of domain %s: %w", name, err)
		}
	}
	return out, nil
}

// Plan decodes the stored form. Without any rows, the plan is empty.
func (r Rows) Plan() (Plan, error) {
	var p Plan
	for _, name := range slices.Sorted(maps.Keys(r)) {
		if name == HeaderRow {
			if err := json.Unmarshal(r[name], &p.Header); err != nil {
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

// Limits of one step of a change. A transaction on the platform takes 100 entries and 1 MB. Values
// are sent in base64, which makes them a third longer.
const (
	MaxStepRows  = 90
	maxStepBytes = 512 << 10
)

// Step is a part of a change of the stored rows. It is written in one transaction and includes the
// header row. A nil value deletes the row.
type Step map[string][]byte

// Apply applies a step.
func (r Rows) Apply(s Step) {
	for name, value := range s {
		if value == nil {
			delete(r, name)
		} else {
			r[name] = value
		}
	}
}

// Steps returns the change from the stored rows to these rows as steps of at most limit rows and
// about maxStepBytes each. Every step includes the header row, and the rows after each step form a
// valid plan.
func (r Rows) Steps(stored Rows, limit int) []Step {
	var out []Step
	step, size := Step{HeaderRow: r[HeaderRow]}, 0
	add := func(name string, value []byte) {
		if len(step) >= limit || len(step) > 1 && size+len(value) > maxStepBytes {
			out = append(out, step)
			step, size = Step{HeaderRow: r[HeaderRow]}, 0
		}
		step[name] = value
		size += len(value)
	}
	for _, name := range slices.Sorted(maps.Keys(r)) {
		if name != HeaderRow && string(r[name]) != string(stored[name]) {
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

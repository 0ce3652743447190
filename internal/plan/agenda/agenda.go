// Package agenda is a pure decider of how many groups of each model a data centre keeps warm, from the
// calendars in the configuration document. Capacity is asked for early enough to be warm when a period
// starts, and handed back when the period ends.
package agenda

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"geraniumhollow/internal/conf/schema"
	"github.com/cockroachdb/errors"
)

// Key names what a target is for.
type Key struct {
	Model      string
	DataCentre string
}

// Rates are what the time to warm a group depends on.
type Rates struct {
	// LinkBytesPerSecond is what all hosts of a data centre load together.
	LinkBytesPerSecond float64
	// HostBytesPerSecond is what one host loads at most.
	HostBytesPerSecond float64
	// ColdStart is the time from loaded weights to a warm engine.
	ColdStart time.Duration
	// Margin covers placement, routing and one failed load.
	Margin time.Duration
}

// Cause says which rule gave a target.
type Cause string

// Causes of a target.
const (
	Base       Cause = "base"
	InPeriod   Cause = "in_period"
	BeforeRise Cause = "warming_for_period"
)

// Target is the number of groups to keep warm, and why.
type Target struct {
	Groups int
	Cause  Cause
	// From is the start of the period that is being warmed for.
	From time.Time
}

// period is a range of time in which one calendar asks for a number of groups.
type period struct {
	from, to time.Time
	groups   int
}

// schedule is the needs of one key: a base, and the periods of all its calendars.
type schedule struct {
	base    int
	periods []period
	// bounds are the starts and ends of the periods, in order.
	bounds []time.Time
	// hostBytes is the largest version of the model, and hosts the hosts of a group.
	hostBytes float64
	hosts     int
}

// Agenda is the compiled calendars of one document. It is immutable.
type Agenda struct {
	rates     Rates
	schedules map[Key]*schedule
	// longest is the lead if every group of every key were to start at once.
	longest time.Duration
}

// New compiles the calendars and targets of a document. An unknown time zone, calendar or a wrong date
// is an error.
func New(doc *schema.Document, rates Rates) (*Agenda, error) {
	a := &Agenda{rates: rates, schedules: make(map[Key]*schedule)}
	calendars := make(map[string]schema.Calendar, len(doc.Calendars))
	for _, c := range doc.Calendars {
		calendars[c.Name] = c
	}
	models := make(map[string]schema.Model, len(doc.Models))
	for _, m := range doc.Models {
		models[m.Name] = m
	}
	for _, t := range doc.Targets {
		s := a.schedule(Key{Model: t.Model, DataCentre: t.DataCentre}, models[t.Model])
		if t.Calendar == "" {
			s.base = max(s.base, t.Groups)
			continue
		}
		c, ok := calendars[t.Calendar]
		if !ok {
			return nil, errors.Newf("target of %s: no calendar %q", t.Model, t.Calendar)
		}
		if err := s.add(c, t); err != nil {
			return nil, errors.Newf("calendar %s: %w", c.Name, err)
		}
	}
	for _, s := range a.schedules {
		slices.SortFunc(s.bounds, time.Time.Compare)
		s.bounds = slices.CompactFunc(s.bounds, time.Time.Equal)
	}
	for k := range a.schedules {
		a.longest += a.Lead(k, a.Most(k))
	}
	return a, nil
}

func (a *Agenda) schedule(k Key, m schema.Model) *schedule {
	s, ok := a.schedules[k]
	if !ok {
		s = &schedule{hosts: max(1, m.HostsPerGroup)}
		for _, v := range m.Versions {
			s.hostBytes = max(s.hostBytes, float64(v.WeightBytes))
		}
		a.schedules[k] = s
	}
	return s
}

// add puts the periods of a calendar into a schedule. Where the calendar has no period, its base
// need holds; it is added as the periods between the others.
func (s *schedule) add(c schema.Calendar, t schema.Target) error {
	loc, err := time.LoadLocation(c.TimeZone)
	if err != nil {
		return errors.Newf("time zone: %w", err)
	}
	var own []period
	for _, p := range c.Periods {
		first, err := time.ParseInLocation(time.DateOnly, p.FirstDay, loc)
		if err != nil {
			return errors.Newf("first day: %w", err)
		}
		last, err := time.ParseInLocation(time.DateOnly, p.LastDay, loc)
		if err != nil {
			return errors.Newf("last day: %w", err)
		}
		// A day may have 23 or 25 hours, so the end is the next local midnight.
		end := time.Date(last.Year(), last.Month(), last.Day()+1, 0, 0, 0, 0, loc)
		own = append(own, period{from: first, to: end, groups: groupsIn(t, p.Kind)})
		s.bounds = append(s.bounds, first, end)
	}
	slices.SortFunc(own, func(a, b period) int { return a.from.Compare(b.from) })
	s.periods = append(s.periods, own...)
	s.periods = append(s.periods, gaps(own, t.Groups)...)
	return nil
}

// groupsIn returns what a target asks for in a kind of period; what it leaves out is its base.
func groupsIn(t schema.Target, kind schema.PeriodKind) int {
	n := 0
	switch kind {
	case schema.PeriodKindTermStart:
		n = t.TermStartGroups
	case schema.PeriodKindExamWeek:
		n = t.ExamWeekGroups
	case schema.PeriodKindHoliday:
		n = t.HolidayGroups
	}
	if n == 0 {
		return t.Groups
	}
	return n
}

// Ends of the time that gaps cover.
var (
	dawn = time.Unix(0, 0)
	dusk = time.Unix(1<<40, 0)
)

// gaps returns the time outside of sorted periods as periods with the base need.
func gaps(sorted []period, base int) []period {
	var out []period
	from := dawn
	for _, p := range sorted {
		if p.from.After(from) {
			out = append(out, period{from: from, to: p.from, groups: base})
		}
		if p.to.After(from) {
			from = p.to
		}
	}
	return append(out, period{from: from, to: dusk, groups: base})
}

// need returns the largest need of all calendars at a time.
func (s *schedule) need(at time.Time) int {
	n := s.base
	for _, p := range s.periods {
		if !at.Before(p.from) && at.Before(p.to) {
			n = max(n, p.groups)
		}
	}
	return n
}

// Need returns how many groups callers need at a time, without warming.
func (a *Agenda) Need(k Key, at time.Time) int {
	s, ok := a.schedules[k]
	if !ok {
		return 0
	}
	return s.need(at)
}

// Most returns the largest need of a key over all time.
func (a *Agenda) Most(k Key) int {
	s, ok := a.schedules[k]
	if !ok {
		return 0
	}
	most := s.base
	for _, p := range s.periods {
		most = max(most, p.groups)
	}
	return most
}

// Keys returns the keys that have a target, ordered by model and data centre.
func (a *Agenda) Keys() []Key {
	return slices.SortedFunc(maps.Keys(a.schedules), func(x, y Key) int {
		return cmp.Or(cmp.Compare(x.Model, y.Model), cmp.Compare(x.DataCentre, y.DataCentre))
	})
}

// Lead returns how long it takes to make more groups of a key warm: their weights pass the link of the
// data centre, no host is faster than its own rate, and then they start cold.
func (a *Agenda) Lead(k Key, more int) time.Duration {
	s, ok := a.schedules[k]
	if !ok || more <= 0 {
		return 0
	}
	all := s.hostBytes * float64(s.hosts*more) / a.rates.LinkBytesPerSecond
	one := s.hostBytes / a.rates.HostBytesPerSecond
	return time.Duration(max(all, one)*float64(time.Second)) + a.rates.ColdStart + a.rates.Margin
}

// Targets returns how many groups each key has to have warm or warming at a time.
func (a *Agenda) Targets(now time.Time) map[Key]Target {
	out := make(map[Key]Target, len(a.schedules))
	for k := range a.schedules {
		out[k] = a.Target(k, now)
	}
	return out
}

// Target returns how many groups a key has to have warm or warming at a time.
func (a *Agenda) Target(k Key, now time.Time) Target {
	s, ok := a.schedules[k]
	if !ok {
		return Target{}
	}
	return a.target(k, s, now)
}

func (a *Agenda) target(k Key, s *schedule, now time.Time) Target {
	t := Target{Groups: s.need(now), Cause: InPeriod}
	if t.Groups == s.base {
		t.Cause = Base
	}
	next, _ := slices.BinarySearchFunc(s.bounds, now, func(b, at time.Time) int {
		if b.After(at) {
			return 1
		}
		return -1
	})
	for _, b := range s.bounds[next:] {
		if b.Sub(now) > a.longest {
			break
		}
		n := s.need(b)
		if n > t.Groups && !now.Before(b.Add(-a.lead(k, s, b, n))) {
			t = Target{Groups: n, Cause: BeforeRise, From: b}
		}
	}
	return t
}

// lead is that of the rise at a bound, together with the rises of all other keys of the data centre at
// the same time, because they share its link.
func (a *Agenda) lead(k Key, s *schedule, b time.Time, need int) time.Duration {
	bytes := 0.0
	for other, os := range a.schedules {
		if other.DataCentre == k.DataCentre {
			rise := os.need(b) - os.need(b.Add(-time.Second))
			bytes += os.hostBytes * float64(os.hosts*max(0, rise))
		}
	}
	rise := need - s.need(b.Add(-time.Second))
	shared := time.Duration(bytes / a.rates.LinkBytesPerSecond * float64(time.Second))
	return max(a.Lead(k, rise), shared+a.rates.ColdStart+a.rates.Margin)
}

// Next returns the first time after now at which a need changes, or false.
func (a *Agenda) Next(now time.Time) (time.Time, bool) {
	var next time.Time
	for _, s := range a.schedules {
		for _, b := range s.bounds {
			if b.After(now) && (next.IsZero() || b.Before(next)) {
				next = b
			}
		}
	}
	return next, !next.IsZero()
}

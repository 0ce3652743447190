// Package agenda computes how many groups of each model a data centre keeps warm, from the
// calendars in the configuration document. Capacity is requested early enough to be warm when a
// period starts, and released when the period ends. The package does no I/O.
package agenda

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"geraniumhollow/internal/conf/schema"
	"github.com/cockroachdb/errors"
)

// Key identifies what a target applies to.
type Key struct {
	Model      string
	DataCentre string
}

// Rates are the rates and times that determine how long it takes to warm a group.
type Rates struct {
	// LinkBytesPerSecond is the combined load rate of all hosts of a data centre.
	LinkBytesPerSecond float64
	// HostBytesPerSecond is the maximum load rate of one host.
	HostBytesPerSecond float64
	// ColdStart is the time from loaded weights to a warm engine.
	ColdStart time.Duration
	// Margin covers placement, routing and one failed load.
	Margin time.Duration
}

// Cause is the rule that determined a target.
type Cause string

// Causes of a target.
const (
	Base             Cause = "base"
	InPeriod         Cause = "in_period"
	WarmingForPeriod Cause = "warming_for_period"
)

// Target is the number of groups to keep warm, and why.
type Target struct {
	Groups int
	Cause  Cause
	// From is the start of the period for which groups are being warmed.
	From time.Time
}

// period is a time range in which one calendar needs a number of groups.
type period struct {
	from, to time.Time
	groups   int
}

// schedule holds the needs of one key: a base, and the periods of all its calendars.
type schedule struct {
	base    int
	periods []period
	// boundaries are the sorted starts and ends of the periods.
	boundaries []time.Time
	// hostBytes is the weight size of the largest version of the model.
	hostBytes     float64
	hostsPerGroup int
}

// Schedule holds the compiled calendars of one document. It is immutable.
type Schedule struct {
	rates     Rates
	schedules map[Key]*schedule
	// maxLead is an upper bound of all leads: the sum of the leads for the largest need of every
	// key.
	maxLead time.Duration
}

// New compiles the calendars and targets of a document. It returns an error for an unknown time
// zone, an unknown calendar or an invalid date.
func New(doc *schema.Document, rates Rates) (*Schedule, error) {
	a := &Schedule{rates: rates, schedules: make(map[Key]*schedule)}
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
			return nil, errors.Newf("target of model %s: no calendar %q", t.Model, t.Calendar)
		}
		if err := s.add(c, t); err != nil {
			return nil, errors.Newf("calendar %s: %w", c.Name, err)
		}
	}
	for _, s := range a.schedules {
		slices.SortFunc(s.boundaries, time.Time.Compare)
		s.boundaries = slices.CompactFunc(s.boundaries, time.Time.Equal)
	}
	for k := range a.schedules {
		a.maxLead += a.LeadTime(k, a.MaxNeed(k))
	}
	return a, nil
}

func (a *Schedule) schedule(k Key, m schema.Model) *schedule {
	s, ok := a.schedules[k]
	if !ok {
		s = &schedule{hostsPerGroup: max(1, m.HostsPerGroup)}
		for _, v := range m.Versions {
			s.hostBytes = max(s.hostBytes, float64(v.WeightBytes))
		}
		a.schedules[k] = s
	}
	return s
}

// add adds the periods of a calendar to a schedule. Outside of these periods the base need of the
// target applies, which is added as further periods.
func (s *schedule) add(c schema.Calendar, t schema.Target) error {
	loc, err := time.LoadLocation(c.TimeZone)
	if err != nil {
		return errors.Newf("time zone: %w", err)
	}
	var periods []period
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
		periods = append(periods, period{from: first, to: end, groups: groupsIn(t, p.Kind)})
		s.boundaries = append(s.boundaries, first, end)
	}
	slices.SortFunc(periods, func(a, b period) int { return a.from.Compare(b.from) })
	s.periods = append(s.periods, periods...)
	s.periods = append(s.periods, gaps(periods, t.Groups)...)
	return nil
}

// groupsIn returns the number of groups of a target in a kind of period. It defaults to the base
// need.
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

// Ends of the time range that gaps covers.
var (
	earliest = time.Unix(0, 0)
	latest   = time.Unix(1<<40, 0)
)

// gaps returns the time outside of sorted periods as periods with the base need.
func gaps(sorted []period, base int) []period {
	var out []period
	from := earliest
	for _, p := range sorted {
		if p.from.After(from) {
			out = append(out, period{from: from, to: p.from, groups: base})
		}
		if p.to.After(from) {
			from = p.to
		}
	}
	return append(out, period{from: from, to: latest, groups: base})
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

// Need returns how many groups are needed at a time, not counting groups that are warmed in
// advance.
func (a *Schedule) Need(k Key, at time.Time) int {
	s, ok := a.schedules[k]
	if !ok {
		return 0
	}
	return s.need(at)
}

// MaxNeed returns the largest need of a key at any time.
func (a *Schedule) MaxNeed(k Key) int {
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
func (a *Schedule) Keys() []Key {
	return slices.SortedFunc(maps.Keys(a.schedules), func(x, y Key) int {
		return cmp.Or(cmp.Compare(x.Model, y.Model), cmp.Compare(x.DataCentre, y.DataCentre))
	})
}

// LeadTime returns how long it takes to warm a number of additional groups of a key. Their weights pass
// the link of the data centre, each host is limited by its own rate, and then the engines start
// cold.
func (a *Schedule) LeadTime(k Key, groups int) time.Duration {
	s, ok := a.schedules[k]
	if !ok || groups <= 0 {
		return 0
	}
	linkSeconds := s.hostBytes * float64(s.hostsPerGroup*groups) / a.rates.LinkBytesPerSecond
	hostSeconds := s.hostBytes / a.rates.HostBytesPerSecond
	return time.Duration(max(linkSeconds, hostSeconds)*float64(time.Second)) + a.rates.ColdStart + a.rates.Margin
}

// Targets returns how many groups of each key have to be warm or warming at a time.
func (a *Schedule) Targets(now time.Time) map[Key]Target {
	out := make(map[Key]Target, len(a.schedules))
	for k := range a.schedules {
		out[k] = a.Target(k, now)
	}
	return out
}

// Target returns how many groups of a key have to be warm or warming at a time.
func (a *Schedule) Target(k Key, now time.Time) Target {
	s, ok := a.schedules[k]
	if !ok {
		return Target{}
	}
	return a.target(k, s, now)
}

func (a *Schedule) target(k Key, s *schedule, now time.Time) Target {
	t := Target{Groups: s.need(now), Cause: InPeriod}
	if t.Groups == s.base {
		t.Cause = Base
	}
	next, _ := slices.BinarySearchFunc(s.boundaries, now, func(boundary, at time.Time) int {
		if boundary.After(at) {
			return 1
		}
		return -1
	})
	for _, boundary := range s.boundaries[next:] {
		if boundary.Sub(now) > a.maxLead {
			break
		}
		n := s.need(boundary)
		if n > t.Groups && !now.Before(boundary.Add(-a.lead(k, s, boundary, n))) {
			t = Target{Groups: n, Cause: WarmingForPeriod, From: boundary}
		}
	}
	return t
}

// lead returns the lead for the rise in need at a boundary. It includes the rises of all other keys
// of the data centre at the same time, because they share its link.
func (a *Schedule) lead(k Key, s *schedule, boundary time.Time, need int) time.Duration {
	bytes := 0.0
	for other, otherSchedule := range a.schedules {
		if other.DataCentre == k.DataCentre {
			rise := otherSchedule.need(boundary) - otherSchedule.need(boundary.Add(-time.Second))
			bytes += otherSchedule.hostBytes * float64(otherSchedule.hostsPerGroup*max(0, rise))
		}
	}
	rise := need - s.need(boundary.Add(-time.Second))
	shared := time.Duration(bytes / a.rates.LinkBytesPerSecond * float64(time.Second))
	return max(a.LeadTime(k, rise), shared+a.rates.ColdStart+a.rates.Margin)
}

// Next returns the first time after now at which a need changes, or false if there is none.
func (a *Schedule) Next(now time.Time) (time.Time, bool) {
	var next time.Time
	for _, s := range a.schedules {
		for _, boundary := range s.boundaries {
			if boundary.After(now) && (next.IsZero() || boundary.Before(next)) {
				next = boundary
			}
		}
	}
	return next, !next.IsZero()
}

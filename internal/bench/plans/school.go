package plans

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"time"

	"geraniumhollow/internal/conf/schema"
	"geraniumhollow/internal/plan/agenda"
	"github.com/cockroachdb/errors"
)

// Rates of weight loads of the modelled year, in bytes a second.
const (
	uplinkRate = 12.5e9
	hostRate   = 2.5e9
)

// schoolCalendars are three modelled countries: their periods overlap, and their days start at
// different hours.
func schoolCalendars() []schema.Calendar {
	term, holiday, exam := schema.PeriodKindTermStart, schema.PeriodKindHoliday, schema.PeriodKindExamWeek
	return []schema.Calendar{
		{Name: "denmark", TimeZone: "Europe/Copenhagen", Periods: []schema.Period{
			{Kind: term, FirstDay: "2026-08-10", LastDay: "2026-08-21"},
			{Kind: holiday, FirstDay: "2026-10-10", LastDay: "2026-10-18"},
			{Kind: holiday, FirstDay: "2026-12-19", LastDay: "2027-01-03"},
			{Kind: holiday, FirstDay: "2027-02-13", LastDay: "2027-02-21"},
			{Kind: exam, FirstDay: "2027-05-31", LastDay: "2027-06-18"},
			{Kind: holiday, FirstDay: "2027-06-26", LastDay: "2027-08-08"},
		}},
		{Name: "germany", TimeZone: "Europe/Berlin", Periods: []schema.Period{
			{Kind: holiday, FirstDay: "2026-08-03", LastDay: "2026-08-12"},
			{Kind: term, FirstDay: "2026-08-13", LastDay: "2026-08-26"},
			{Kind: holiday, FirstDay: "2026-10-19", LastDay: "2026-10-31"},
			{Kind: holiday, FirstDay: "2026-12-21", LastDay: "2027-01-06"},
			{Kind: exam, FirstDay: "2027-04-19", LastDay: "2027-05-07"},
			{Kind: holiday, FirstDay: "2027-07-01", LastDay: "2027-08-08"},
		}},
		{Name: "india", TimeZone: "Asia/Kolkata", Periods: []schema.Period{
			{Kind: exam, FirstDay: "2026-09-14", LastDay: "2026-09-25"},
			{Kind: holiday, FirstDay: "2026-11-02", LastDay: "2026-11-14"},
			{Kind: exam, FirstDay: "2027-02-15", LastDay: "2027-03-20"},
			{Kind: term, FirstDay: "2027-04-01", LastDay: "2027-04-14"},
			{Kind: holiday, FirstDay: "2027-05-10", LastDay: "2027-06-20"},
			{Kind: term, FirstDay: "2027-06-21", LastDay: "2027-07-03"},
		}},
	}
}

// schoolDocument has two models in three data centres, each with a target for each calendar.
func schoolDocument() *schema.Document {
	doc := &schema.Document{
		Calendars: schoolCalendars(),
		Models: []schema.Model{
			{Name: "small", HostsPerGroup: 2, Versions: []schema.Version{{Name: "v1", WeightBytes: 60e9}}},
			{Name: "large", HostsPerGroup: 4, Versions: []schema.Version{{Name: "v1", WeightBytes: 150e9}}},
		},
	}
	for i, model := range []string{"small", "large"} {
		for j, dc := range []string{"dc-0", "dc-1", "dc-2"} {
			for k, calendar := range []string{"denmark", "germany", "india"} {
				base := 3 + (i+j+k)%3
				doc.Targets = append(doc.Targets, schema.Target{
					Model: model, DataCentre: dc, Calendar: calendar, Groups: base,
					TermStartGroups: 2 * base, ExamWeekGroups: base + 3, HolidayGroups: 1,
				})
			}
		}
	}
	return doc
}

// schoolRates are what the agenda counts with. The modelled loads get between half of them and all.
var schoolRates = agenda.Rates{
	LinkBytesPerSecond: uplinkRate, HostBytesPerSecond: hostRate, ColdStart: 2 * time.Minute, Margin: 10 * time.Minute,
}

// slowestLoad is the least share of the nominal rate that a modelled load gets.
const slowestLoad = 0.5

// Span of the modelled school year, and the step at which it is looked at.
const (
	schoolStep = time.Minute
	schoolDays = 365
)

// schoolStart is the first minute of the modelled school year.
var schoolStart = time.Date(2026, 8, 1, 0, 0, 0, 0, time.UTC)

// capacity is the groups of one key that are warm, and those that will be.
type capacity struct {
	warm    int
	warming []time.Time
}

// follow brings the capacity to a target. A rise is warm when its weights have passed the link at the
// share of the rate that this rise gets; a fall hands groups back at once.
func (c *capacity) follow(target int, lead time.Duration, share float64, now time.Time) {
	for len(c.warming) > 0 && !c.warming[0].After(now) {
		c.warming = c.warming[1:]
		c.warm++
	}
	if have := c.warm + len(c.warming); have > target {
		c.warming = c.warming[:max(0, len(c.warming)-(have-target))]
		c.warm = min(c.warm, target)
	}
	// The last of the groups is ready after the whole load; the others wait for their part of it.
	load := time.Duration(float64(lead-schoolRates.Margin-schoolRates.ColdStart) / share)
	more := target - c.warm - len(c.warming)
	for i := range more {
		part := load * time.Duration(i+1) / time.Duration(more)
		c.warming = append(c.warming, now.Add(part+schoolRates.ColdStart))
	}
}

// YearResult is what a year costs.
type YearResult struct {
	// BelowHours is hours in which any key had fewer warm groups than callers needed, and Missing
	// the group-hours that they lacked.
	BelowHours float64
	Missing    float64
	// Held is group-hours of hardware beyond the need.
	Held float64
}

// yearPolicy says how many groups to ask for.
type yearPolicy struct {
	name   string
	target func(a *agenda.Schedule, k agenda.Key, now time.Time) int
}

var yearPolicies = []yearPolicy{
	{"largest_always", func(a *agenda.Schedule, k agenda.Key, _ time.Time) int { return a.MaxNeed(k) }},
	{"at_the_hour", func(a *agenda.Schedule, k agenda.Key, now time.Time) int { return a.Need(k, now) }},
	{"counted_back", func(a *agenda.Schedule, k agenda.Key, now time.Time) int { return a.Target(k, now).Groups }},
}

// Year prints capacity against the calendar for each policy over the first days of the school year,
// averaged over seeds.
func Year(w io.Writer, seeds, days int) error {
	a, err := agenda.New(schoolDocument(), schoolRates)
	if err != nil {
		return errors.Newf("compile calendars: %w", err)
	}
	_, _ = fmt.Fprintf(w, "%-15s %12s %20s %17s\n", "policy", "below_hours", "missing_group_hours", "held_group_hours")
	for _, p := range yearPolicies {
		results := make([]YearResult, seeds)
		err := share(context.Background(), seeds, func(seed int) { results[seed] = year(a, p, uint64(seed), days) })
		if err != nil {
			return err
		}
		var sum YearResult
		for _, r := range results {
			sum.BelowHours += r.BelowHours
			sum.Missing += r.Missing
			sum.Held += r.Held
		}
		n := float64(seeds)
		_, _ = fmt.Fprintf(w, "%-15s %12.2f %20.2f %17.2f\n", p.name, sum.BelowHours/n, sum.Missing/n, sum.Held/n)
	}
	return nil
}

func year(a *agenda.Schedule, p yearPolicy, seed uint64, days int) YearResult {
	rng := rand.New(rand.NewPCG(seed, schoolDays))
	var r YearResult
	keys := a.Keys()
	state := make(map[agenda.Key]*capacity, len(keys))
	for _, k := range keys {
		state[k] = &capacity{warm: p.target(a, k, schoolStart)}
	}
	for now := schoolStart; now.Before(schoolStart.AddDate(0, 0, days)); now = now.Add(schoolStep) {
		below := false
		for _, k := range keys {
			c := state[k]
			target := p.target(a, k, now)
			share := slowestLoad + (1-slowestLoad)*rng.Float64()
			c.follow(target, a.LeadTime(k, max(1, target-c.warm)), share, now)
			need := a.Need(k, now)
			if c.warm < need {
				below = true
				r.Missing += float64(need-c.warm) * schoolStep.Hours()
			}
			r.Held += float64(max(0, c.warm+len(c.warming)-need)) * schoolStep.Hours()
		}
		if below {
			r.BelowHours += schoolStep.Hours()
		}
	}
	return r
}

package agenda_test

import (
	"testing"
	"time"

	"geraniumhollow/internal/conf/schema"
	"geraniumhollow/internal/plan/agenda"
)

var (
	key   = agenda.Key{Model: "m", DataCentre: "x"}
	rates = agenda.Rates{LinkBytesPerSecond: 10, HostBytesPerSecond: 5, ColdStart: time.Minute, Margin: time.Minute}
)

// newDocument returns a document with a term start in Denmark, an overlapping exam week in India,
// and a holiday.
func newDocument() *schema.Document {
	return &schema.Document{
		Models: []schema.Model{{Name: "m", HostsPerGroup: 2, Versions: []schema.Version{{Name: "v1", WeightBytes: 600}}}},
		Calendars: []schema.Calendar{
			{Name: "dk", TimeZone: "Europe/Copenhagen", Periods: []schema.Period{
				{Kind: schema.PeriodKindTermStart, FirstDay: "2026-08-10", LastDay: "2026-08-14"},
				{Kind: schema.PeriodKindHoliday, FirstDay: "2026-10-24", LastDay: "2026-10-25"},
			}},
			{Name: "in", TimeZone: "Asia/Kolkata", Periods: []schema.Period{
				{Kind: schema.PeriodKindExamWeek, FirstDay: "2026-08-12", LastDay: "2026-08-18"},
			}},
		},
		Targets: []schema.Target{
			{Model: "m", DataCentre: "x", Calendar: "dk", Groups: 3, TermStartGroups: 8, HolidayGroups: 1},
			{Model: "m", DataCentre: "x", Calendar: "in", Groups: 1, ExamWeekGroups: 6},
		},
	}
}

// Guards against capacity that is late because the load time, the cold start or the time zone was
// ignored, against capacity that ends early, and against using the smaller of two overlapping
// needs.
func TestTargets(t *testing.T) {
	t.Parallel()
	a, err := agenda.New(newDocument(), rates)
	if err != nil {
		t.Fatal(err)
	}
	tests := []struct {
		name, at string
		groups   int
	}{
		// Five more groups are 6,000 bytes at 10 bytes per second, plus 2 minutes: 12 minutes.
		{"before the lead", "2026-08-09T21:47:59Z", 3},
		{"start of the period at local midnight", "2026-08-09T22:00:00Z", 8},
		{"at the lead", "2026-08-09T21:48:00Z", 8},
		{"larger of two periods", "2026-08-13T12:00:00Z", 8},
		{"only the exam week of the other calendar", "2026-08-14T22:00:00Z", 6},
		{"after both periods", "2026-08-18T18:30:00Z", 3},
		{"holiday", "2026-10-24T12:00:00Z", 1},
		// The last day has 25 hours and ends at 23:00 UTC. Two more groups take 6 minutes.
		{"holiday includes the repeated hour", "2026-10-25T22:53:59Z", 1},
		{"last minutes of the holiday, already warming", "2026-10-25T22:54:00Z", 3},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			at, err := time.Parse(time.RFC3339, tt.at)
			if err != nil {
				t.Fatal(err)
			}
			if got := a.Targets(at)[key]; got.Groups != tt.groups {
				t.Errorf("got %d groups (%s), want %d", got.Groups, got.Cause, tt.groups)
			}
		})
	}
}

// Guards against silently ignoring an invalid calendar or a target whose calendar does not exist.
func TestInvalidCalendars(t *testing.T) {
	t.Parallel()
	for name, change := range map[string]func(d *schema.Document){
		"time zone": func(d *schema.Document) { d.Calendars[0].TimeZone = "Mars/Base" },
		"date":      func(d *schema.Document) { d.Calendars[0].Periods[0].LastDay = "2026-02-30" },
		"calendar":  func(d *schema.Document) { d.Targets[0].Calendar = "none" },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := newDocument()
			change(d)
			if _, err := agenda.New(d, rates); err == nil {
				t.Error("no error")
			}
		})
	}
}

// Guards against releasing a serving group while an idle one is kept, against updating two groups
// of a model at once, and against updating a group while another is closed.
func TestChoose(t *testing.T) {
	t.Parallel()
	group := func(name string, open, outdated bool) agenda.Group {
		return agenda.Group{Name: name, Model: "m", DataCentre: "x", Placed: true, Open: open, Outdated: outdated}
	}
	idle := agenda.Group{Name: "idle", Model: "m"}
	tests := []struct {
		name    string
		target  int
		groups  []agenda.Group
		wanted  string
		updated string
	}{
		{"open groups are kept first", 2, []agenda.Group{idle, group("a", false, false), group("b", true, false), group("c", true, false)}, "bc", ""},
		{"idle group starts", 2, []agenda.Group{idle, group("a", true, false)}, "idlea", ""},
		{"one update at a time", 2, []agenda.Group{group("a", true, true), group("b", true, true)}, "ab", "a"},
		{"no update while another is closed", 2, []agenda.Group{group("a", true, true), group("b", false, false)}, "ab", ""},
		{"the closed group is updated first", 2, []agenda.Group{group("a", true, true), group("b", false, true)}, "ab", "b"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			got := agenda.Choose(map[agenda.Key]agenda.Target{key: {Groups: tt.target}}, tt.groups)
			wanted, updated := "", ""
			for _, g := range tt.groups {
				if got[g.Name].Wanted {
					wanted += g.Name
				}
				if got[g.Name].Update {
					updated += g.Name
				}
			}
			if wanted != tt.wanted || updated != tt.updated {
				t.Errorf("got wanted %q, updated %q; want %q, %q", wanted, updated, tt.wanted, tt.updated)
			}
		})
	}
}

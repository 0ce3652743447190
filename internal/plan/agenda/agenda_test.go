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

// document has a term start in Denmark, an exam week in India that overlaps it, and a holiday.
func document() *schema.Document {
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

// Guards against capacity that is late by load time, cold start or time zone, that ends early, or that
// follows the smaller of two overlapping needs.
func TestTargets(t *testing.T) {
	t.Parallel()
	a, err := agenda.New(document(), rates)
	if err != nil {
		t.Fatal(err)
	}
	tests := []struct {
		name, at string
		groups   int
	}{
		// Five more groups are 6,000 bytes over 10 bytes a second, and 2 minutes: 12 minutes.
		{"before the lead", "2026-08-09T21:47:59Z", 3},
		{"lead counted back from local midnight", "2026-08-09T22:00:00Z", 8},
		{"at the lead", "2026-08-09T21:48:00Z", 8},
		{"larger of two periods", "2026-08-13T12:00:00Z", 8},
		{"other calendar goes on", "2026-08-14T22:00:00Z", 6},
		{"after both", "2026-08-18T18:30:00Z", 3},
		{"holiday", "2026-10-24T12:00:00Z", 1},
		// The last day has 25 hours and ends at 23:00 UTC; two more groups take 6 minutes.
		{"holiday lasts through the repeated hour", "2026-10-25T22:53:59Z", 1},
		{"holiday's last minutes, already warming", "2026-10-25T22:54:00Z", 3},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			at, err := time.Parse(time.RFC3339, tt.at)
			if err != nil {
				t.Fatal(err)
			}
			if got := a.Targets(at)[key]; got.Groups != tt.groups {
				t.Errorf("%d groups (%s), want %d", got.Groups, got.Cause, tt.groups)
			}
		})
	}
}

// Guards against a calendar that is silently ignored.
func TestFaults(t *testing.T) {
	t.Parallel()
	for name, change := range map[string]func(d *schema.Document){
		"time zone": func(d *schema.Document) { d.Calendars[0].TimeZone = "Mars/Base" },
		"date":      func(d *schema.Document) { d.Calendars[0].Periods[0].LastDay = "2026-02-30" },
		"calendar":  func(d *schema.Document) { d.Targets[0].Calendar = "none" },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := document()
			change(d)
			if _, err := agenda.New(d, rates); err == nil {
				t.Error("no error")
			}
		})
	}
}

// Guards against handing back a group that serves while an idle one is kept, against two groups of a
// model that change at once, and against a group that changes while another is closed.
func TestChoose(t *testing.T) {
	t.Parallel()
	group := func(name string, open, changed bool) agenda.Group {
		return agenda.Group{Name: name, Model: "m", DataCentre: "x", Placed: true, Open: open, Changed: changed}
	}
	idle := agenda.Group{Name: "idle", Model: "m"}
	tests := []struct {
		name    string
		target  int
		groups  []agenda.Group
		wanted  string
		changes string
	}{
		{"open ones stay", 2, []agenda.Group{idle, group("a", false, false), group("b", true, false), group("c", true, false)}, "bc", ""},
		{"idle one starts", 2, []agenda.Group{idle, group("a", true, false)}, "idlea", ""},
		{"one change at a time", 2, []agenda.Group{group("a", true, true), group("b", true, true)}, "ab", "a"},
		{"no change while another is closed", 2, []agenda.Group{group("a", true, true), group("b", false, false)}, "ab", ""},
		{"the closed one changes first", 2, []agenda.Group{group("a", true, true), group("b", false, true)}, "ab", "b"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			got := agenda.Choose(map[agenda.Key]agenda.Target{key: {Groups: tt.target}}, tt.groups)
			wanted, changes := "", ""
			for _, g := range tt.groups {
				if got[g.Name].Wanted {
					wanted += g.Name
				}
				if got[g.Name].Change {
					changes += g.Name
				}
			}
			if wanted != tt.wanted || changes != tt.changes {
				t.Errorf("wanted %q with changes %q, want %q with %q", wanted, changes, tt.wanted, tt.changes)
			}
		})
	}
}

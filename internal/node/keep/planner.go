package keep

import (
	"slices"
	"time"

	"geraniumhollow/internal/conf/schema"
	"geraniumhollow/internal/core/sets"
	"geraniumhollow/internal/plan/agenda"
	"geraniumhollow/internal/plan/heal"
)

// Planner joins the document and the calendar into what should run now. It compiles the calendars
// once for each document.
type Planner struct {
	rates agenda.Rates

	doc    *schema.Document
	agenda *agenda.Agenda
	base   heal.Plan
	err    error
}

// NewPlanner returns a planner that counts lead times with rates.
func NewPlanner(rates agenda.Rates) *Planner { return &Planner{rates: rates} }

// Plan returns the plan of a document at a time. open holds the groups of the own domain whose route
// is open; of the others the rows say whether they have served. Calendars that cannot be compiled
// are reported as an error beside a plan in which every group is wanted.
func (p *Planner) Plan(doc *schema.Document, rows heal.Snapshot, open sets.Set[string], domain string, now time.Time) (heal.Plan, error) {
	if doc != p.doc {
		p.doc = doc
		p.base = heal.PlanOf(doc)
		p.agenda, p.err = agenda.New(doc, p.rates)
	}
	plan := p.base
	if p.err != nil {
		return plan, p.err
	}
	domains := make(map[string]string, len(doc.FabricDomains))
	for _, d := range doc.FabricDomains {
		domains[d.Name] = d.DataCentre
	}
	groups := make([]agenda.Group, 0, len(p.base.Groups))
	for name, g := range p.base.Groups {
		if !g.Wanted {
			continue
		}
		groups = append(groups, agendaGroup(name, g, rows.Groups[name].Row, open, domain, domains))
	}
	plan.Groups = make(map[string]heal.GroupPlan, len(p.base.Groups))
	chosen := agenda.Choose(p.agenda.Targets(now), groups)
	for name, g := range p.base.Groups {
		if d, ok := chosen[name]; ok {
			g.Wanted, g.Change, g.Lack = d.Wanted, d.Change, d.Lack
			if g.Domain == "" && g.DataCentre == "" {
				g.DataCentre = d.DataCentre
			}
		}
		plan.Groups[name] = g
	}
	return plan, nil
}

func agendaGroup(name string, g heal.GroupPlan, row heal.GroupRow, open sets.Set[string], domain string, domains map[string]string) agenda.Group {
	out := agenda.Group{
		Name: name, Model: g.Weights.Model, DataCentre: g.DataCentre,
		Bound: g.Domain != "" || g.DataCentre != "", Placed: len(row.Hosts) > 0, Open: row.Ready,
	}
	if g.Domain != "" {
		out.DataCentre = domains[g.Domain]
	}
	if out.DataCentre == "" && out.Placed {
		out.DataCentre = domains[row.Domain]
	}
	if row.Domain == domain {
		out.Open = open.Has(name)
	}
	out.Changed = out.Placed && (row.Weights != g.Weights || !slices.Equal(row.Adapters, g.Adapters))
	return out
}

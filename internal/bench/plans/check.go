package plans

import (
	"fmt"
	"slices"
	"time"

	"geraniumhollow/internal/plan/heal"
)

// maxEvidence is how old the membership of a host may be while a route that needs it counts as open.
const maxEvidence = 3 * time.Second

// checkRows returns what is wrong with the rows: a host in two groups, a group across domains, or a
// host row that disagrees with its group row.
func (w *world) checkRows() string {
	owner := make(map[string]string)
	for g, v := range w.rows.Groups {
		for _, name := range v.Row.Hosts {
			if other, ok := owner[name]; ok {
				return fmt.Sprintf("host %s is in groups %s and %s", name, other, g)
			}
			owner[name] = g
			if d := w.hosts[name].domain; d != v.Row.Domain {
				return fmt.Sprintf("group %s of domain %s has host %s of domain %s", g, v.Row.Domain, name, d)
			}
			if row := w.rows.Hosts[name].Row; row.Group != g || row.Generation != v.Row.Generation {
				return fmt.Sprintf("host %s has row %+v, group %s has generation %d", name, row, g, v.Row.Generation)
			}
		}
	}
	return ""
}

// checkRoutes returns what is wrong with the routes that all keepers hold open: a member that is
// missing or in another group or generation, a membership that was never committed, or a host that
// serves in two.
func (w *world) checkRoutes(keepers []*heal.Decider) string {
	serving := make(map[string]membership)
	for _, k := range keepers {
		for _, r := range k.Routes() {
			if !w.now.Before(r.Until) {
				continue
			}
			m := membership{r.Group, r.Generation}
			if !slices.Equal(w.history[m], r.Hosts) {
				return fmt.Sprintf("route of %v has hosts %v, committed were %v", m, r.Hosts, w.history[m])
			}
			for _, name := range r.Hosts {
				if fault := w.checkMember(name, m); fault != "" {
					return fault
				}
				if other, ok := serving[name]; ok && other != m {
					return fmt.Sprintf("host %s serves in %v and %v", name, other, m)
				}
				serving[name] = m
			}
		}
	}
	return ""
}

func (w *world) checkMember(name string, m membership) string {
	h := w.hosts[name]
	if h.reachable() && h.member == m {
		return ""
	}
	if last, ok := h.lastTrue[m]; ok && w.now.Sub(last) <= maxEvidence {
		return ""
	}
	return fmt.Sprintf("route of %v is open while host %s is missing or in %v", m, name, h.member)
}

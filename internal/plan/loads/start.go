package loads

import (
	"time"

	"geraniumhollow/internal/core/sets"
)

// Running is a load that has been ordered and is not done.
type Running struct {
	Group string
	Host  string
	Links []int
	// Started is when the order was sent.
	Started time.Time
}

// Start is an order to load.
type Start struct {
	Group string
	Load  Load
}

// Starter decides which loads to order now, so that at most a given number shares each link. Fewer
// loads at a time finish the first groups earlier; the limit must still be large enough to fill the
// link when single hosts are slower than it.
type Starter struct {
	policy  Policy
	perLink int
}

// NewStarter returns a starter that orders jobs with policy and lets perLink loads share a link.
func NewStarter(policy Policy, perLink int) *Starter {
	return &Starter{policy: policy, perLink: perLink}
}

// Next returns the loads to order now, in order. jobs hold what is left to load, without the loads
// that are running.
func (s *Starter) Next(jobs []Job, links []Link, running []Running) []Start {
	used := make([]int, len(links))
	hosts := sets.New[string]()
	for _, r := range running {
		hosts.Add(r.Host)
		for _, l := range r.Links {
			used[l]++
		}
	}
	var out []Start
	for _, i := range s.policy(jobs, links) {
		for _, l := range jobs[i].Loads {
			if !s.fits(l, used) || !hosts.Add(l.Host) {
				continue
			}
			for _, link := range l.Links {
				used[link]++
			}
			out = append(out, Start{Group: jobs[i].Group, Load: l})
		}
	}
	return out
}

func (s *Starter) fits(l Load, used []int) bool {
	for _, link := range l.Links {
		if used[link] >= s.perLink {
			return false
		}
	}
	return true
}

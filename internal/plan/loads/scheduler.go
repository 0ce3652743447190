package loads

import (
	"time"

	"geraniumhollow/internal/core/sets"
)

// Running is a load that has been ordered and has not ended.
type Running struct {
	Group string
	Host  string
	Links []int
	// Started is when the order was sent.
	Started time.Time
}

// Start is a load to order now.
type Start struct {
	Group string
	Load  Load
}

// Scheduler decides which loads to order now, and limits the concurrent loads on each link. With
// fewer concurrent loads the first groups finish earlier, but the limit must be large enough to
// fill the link when single hosts are slower than the link.
type Scheduler struct {
	policy     Policy
	maxPerLink int
}

// NewScheduler returns a scheduler that orders jobs by policy and allows maxPerLink concurrent
// loads on a link.
func NewScheduler(policy Policy, maxPerLink int) *Scheduler {
	return &Scheduler{policy: policy, maxPerLink: maxPerLink}
}

// Next returns the loads to order now, sorted by the policy. jobs hold the loads that have not
// ended. Loads of a host that has a running load are skipped.
func (s *Scheduler) Next(jobs []Job, links []Link, running []Running) []Start {
	loadsOnLink := make([]int, len(links))
	hosts := sets.New[string]()
	for _, r := range running {
		hosts.Add(r.Host)
		for _, l := range r.Links {
			loadsOnLink[l]++
		}
	}
	var out []Start
	for _, i := range s.policy(jobs, links) {
		for _, l := range jobs[i].Loads {
			if !s.fits(l, loadsOnLink) || !hosts.Add(l.Host) {
				continue
			}
			for _, link := range l.Links {
				loadsOnLink[link]++
			}
			out = append(out, Start{Group: jobs[i].Group, Load: l})
		}
	}
	return out
}

func (s *Scheduler) fits(l Load, loadsOnLink []int) bool {
	for _, link := range l.Links {
		if loadsOnLink[link] >= s.maxPerLink {
			return false
		}
	}
	return true
}

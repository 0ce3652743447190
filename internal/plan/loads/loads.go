// Package loads orders weight loads over shared, rate-limited links so that whole groups become
// ready early. A group is ready when its last load has ended.
package loads

import (
	"cmp"
	"slices"
)

// Link is a shared resource that loads pass through: a weight store, the uplink of a data centre,
// or the network card of a host.
type Link struct {
	Name string
	// BytesPerSecond is the rate limit.
	BytesPerSecond float64
}

// Load is the weight load of one host of a group. Links are the indexes of the links that it passes
// through.
type Load struct {
	Host  string
	Bytes float64
	Links []int
}

// Job holds the loads of one group.
type Job struct {
	Group string
	// Weight is how urgently callers need the group. Larger is more urgent. It must be positive.
	Weight float64
	// Seq orders jobs by arrival.
	Seq   int
	Loads []Load
}

// bytes returns the total size of the loads of a job.
func (j Job) bytes() float64 {
	sum := 0.0
	for _, l := range j.Loads {
		sum += l.Bytes
	}
	return sum
}

// Policy orders jobs. It returns their indexes, the first job to load first.
type Policy func(jobs []Job, links []Link) []int

// SmallestFirst orders jobs by bytes divided by weight, smallest first, and equal ones by arrival.
// It is the policy in use. See docs/decisions/load-ordering.md for a comparison with other
// policies.
func SmallestFirst(jobs []Job, _ []Link) []int {
	order := make([]int, len(jobs))
	cost := make([]float64, len(jobs))
	for i, j := range jobs {
		order[i] = i
		cost[i] = j.bytes() / j.Weight
	}
	slices.SortFunc(order, func(a, b int) int {
		return cmp.Or(cmp.Compare(cost[a], cost[b]), cmp.Compare(jobs[a].Seq, jobs[b].Seq))
	})
	return order
}

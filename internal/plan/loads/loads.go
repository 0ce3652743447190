// Package loads orders weight loads over shared, rate-limited links so that whole groups become ready
// early. A group is ready when its last host is, so what counts is the end of the last load of a group.
package loads

import (
	"cmp"
	"slices"
)

// Link is a shared resource that loads pass through: a weight store, a data centre's uplink, the
// network card of a host.
type Link struct {
	Name string
	// BytesPerSecond is the rate limit.
	BytesPerSecond float64
}

// Load is the weights that one host of a group needs. Links are indexes of the links that it passes.
type Load struct {
	Host  string
	Bytes float64
	Links []int
}

// Job is the loading of one group.
type Job struct {
	Group string
	// Weight is how much callers lack the group; larger is more urgent. It must be positive.
	Weight float64
	// Seq orders jobs by arrival.
	Seq   int
	Loads []Load
}

// bytes returns the sum over the loads of a job.
func (j Job) bytes() float64 {
	sum := 0.0
	for _, l := range j.Loads {
		sum += l.Bytes
	}
	return sum
}

// Policy orders jobs: it returns their indexes, first to load first.
type Policy func(jobs []Job, links []Link) []int

// SmallestFirst orders jobs by bytes over weight, smallest first, and by arrival among equals. It is
// the policy in use; docs/decisions/load-ordering.md has the figures of the others.
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

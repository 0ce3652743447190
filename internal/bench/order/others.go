package order

import (
	"cmp"
	"slices"

	"geraniumhollow/internal/plan/loads"
)

// FirstCome orders jobs by arrival.
func FirstCome(jobs []loads.Job, _ []loads.Link) []int {
	order := make([]int, len(jobs))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(jobs[a].Seq, jobs[b].Seq) })
	return order
}

// Bottleneck orders jobs by the bottleneck-select-scale-iterate rule: it finds the link with the most
// time of work left, puts the job with the most work per weight on that link last, reduces the weight
// of the other jobs by what they share with it there, and repeats with the rest.
func Bottleneck(jobs []loads.Job, links []loads.Link) []int {
	b := newBottleneck(jobs, links)
	order := make([]int, len(jobs))
	for k := len(jobs) - 1; k >= 0; k-- {
		link := b.busiest()
		last := b.heaviest(link)
		order[k] = last
		b.scale(link, last)
		b.remove(last)
	}
	return order
}

// bottleneck is the state of one ordering: seconds of work per job and link.
type bottleneck struct {
	demand [][]demand
	total  []float64
	weight []float64
	left   []bool
}

// demand is the seconds of work of one job on one link.
type demand struct {
	link    int
	seconds float64
}

func newBottleneck(jobs []loads.Job, links []loads.Link) *bottleneck {
	b := &bottleneck{
		demand: make([][]demand, len(jobs)),
		total:  make([]float64, len(links)),
		weight: make([]float64, len(jobs)),
		left:   make([]bool, len(jobs)),
	}
	for i, j := range jobs {
		b.weight[i] = j.Weight
		b.left[i] = true
		b.demand[i] = demands(j, links)
		for _, d := range b.demand[i] {
			b.total[d.link] += d.seconds
		}
	}
	return b
}

// demands returns the work of a job on each link that it uses, ordered by link.
func demands(j loads.Job, links []loads.Link) []demand {
	seconds := make(map[int]float64)
	for _, l := range j.Loads {
		for _, link := range l.Links {
			seconds[link] += l.Bytes / links[link].BytesPerSecond
		}
	}
	out := make([]demand, 0, len(seconds))
	for link, s := range seconds {
		out = append(out, demand{link: link, seconds: s})
	}
	slices.SortFunc(out, func(a, b demand) int { return cmp.Compare(a.link, b.link) })
	return out
}

// on returns the work of job i on a link.
func (b *bottleneck) on(i, link int) float64 {
	k, ok := slices.BinarySearchFunc(b.demand[i], link, func(d demand, l int) int { return cmp.Compare(d.link, l) })
	if !ok {
		return 0
	}
	return b.demand[i][k].seconds
}

func (b *bottleneck) busiest() int {
	best := 0
	for i, t := range b.total {
		if t > b.total[best] {
			best = i
		}
	}
	return best
}

// heaviest returns the remaining job with the least weight per second on a link. Jobs that do not use
// the link come last of all; among equals the one that arrived last is chosen.
func (b *bottleneck) heaviest(link int) int {
	best, bestRatio := -1, 0.0
	for i := range b.left {
		if !b.left[i] {
			continue
		}
		s := b.on(i, link)
		if s == 0 {
			if best < 0 {
				best, bestRatio = i, infiniteRatio
			}
			continue
		}
		if r := b.weight[i] / s; best < 0 || r <= bestRatio {
			best, bestRatio = i, r
		}
	}
	return best
}

// infiniteRatio stands for the ratio of a job that does not use the link.
const infiniteRatio = 1e308

func (b *bottleneck) scale(link, last int) {
	work := b.on(last, link)
	if work == 0 {
		return
	}
	share := b.weight[last] / work
	for i := range b.left {
		if b.left[i] && i != last {
			b.weight[i] -= share * b.on(i, link)
		}
	}
}

func (b *bottleneck) remove(i int) {
	b.left[i] = false
	for _, d := range b.demand[i] {
		b.total[d.link] -= d.seconds
	}
}

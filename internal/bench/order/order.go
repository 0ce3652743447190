// Package order compares the orderings of weight loads on seeded restarts, with a fluid model of the
// links: at each moment loads get the rate that is left on their links, in the order of their jobs.
package order

import (
	"math"
	"math/rand/v2"
	"slices"

	"geraniumhollow/internal/plan/loads"
)

// Result is what one ordering gives.
type Result struct {
	// Average and Worst are seconds until a group is ready.
	Average float64
	Worst   float64
	// Half is the second at which half of the groups are ready.
	Half float64
}

// flow is a load in progress.
type flow struct {
	job   int
	left  float64
	links []int
}

// Run returns what an ordering gives for jobs that all start at once.
func Run(policy loads.Policy, jobs []loads.Job, links []loads.Link) Result {
	return summarise(finishTimes(policy(jobs, links), jobs, links))
}

// finishTimes returns the second at which each job is done.
func finishTimes(order []int, jobs []loads.Job, links []loads.Link) []float64 {
	var flows []flow
	for _, i := range order {
		for _, l := range jobs[i].Loads {
			flows = append(flows, flow{job: i, left: l.Bytes, links: l.Links})
		}
	}
	done := make([]float64, len(jobs))
	now := 0.0
	for len(flows) > 0 {
		rates := rates(flows, links)
		step := math.Inf(1)
		for i, f := range flows {
			if rates[i] > 0 {
				step = min(step, f.left/rates[i])
			}
		}
		now += step
		for i := range flows {
			flows[i].left -= rates[i] * step
			if flows[i].left < epsilonBytes {
				done[flows[i].job] = now
			}
		}
		flows = slices.DeleteFunc(flows, func(f flow) bool { return f.left < epsilonBytes })
	}
	return done
}

// epsilonBytes is below what rounding leaves of a finished load.
const epsilonBytes = 1

// rates gives each flow, in order, all that is left on its links.
func rates(flows []flow, links []loads.Link) []float64 {
	left := make([]float64, len(links))
	for i, l := range links {
		left[i] = l.BytesPerSecond
	}
	out := make([]float64, len(flows))
	for i, f := range flows {
		rate := math.Inf(1)
		for _, l := range f.links {
			rate = min(rate, left[l])
		}
		// A share this small would only add steps to the model.
		if rate < minRate {
			continue
		}
		for _, l := range f.links {
			left[l] -= rate
		}
		out[i] = rate
	}
	return out
}

// minRate is the least rate, in bytes a second, that a load is started with.
const minRate = 1 << 10

func summarise(done []float64) Result {
	sorted := slices.Clone(done)
	slices.Sort(sorted)
	sum := 0.0
	for _, d := range sorted {
		sum += d
	}
	return Result{
		Average: sum / float64(len(sorted)),
		Worst:   sorted[len(sorted)-1],
		Half:    sorted[(len(sorted)-1)/2],
	}
}

// Size is a fleet whose restarts are compared.
type Size struct {
	Name        string
	Groups      int
	HostChoices []int
	DataCentres int
	Domains     int
}

// Today is one deployment of today; Target is the size to design for. The mix of group sizes has
// small groups and groups of 32 hosts in the same domains.
var (
	Today  = Size{Name: "today", Groups: 65, HostChoices: []int{1, 2, 2, 4}, DataCentres: 3, Domains: 6}
	Target = Size{Name: "target", Groups: 600, HostChoices: []int{1, 1, 2, 2, 4, 4, 8, 32}, DataCentres: 6, Domains: 24}
)

// Rates of the modelled links and sizes of the weights, in bytes and bytes a second.
const (
	storeRate  = 40e9
	uplinkRate = 12.5e9
	hostRate   = 2.5e9
	minWeights = 20e9
	maxWeights = 160e9
)

// Extent is what restarts.
type Extent string

// Extents of a restart.
const (
	Host       Extent = "host"
	Domain     Extent = "domain"
	DataCentre Extent = "data_centre"
)

// Restart returns the jobs and links of a seeded restart.
func Restart(size Size, extent Extent, seed uint64) ([]loads.Job, []loads.Link) {
	rng := rand.New(rand.NewPCG(seed, uint64(size.Groups)))
	links := []loads.Link{{Name: "weight_store", BytesPerSecond: storeRate}}
	uplinks := make([]int, size.DataCentres)
	for i := range uplinks {
		uplinks[i] = len(links)
		links = append(links, loads.Link{Name: "uplink", BytesPerSecond: uplinkRate})
	}
	var jobs []loads.Job
	hit := rng.IntN(size.Groups)
	for g := range size.Groups {
		hosts := size.HostChoices[rng.IntN(len(size.HostChoices))]
		weights := minWeights + rng.Float64()*(maxWeights-minWeights)
		domain := g % size.Domains
		dc := domain % size.DataCentres
		if !affected(extent, g, hit, domain, dc, size) {
			continue
		}
		if extent == Host {
			hosts = 1
		}
		j := loads.Job{Group: "g", Weight: 1, Seq: rng.IntN(size.Groups)}
		for range hosts {
			links = append(links, loads.Link{Name: "host", BytesPerSecond: hostRate})
			j.Loads = append(j.Loads, loads.Load{Bytes: weights, Links: []int{0, uplinks[dc], len(links) - 1}})
		}
		jobs = append(jobs, j)
	}
	return jobs, links
}

func affected(extent Extent, g, hit, domain, dc int, size Size) bool {
	switch extent {
	case Host:
		return g == hit
	case Domain:
		return domain == hit%size.Domains
	default:
		return dc == hit%size.Domains%size.DataCentres
	}
}

package scale

import (
	"cmp"
	"math"
	"slices"
)

// Servers are counted in units: the servers of a group of the smallest model. Groups of larger models take several units of one
// fabric domain. The platform chooses which servers it terminates, so the servers that are left in a domain are a random share of
// those that were there, and the ones that do not make a whole unit are spares.

// wholeUnits returns the expected number of whole units of a data centre once it has n servers, given the numbers of servers of its
// fabric domains. Servers are removed at random, and added to the domains with the fewest, up to domainSize in each.
func wholeUnits(domains []int, n, unit, domainSize int) float64 {
	total := 0
	for _, k := range domains {
		total += k
	}
	if n >= total {
		return float64(countUnits(grow(domains, n-total, domainSize), unit))
	}
	sum, logs := 0.0, logFactorials(total)
	for _, k := range domains {
		for left := unit; left <= min(k, n); left++ {
			sum += hypergeometric(logs, total, k, n, left) * float64(left/unit)
		}
	}
	return sum
}

// countUnits returns the number of whole units in domains.
func countUnits(domains []int, unit int) int {
	n := 0
	for _, k := range domains {
		n += k / unit
	}
	return n
}

// grow adds servers to domains.
func grow(domains []int, added, domainSize int) []int {
	out := slices.Clone(domains)
	for ; added > 0; added-- {
		i := -1
		for j, k := range out {
			if k < domainSize && (i < 0 || k < out[i]) {
				i = j
			}
		}
		if i < 0 {
			out, i = append(out, 0), len(out)
		}
		out[i]++
	}
	return out
}

// hypergeometric returns the probability that x of n servers chosen at random from total are among k given ones.
func hypergeometric(logs []float64, total, k, n, x int) float64 {
	if x > k || n-x > total-k || x > n {
		return 0
	}
	choose := func(n, k int) float64 { return logs[n] - logs[k] - logs[n-k] }
	return math.Exp(choose(k, x) + choose(total-k, n-x) - choose(total, n))
}

// logFactorials returns the logarithms of the factorials up to n.
func logFactorials(n int) []float64 {
	out := make([]float64, n+1)
	for i := 2; i <= n; i++ {
		out[i] = out[i-1] + math.Log(float64(i))
	}
	return out
}

// candidate is a data centre that may get servers.
type candidate struct {
	name    string
	domains []int
	// min and max bound the number of servers. demand is the rate of requests of its callers.
	min, max int
	demand   float64
}

// spread returns the smallest numbers of servers of data centres, as even as possible, with which the expected number of whole units
// reaches the given one, and that expected number. If the bounds do not allow it, all get their maximum.
func spread(candidates []candidate, units float64, unit, domainSize int) (map[string]int, float64) {
	candidates = slices.Clone(candidates)
	// The data centre with the most demand gets the odd server.
	slices.SortFunc(candidates, func(a, b candidate) int { return cmp.Or(cmp.Compare(b.demand, a.demand), cmp.Compare(a.name, b.name)) })
	counts, expected := make([]int, len(candidates)), make([]float64, len(candidates))
	sum := 0.0
	for i, s := range candidates {
		counts[i] = s.min
		expected[i] = wholeUnits(s.domains, s.min, unit, domainSize)
		sum += expected[i]
	}
	for sum < units {
		least := -1
		for i, s := range candidates {
			if counts[i] < s.max && (least < 0 || counts[i] < counts[least]) {
				least = i
			}
		}
		if least < 0 {
			break
		}
		counts[least]++
		e := wholeUnits(candidates[least].domains, counts[least], unit, domainSize)
		sum += e - expected[least]
		expected[least] = e
	}
	// Servers that complete no unit are not needed.
	for i, s := range slices.Backward(candidates) {
		for n := counts[i] - 1; n >= s.min; n-- {
			e := wholeUnits(s.domains, n, unit, domainSize)
			if sum+e-expected[i] < units {
				break
			}
			sum, counts[i], expected[i] = sum+e-expected[i], n, e
		}
	}
	out := make(map[string]int, len(candidates))
	for i, s := range candidates {
		out[s.name] = counts[i]
	}
	return out, sum
}

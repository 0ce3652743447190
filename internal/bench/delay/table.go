package delay

import (
	"fmt"
	"io"
	"slices"
	"time"
)

// samples are the times that one way to an engine took.
type samples struct {
	first, between []time.Duration
	failed         int
}

// add takes the times from the start of a request to each of its tokens.
func (s *samples) add(times []time.Duration) {
	s.first = append(s.first, times[0])
	for i := 1; i < len(times); i++ {
		s.between = append(s.between, times[i]-times[i-1])
	}
}

// quantile returns the value that a share q of the sorted values does not exceed.
func quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}

// printTable prints the quantiles of both ways and their difference. direct and again are the parts
// before and after those through the node: both together are the base, and the difference between them
// shows how far the figures can be trusted.
func printTable(w io.Writer, direct, through, again samples) {
	_, _ = fmt.Fprintln(w, "| time | of 100 | direct ms | through the node ms | added ms | between direct parts ms |")
	_, _ = fmt.Fprintln(w, "| --- | --- | --- | --- | --- | --- |")
	for _, row := range []struct {
		name                   string
		direct, through, again []time.Duration
	}{
		{"first token", direct.first, through.first, again.first},
		{"between tokens", direct.between, through.between, again.between},
	} {
		all := slices.Concat(row.direct, row.again)
		for _, times := range [][]time.Duration{row.direct, row.through, row.again, all} {
			slices.Sort(times)
		}
		for _, q := range []float64{0.50, 0.95, 0.99} {
			base, t := quantile(all, q), quantile(row.through, q)
			apart := quantile(row.again, q) - quantile(row.direct, q)
			_, _ = fmt.Fprintf(w, "| %s | %.0f | %.3f | %.3f | %.3f | %.3f |\n",
				row.name, q*100, ms(base), ms(t), ms(t-base), ms(apart))
		}
	}
}

func ms(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

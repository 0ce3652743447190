package relay

import "time"

// Percentile returns the 95th percentile that is computed for an answer with these times between tokens.
func Percentile(gaps []time.Duration) time.Duration {
	p := pace{arrived: time.Unix(0, 0)}
	now := p.arrived
	p.record(now, 1)
	for _, d := range gaps {
		now = now.Add(d)
		p.record(now, 1)
	}
	return p.percentile()
}

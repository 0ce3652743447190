package relay

import "time"

// Percentile returns the 95th percentile that an answer with these times between tokens is given.
func Percentile(gaps []time.Duration) time.Duration {
	p := pace{arrived: time.Unix(0, 0)}
	now := p.arrived
	p.tokens(now, 1)
	for _, d := range gaps {
		now = now.Add(d)
		p.tokens(now, 1)
	}
	return p.percentile()
}

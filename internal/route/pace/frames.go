package pace

import (
	"math"
	"time"

	"geraniumhollow/internal/wire/frame"
)

// ToFrame converts notices to their wire format.
func ToFrame(list []Notice) []frame.RateNotice {
	out := make([]frame.RateNotice, 0, len(list))
	for _, n := range list {
		out = append(out, frame.RateNotice{
			Server: n.Server.ID, StartedMs: int(n.Server.StartedAt), Rate: n.Rate, Ended: n.Ended,
			Version: int(n.Version), Beat: int(n.Beat), AgeMs: int(n.Age.Milliseconds()),
		})
	}
	return out
}

// FromFrame converts notices from their wire format. It leaves out those that no node sends.
func FromFrame(list []frame.RateNotice) []Notice {
	out := make([]Notice, 0, len(list))
	for _, f := range list {
		if f.Server == "" || !(f.Rate >= 0 && f.Rate <= math.MaxInt32) {
			continue
		}
		out = append(out, Notice{
			Server: Server{ID: f.Server, StartedAt: int64(f.StartedMs)}, Rate: f.Rate, Ended: f.Ended,
			Version: int64(f.Version), Beat: int64(f.Beat), Age: time.Duration(max(0, f.AgeMs)) * time.Millisecond,
		})
	}
	return out
}

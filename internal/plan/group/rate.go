package group

import (
	"slices"
	"time"
)

// loadWindow is the time over which the platform counts loads of weights.
const loadWindow = 5 * time.Second

// loadShare is the part of the platform's rate that the keeper uses. The rest covers loads that an
// earlier keeper, or an order that was carried out late, began in the same window.
const loadShare = 0.8

// rate counts what happened within a window.
type rate struct {
	at []time.Time
}

// add counts one event.
func (r *rate) add(now time.Time) { r.at = append(r.at, now) }

// recent returns how many events the window before now has.
func (r *rate) recent(now time.Time) int {
	r.at = slices.DeleteFunc(r.at, func(t time.Time) bool { return now.Sub(t) >= loadWindow })
	return len(r.at)
}

// Traffic says that callers have been served: from now on loads are slow and count.
func (d *Decider) Traffic() { d.traffic = true }

// mayLoad reports whether a load may be ordered now, and counts it.
func (d *Decider) mayLoad(now time.Time, h *host) bool {
	for _, k := range []Kind{Join, Stage} {
		if o, ok := h.orders[k]; ok && now.Sub(o.at) < orderRepeat {
			return false
		}
	}
	if !d.traffic {
		return true
	}
	if float64(d.loads.recent(now)) >= d.cfg.Engine.LoadsPerSecond*loadWindow.Seconds()*loadShare {
		return false
	}
	d.loads.add(now)
	return true
}

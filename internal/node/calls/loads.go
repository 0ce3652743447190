package calls

import (
	"math/rand/v2"
	"sync"

	"geraniumhollow/internal/conf/view"
	"geraniumhollow/internal/core/fault"
	"geraniumhollow/internal/core/sets"
)

// loads counts the calls in flight of this node by backend server. It is safe for concurrent use.
type loads struct {
	mu       sync.Mutex
	inFlight map[string]int
}

func newLoads() *loads { return &loads{inFlight: make(map[string]int)} }

// take picks the one with fewer calls in flight of two random servers, and counts a call on it. Servers
// that were tried and servers that hold their warm capacity are left out.
func (l *loads) take(servers []view.Server, tried sets.Set[string]) (view.Server, *fault.Error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	open := make([]view.Server, 0, len(servers))
	full := false
	for _, s := range servers {
		switch {
		case tried.Has(s.Name):
		case l.inFlight[s.Address] >= s.Capacity.WarmRequests:
			full = true
		default:
			open = append(open, s)
		}
	}
	if len(open) == 0 && full {
		return view.Server{}, fault.New(fault.Overloaded, fault.NotRun, "every backend server of the service is full").
			WithRetryAfter(retryAfter)
	}
	if len(open) == 0 {
		return view.Server{}, fault.New(fault.NoBackend, fault.NotRun, "no backend server of the service is left to try").
			WithRetryAfter(retryAfter)
	}
	s := open[rand.IntN(len(open))]
	if other := open[rand.IntN(len(open))]; l.inFlight[other.Address] < l.inFlight[s.Address] {
		s = other
	}
	l.inFlight[s.Address]++
	return s, nil
}

// release counts the end of a call.
func (l *loads) release(s view.Server) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inFlight[s.Address]--
	if l.inFlight[s.Address] == 0 {
		delete(l.inFlight, s.Address)
	}
}

package calls

import (
	"math/rand/v2"
	"sync"

	"geraniumhollow/internal/conf/view"
	"geraniumhollow/internal/core/fault"
	"geraniumhollow/internal/core/sets"
)

// loads counts this node's calls in flight per backend server. It is safe for concurrent use.
type loads struct {
	mu       sync.Mutex
	inFlight map[string]int
}

func newLoads() *loads { return &loads{inFlight: make(map[string]int)} }

// acquire chooses two random servers, picks the one with fewer calls in flight, and counts a call on it. It skips
// servers in tried and servers whose calls in flight have reached their warm capacity.
func (l *loads) acquire(servers []view.Server, tried sets.Set[string]) (view.Server, *fault.Error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	available := make([]view.Server, 0, len(servers))
	full := false
	for _, s := range servers {
		switch {
		case tried.Has(s.Name):
		case l.inFlight[s.Address] >= s.Capacity.WarmRequests:
			full = true
		default:
			available = append(available, s)
		}
	}
	if len(available) == 0 && full {
		return view.Server{}, fault.New(fault.Overloaded, fault.NotRun, "every backend server of the service is full").
			WithRetryAfter(retryAfter)
	}
	if len(available) == 0 {
		return view.Server{}, fault.New(fault.NoBackend, fault.NotRun, "no backend server of the service is left to try").
			WithRetryAfter(retryAfter)
	}
	s := available[rand.IntN(len(available))]
	if other := available[rand.IntN(len(available))]; l.inFlight[other.Address] < l.inFlight[s.Address] {
		s = other
	}
	l.inFlight[s.Address]++
	return s, nil
}

// release ends the counting of a call on a server.
func (l *loads) release(s view.Server) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inFlight[s.Address]--
	if l.inFlight[s.Address] == 0 {
		delete(l.inFlight, s.Address)
	}
}

// Package plain is a stand-in for a plain service beside the model engines. It counts how often each
// call ran, so that a test can see a call that ran twice.
package plain

import (
	"context"
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

// HeaderCall names a call; the service counts the runs of each name.
const HeaderCall = "X-Call"

// Faults are what the service does wrong. The zero value does nothing wrong.
type Faults struct {
	// Delay holds back every answer.
	Delay time.Duration
	// LoseAnswers runs a call and closes the connection without an answer.
	LoseAnswers bool
}

// Service is one instance of a plain service. It is safe for concurrent use.
type Service struct {
	name string

	mu     sync.Mutex
	runs   map[string]int
	faults Faults
}

// Reply is the body of every answer.
type Reply struct {
	Service string `json:"service"`
	Method  string `json:"method"`
	Path    string `json:"path"`
	Run     int    `json:"run"`
	Bytes   int    `json:"bytes"`
}

// New returns a service with the given name.
func New(name string) *Service {
	return &Service{name: name, runs: make(map[string]int)}
}

// SetFaults replaces the faults of the service.
func (s *Service) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Runs returns how often each named call ran.
func (s *Service) Runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.runs)
}

// Serve answers calls on ln until ctx ends.
func (s *Service) Serve(ctx context.Context, ln net.Listener) error {
	srv := &fasthttp.Server{Handler: s.handle, CloseOnShutdown: true}
	stop := context.AfterFunc(ctx, func() { _ = srv.Shutdown() })
	defer stop()
	if err := srv.Serve(ln); err != nil {
		return errors.Newf("serve plain service stand-in: %w", err)
	}
	return nil
}

func (s *Service) handle(rc *fasthttp.RequestCtx) {
	call := string(rc.Request.Header.Peek(HeaderCall))
	s.mu.Lock()
	s.runs[call]++
	run := s.runs[call]
	faults := s.faults
	s.mu.Unlock()
	if faults.Delay > 0 {
		time.Sleep(faults.Delay)
	}
	if faults.LoseAnswers {
		_ = rc.Conn().Close()
		return
	}
	body, err := json.Marshal(Reply{
		Service: s.name,
		Method:  string(rc.Method()),
		Path:    string(rc.Path()),
		Run:     run,
		Bytes:   len(rc.PostBody()),
	})
	if err != nil {
		rc.SetStatusCode(http.StatusInternalServerError)
		return
	}
	rc.SetContentType("application/json")
	rc.SetBody(body)
}

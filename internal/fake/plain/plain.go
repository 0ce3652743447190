// Package plain is a stand-in for a plain service beside the model engines. It counts how often each
// call ran, so that a test can see a call that ran twice.
package plain

import (
	"bytes"
	"context"
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"sync"
	"time"

	"geraniumhollow/internal/core/httpd"
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
	// CutAnswers runs a call and closes the connection in the middle of the answer's body.
	CutAnswers bool
	// CutChunks does the same to an answer in chunks.
	CutChunks bool
	// Refuse answers without running the call, and says so with X-Not-Started.
	Refuse bool
	// Status is the status of answers; 0 is 200.
	Status int
	// AnswerBytes is the size of answers; 0 is the size of a Reply.
	AnswerBytes int
}

// headerNotStarted marks an answer to a call that the service did not start.
const headerNotStarted = "X-Not-Started"

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
	// Headers are the names and values of the call's headers.
	Headers map[string]string `json:"headers"`
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
	if err := httpd.Serve(ctx, srv, ln); err != nil {
		return errors.Newf("serve plain service stand-in: %w", err)
	}
	return nil
}

// begin returns the faults in force, and the number of the run unless the call is refused.
func (s *Service) begin(call string) (int, Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.faults.Refuse {
		s.runs[call]++
	}
	return s.runs[call], s.faults
}

func (s *Service) handle(rc *fasthttp.RequestCtx) {
	run, faults := s.begin(string(rc.Request.Header.Peek(HeaderCall)))
	if faults.Delay > 0 {
		time.Sleep(faults.Delay)
	}
	if faults.Refuse {
		rc.Response.Header.Set(headerNotStarted, "1")
		rc.SetStatusCode(http.StatusServiceUnavailable)
		return
	}
	if faults.LoseAnswers {
		_ = rc.Conn().Close()
		return
	}
	rc.SetContentType("application/json")
	if faults.Status != 0 {
		rc.SetStatusCode(faults.Status)
	}
	rc.SetBody(s.body(rc, run, faults))
	if faults.CutAnswers {
		cut(rc, "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\ncut")
	}
	if faults.CutChunks {
		cut(rc, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\ncut\r\n")
	}
}

// cut answers with the beginning of an answer and closes the connection.
func cut(rc *fasthttp.RequestCtx, beginning string) {
	rc.HijackSetNoResponse(true)
	rc.Hijack(func(c net.Conn) { _, _ = c.Write([]byte(beginning)) })
}

// body returns the body of an answer.
func (s *Service) body(rc *fasthttp.RequestCtx, run int, faults Faults) []byte {
	if faults.AnswerBytes > 0 {
		return bytes.Repeat([]byte("x"), faults.AnswerBytes)
	}
	r := Reply{
		Service: s.name,
		Method:  string(rc.Method()),
		Path:    string(rc.RequestURI()),
		Run:     run,
		Bytes:   len(rc.PostBody()),
		Headers: make(map[string]string),
	}
	for k, v := range rc.Request.Header.All() {
		r.Headers[string(k)] = string(v)
	}
	body, err := json.Marshal(r)
	if err != nil {
		return nil
	}
	return body
}

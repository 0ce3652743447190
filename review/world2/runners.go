//go:build review2

package main

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"geraniumhollow/platform/standin"
)

// plainWork is how long a plain request takes, and eventTime the time between two events of a stream.
const (
	plainWork = 300 * time.Millisecond
	eventTime = 90 * time.Millisecond
)

// addPlain adds runners of the plain service.
func (w *world) addPlain(n int) error {
	for i := range n {
		_, err := w.fleet.Start(standin.RunnerConfig{
			ID: fmt.Sprintf("i-app%d", i), Service: "app", Zone: "esbjerg", Slots: 26, Work: plainWork, Beat: heartbeat,
		})
		if err != nil {
			return fmt.Errorf("plain runner: %w", err)
		}
	}
	return nil
}

// modelRunner is a model runner behind a handler that may answer in its place.
type modelRunner struct {
	id     string
	runner atomic.Pointer[standin.Runner]
	// instead answers a request in place of the runner if it is set and returns true.
	instead atomic.Pointer[func(w http.ResponseWriter, q *http.Request) bool]
}

// ServeHTTP implements http.Handler.
func (m *modelRunner) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	if f := m.instead.Load(); f != nil && q.URL.Path != "/report" && q.URL.Path != "/order" && (*f)(w, q) {
		return
	}
	for m.runner.Load() == nil {
		time.Sleep(time.Millisecond)
	}
	m.runner.Load().ServeHTTP(w, q)
}

// addModels adds model runners of one domain.
func (w *world) addModels(n int) (map[string]*modelRunner, error) {
	out := make(map[string]*modelRunner)
	for i := range n {
		m := &modelRunner{id: fmt.Sprintf("i-llm%d", i)}
		r, err := w.fleet.Start(standin.RunnerConfig{
			ID: m.id, Service: "llm", Zone: "esbjerg", Domain: "d0", Slots: 26, Work: eventTime, Join: 200 * time.Millisecond, Load: time.Second,
			Beat: heartbeat, Sizes: map[string]int{"m0": 2}, Stall: 5 * time.Second,
			Stream:  standin.StreamShape{EventTokens: 6, First: 150 * time.Millisecond, Queue: 52},
			Through: func(string) (string, error) { return w.serve("127.0.0.1:0", m) },
		})
		if err != nil {
			return nil, fmt.Errorf("model runner: %w", err)
		}
		m.runner.Store(r)
		out[m.id] = m
	}
	return out, nil
}

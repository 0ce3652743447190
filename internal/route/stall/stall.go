// Package stall detects backend servers that make no progress, from the times at which their streams
// receive bytes.
//
// In each forward pass of its engine, a server sends one event for every request that it is generating.
// A server whose streams have all been silent for several passes is stalled: it is unreachable, or a
// member of its group has failed. This detects the failure long before the registry removes the server.
package stall

import (
	"time"
)

// Config holds the parameters of a Monitor.
type Config struct {
	// MinSilence is the minimum time for which all streams of a server must be silent before the server
	// counts as stalled.
	MinSilence time.Duration
	// MinSilenceIntervals is the same minimum as a multiple of the mean time between events of the server.
	// The longer of the two applies.
	MinSilenceIntervals float64
	// FewStreamsFactors are the factors on the minimum for a server with one and with two streams, because
	// one lost packet can silence that few streams.
	FewStreamsFactors [2]float64
	// Slack is the time by which the silence must exceed the expected time of a pass of the server.
	Slack time.Duration
	// InitialHold is the time for which a stalled server gets no new requests unless it makes progress. It
	// doubles with each consecutive stall without progress, up to MaxHold.
	InitialHold time.Duration
	MaxHold     time.Duration
}

// DefaultConfig returns the configuration that nodes use. An engine without prompts to process sends an event
// to at least three streams within 0.2 s. Callers with a first-event objective of 0.25 s can still be
// served in time by another server after that. The slack covers the network delay and the interval
// between checks.
func DefaultConfig() Config {
	return Config{
		MinSilence: 200 * time.Millisecond, MinSilenceIntervals: 4, FewStreamsFactors: [2]float64{1.5, 1.25}, Slack: 100 * time.Millisecond,
		InitialHold: 1200 * time.Millisecond, MaxHold: 6 * time.Second,
	}
}

// ID identifies a stream.
type ID uint64

// intervalSmoothing is the weight of a new sample in the mean time between events of a server.
const intervalSmoothing = 0.1

// serverState is the state of one server.
type serverState struct {
	streams map[ID]struct{}
	// lastProgress is the last time at which any of the streams received bytes.
	lastProgress time.Time
	// meanInterval is the mean time between events of a stream.
	meanInterval time.Duration
	stalled      bool
	// heldUntil is the time at which a stalled server may be tried again; lastHold is the duration of its
	// latest hold.
	heldUntil time.Time
	lastHold  time.Duration
}

// Monitor monitors the servers from which a node receives streams. It is not safe for concurrent use.
type Monitor struct {
	cfg       Config
	servers   map[string]*serverState
	lastBytes map[ID]time.Time
	lastID    ID
}

// New returns a Monitor without streams.
func New(cfg Config) *Monitor {
	return &Monitor{cfg: cfg, servers: make(map[string]*serverState), lastBytes: make(map[ID]time.Time)}
}

// Begin adds a stream that has received its first bytes and returns its ID.
func (w *Monitor) Begin(now time.Time, server string) ID {
	w.lastID++
	st := w.state(server)
	st.streams[w.lastID] = struct{}{}
	st.recordProgress(now)
	w.lastBytes[w.lastID] = now
	return w.lastID
}

// Progress records that a stream received bytes.
func (w *Monitor) Progress(now time.Time, server string, id ID) {
	st := w.state(server)
	if since := now.Sub(w.lastBytes[id]); st.meanInterval == 0 {
		st.meanInterval = since
	} else {
		st.meanInterval += time.Duration(intervalSmoothing * float64(since-st.meanInterval))
	}
	st.recordProgress(now)
	w.lastBytes[id] = now
}

// Discount leaves a time out of the current silence of all servers, because this process was not scheduled and read nothing.
func (w *Monitor) Discount(now time.Time, d time.Duration) {
	later := func(at time.Time) time.Time {
		if at = at.Add(d); at.After(now) {
			return now
		}
		return at
	}
	for _, st := range w.servers {
		st.lastProgress = later(st.lastProgress)
	}
	for id, at := range w.lastBytes {
		w.lastBytes[id] = later(at)
	}
}

// End removes a stream.
func (w *Monitor) End(server string, id ID) {
	delete(w.lastBytes, id)
	if st, ok := w.servers[server]; ok {
		delete(st.streams, id)
	}
}

// Remove removes a server.
func (w *Monitor) Remove(server string) { delete(w.servers, server) }

// Check marks the servers whose streams have been silent for too long as stalled and returns them. pass returns
// the expected time of a pass of a server, including the prompts that it has to process, or 0 if it is unknown.
func (w *Monitor) Check(now time.Time, pass func(server string) time.Duration) []string {
	out := w.Silent(now, pass)
	for _, name := range out {
		w.markStalled(now, w.servers[name])
	}
	return out
}

// Silent returns the servers that Check would mark as stalled.
func (w *Monitor) Silent(now time.Time, pass func(server string) time.Duration) []string {
	var out []string
	for name, st := range w.servers {
		if st.stalled || len(st.streams) == 0 || now.Sub(st.lastProgress) < w.silenceLimit(st) || now.Sub(st.lastProgress) < pass(name)+w.cfg.Slack {
			continue
		}
		out = append(out, name)
	}
	return out
}

// Clear forgets which servers are stalled.
func (w *Monitor) Clear() {
	for _, st := range w.servers {
		st.stalled, st.lastHold = false, 0
	}
}

// Stalled reports whether a server should get no new requests. After the hold it returns false; the caller
// then calls RecordTrial, which lets only one request through.
func (w *Monitor) Stalled(now time.Time, server string) bool {
	st, ok := w.servers[server]
	return ok && st.stalled && now.Before(st.heldUntil)
}

// RecordTrial records that a request is being sent to a server. If the server is stalled, it gets no other request
// until it makes progress or another hold has passed.
func (w *Monitor) RecordTrial(now time.Time, server string) {
	if st, ok := w.servers[server]; ok && st.stalled {
		st.heldUntil = now.Add(max(st.lastHold, w.cfg.InitialHold))
	}
}

// MarkStalled marks a server as stalled for a reason other than the silence of its streams.
func (w *Monitor) MarkStalled(now time.Time, server string) {
	w.markStalled(now, w.state(server))
}

func (w *Monitor) markStalled(now time.Time, st *serverState) {
	st.lastHold = min(max(w.cfg.InitialHold, 2*st.lastHold), w.cfg.MaxHold)
	st.stalled, st.heldUntil = true, now.Add(st.lastHold)
}

func (st *serverState) recordProgress(now time.Time) {
	st.lastProgress, st.stalled, st.lastHold = now, false, 0
}

// SilenceLimit returns the time for which a server may be silent before it counts as stalled, if a pass takes up
// to the given time.
func (w *Monitor) SilenceLimit(server string, pass time.Duration) time.Duration {
	return max(w.silenceLimit(w.state(server)), pass+w.cfg.Slack)
}

// UnknownSilenceLimit returns the same for a server of whose streams nothing is known.
func (w *Monitor) UnknownSilenceLimit(pass time.Duration) time.Duration {
	return max(w.silenceLimit(&serverState{}), pass+w.cfg.Slack)
}

func (w *Monitor) silenceLimit(st *serverState) time.Duration {
	limit := max(w.cfg.MinSilence, time.Duration(w.cfg.MinSilenceIntervals*float64(st.meanInterval)))
	if n := max(1, len(st.streams)); n <= len(w.cfg.FewStreamsFactors) {
		limit = time.Duration(w.cfg.FewStreamsFactors[n-1] * float64(limit))
	}
	return limit
}

func (w *Monitor) state(server string) *serverState {
	st, ok := w.servers[server]
	if !ok {
		st = &serverState{streams: make(map[ID]struct{})}
		w.servers[server] = st
	}
	return st
}

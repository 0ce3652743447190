package seat

import (
	"context"
	"time"

	"geraniumhollow/internal/core/sock"
	"geraniumhollow/internal/core/window"
	"geraniumhollow/internal/fleet/index"
	"geraniumhollow/internal/node/pass"
	"geraniumhollow/internal/plat/conns"
	"geraniumhollow/internal/route/choose"
	"geraniumhollow/internal/route/stall"
)

// Times of backend servers.
const (
	// dialTimeout bounds a new connection to a backend server.
	dialTimeout = 300 * time.Millisecond
	// idleTimeout is how long an unused connection is kept where the server does not say.
	idleTimeout = 4 * time.Second
	// coldSpan is the time over which requests to a cold server count.
	coldSpan = time.Second
	// checkInterval is the time between looks for servers that make no progress.
	checkInterval = 50 * time.Millisecond
	// firstFactor is how many times longer than between events a server may be silent before its first
	// answer: it reads the prompt first.
	firstFactor = 2
)

// server is what the seats keep of one backend server.
type server struct {
	entry *index.Entry
	conns *conns.Pool
	// id is the index in the table of the chooser, offer what the server offers to it.
	id    int
	offer string
	gone  bool
	sends *window.Counter
	seats map[*seat]struct{}
	// load is what the server last said of its load, at loadAt.
	load   pass.Load
	loadAt time.Time
	// progress is when bytes of any answer came last.
	progress time.Time
}

func newServer(e *index.Entry) *server {
	return &server{
		entry: e,
		conns: conns.New(e.Address, conns.Options{
			DialTimeout: dialTimeout, IdleTimeout: idleTimeout, Limits: sock.Local,
		}),
		sends: window.New(coldSpan),
		seats: make(map[*seat]struct{}),
	}
}

func (sv *server) cold(now time.Time) bool { return now.Before(sv.entry.ColdUntil) }

// facts returns what a choice of the server is based on.
func (sv *server) facts(now time.Time, estimate time.Duration) pass.Selection {
	f := pass.Selection{
		Group: sv.entry.Member.Group, Epoch: sv.entry.Member.Epoch, ExpectedFirstByte: estimate,
		Running: sv.load.Running, Waiting: sv.load.Waiting,
	}
	if !sv.loadAt.IsZero() {
		f.LoadAge = now.Sub(sv.loadAt)
	}
	return f
}

// withdraw ends the attempts that may be made again elsewhere and returns how many.
func (sv *server) withdraw() int {
	n := 0
	for t := range sv.seats {
		if t.repeatable {
			n++
			t.cancel(pass.ErrStalled)
		}
	}
	return n
}

// unanswered reports whether a head has left all its requests without a first byte for too long. A request
// may have to wait for a place, which the estimate of its wait covers.
func (sv *server) unanswered(now time.Time, silence time.Duration) bool {
	if !sv.entry.Member.Some() || now.Sub(sv.progress) < firstFactor*silence {
		return false
	}
	for t := range sv.seats {
		if t.first == 0 && now.Sub(t.at) >= firstFactor*(silence+t.wait) {
			return true
		}
	}
	return false
}

// seat implements pass.Seat.
type seat struct {
	s      *Seats
	server *server
	// entry is the server as it was chosen.
	entry *index.Entry
	sent  uint64
	at    time.Time
	// prompt is how many tokens the server has to read, wait how long the first bytes were expected to take.
	prompt int
	wait   time.Duration
	// first is the time to the first bytes of the answer, 0 before them.
	first      time.Duration
	stream     stall.ID
	cancel     context.CancelCauseFunc
	repeatable bool
	facts      pass.Selection
}

// Entry implements pass.Seat.
func (t *seat) Entry() *index.Entry { return t.entry }

// Conns implements pass.Seat.
func (t *seat) Conns() *conns.Pool { return t.server.conns }

// Progress implements pass.Seat.
func (t *seat) Progress() {
	t.s.mu.Lock()
	defer t.s.mu.Unlock()
	now := t.s.cfg.Now()
	t.server.progress = now
	watched := t.entry.Member.Some() && !t.server.gone
	switch {
	case t.first == 0:
		t.first = max(1, now.Sub(t.at))
		if watched {
			t.stream = t.s.watch.Begin(now, t.entry.ID)
		}
	case watched:
		t.s.watch.Progress(now, t.entry.ID, t.stream)
	}
}

// HeadersReceived implements pass.Seat.
func (t *seat) HeadersReceived(a pass.Answer) {
	t.s.mu.Lock()
	defer t.s.mu.Unlock()
	now := t.s.cfg.Now()
	t.s.notices.take(now, t.entry, a)
	if !a.HasLoad || t.server.gone {
		return
	}
	t.server.load, t.server.loadAt = a.Load, now
	t.s.learn(t.server.offer, a.Load)
	t.s.table.Observe(t.server.id, choose.Report{
		Instance: t.entry.ID, Open: true, Running: a.Load.Running, Waiting: a.Load.Waiting, MadeAt: t.server.loadAt,
	})
}

// Release implements pass.Seat.
func (t *seat) Release(o pass.Outcome) {
	t.s.mu.Lock()
	defer t.s.mu.Unlock()
	delete(t.server.seats, t)
	if t.stream != 0 {
		t.s.watch.End(t.entry.ID, t.stream)
	}
	if t.server.gone {
		return
	}
	first := t.first
	if o != pass.Served {
		first = 0
	}
	t.s.table.Done(t.server.id, t.sent, t.s.cfg.Now(), first)
}

// Selection implements pass.Seat.
func (t *seat) Selection() pass.Selection {
	t.s.mu.Lock()
	defer t.s.mu.Unlock()
	t.facts.FirstByte = t.first
	return t.facts
}

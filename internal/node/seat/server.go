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
	"geraniumhollow/internal/route/pace"
	"geraniumhollow/internal/route/stall"
)

// Timeouts, windows and intervals for backend servers.
const (
	// dialTimeout bounds the time to connect to a backend server.
	dialTimeout = 300 * time.Millisecond
	// idleTimeout is how long an idle connection is kept if the server does not specify it.
	idleTimeout = 4 * time.Second
	// coldWindow is the window over which requests to a cold server are counted.
	coldWindow = time.Second
	// stallCheckInterval is the interval of the checks for stalled servers.
	stallCheckInterval = 50 * time.Millisecond
	// maxCheckInterval is the time between two checks above which this process has not run for a while. It then gets
	// catchUpTime to read what servers have sent meanwhile, or up to maxCatchUpTime if more checks are late.
	maxCheckInterval = 2 * stallCheckInterval
	catchUpTime      = 100 * time.Millisecond
	maxCatchUpTime   = 500 * time.Millisecond
	// reportAgainAfter is the time after which a server that still makes no progress is reported again.
	reportAgainAfter = time.Second
	// firstByteFactor multiplies the silence limit before the first byte of a response, because the server processes
	// the prompt first.
	firstByteFactor = 2
)

// server is the state of one backend server.
type server struct {
	entry *index.Entry
	conns *conns.Pool
	// tableIndex is the index in the table of the chooser; modelKey is the service and model that the server provides.
	tableIndex int
	modelKey   string
	// removed is set once the server is no longer in Picker.servers.
	removed      bool
	recentSends  *window.Counter
	reservations map[*reservation]struct{}
	// load is the server's last reported load, received at loadAt.
	load   pass.Load
	loadAt time.Time
	// refusedUntil is until when the server gets no requests because it refused a connection.
	refusedUntil time.Time
	// progress is when part of any response last arrived, and unscheduled is for how long this process has not been scheduled since.
	progress    time.Time
	unscheduled time.Duration
	// reportedAt is when the server was last reported to make no progress, zero if it has made some since.
	reportedAt time.Time
	// namesRate is set while the server names a rate for all nodes together.
	namesRate bool
}

func newServer(e *index.Entry, cfg Config) *server {
	return &server{
		entry: e,
		conns: conns.New(e.Address, conns.Options{
			DialTimeout: dialTimeout, IdleTimeout: idleTimeout, Limits: sock.Local.WithSource(cfg.Source),
			OnExchange: func(fresh bool, err error) { cfg.Links.Exchanged(e.ID, fresh, err) },
		}),
		recentSends:  window.New(coldWindow),
		reservations: make(map[*reservation]struct{}),
	}
}

// process identifies the process of the server.
func (sv *server) process() pace.Server { return processOf(sv.entry) }

func processOf(e *index.Entry) pace.Server {
	p := pace.Server{ID: e.ID}
	if !e.StartedAt.IsZero() {
		p.StartedAt = e.StartedAt.UnixMilli()
	}
	return p
}

// busy returns the number of requests that the server is known to run.
func (sv *server) busy() int { return max(sv.load.Running+sv.load.Waiting, len(sv.reservations)) }

func (sv *server) cold(now time.Time) bool { return now.Before(sv.entry.ColdUntil) }

// selection returns the data that the choice of the server is based on.
func (sv *server) selection(now time.Time, estimate time.Duration) pass.Selection {
	sel := pass.Selection{
		Group: sv.entry.Member.Group, Epoch: sv.entry.Member.Epoch, ExpectedFirstByte: estimate,
		Running: sv.load.Running, Waiting: sv.load.Waiting,
	}
	if !sv.loadAt.IsZero() {
		sel.LoadAge = now.Sub(sv.loadAt)
	}
	return sel
}

// reportSilent tells the attempts that another one may replace that the server is silent, and returns their number.
func (sv *server) reportSilent() int {
	return sv.reportSilentIf(func(*reservation) bool { return true })
}

// reportSilentIf does the same for the attempts that match.
func (sv *server) reportSilentIf(matches func(r *reservation) bool) int {
	n := 0
	for r := range sv.reservations {
		if r.repeatable && r.mayBeReplaced() && matches(r) {
			n++
			r.onSilent(pass.ErrStalled)
		}
	}
	return n
}

// silence returns for how long this process has been scheduled since part of any response last arrived.
func (sv *server) silence(now time.Time) time.Duration { return now.Sub(sv.progress) - sv.unscheduled }

// discount leaves a time in which this process was not scheduled out of the silence of the server.
func (sv *server) discount(d time.Duration) {
	sv.unscheduled += d
	for r := range sv.reservations {
		r.unscheduled += d
	}
}

// missesFirstByte reports whether the head of a group has made no progress on any response and one of its requests is
// overdue for its first byte. The expected time to the first byte includes queueing on the server.
func (sv *server) missesFirstByte(now time.Time, silence time.Duration) bool {
	if !sv.entry.Member.InGroup() || sv.silence(now) < firstByteFactor*silence {
		return false
	}
	for r := range sv.reservations {
		if r.missesFirstByte(now, silence) {
			return true
		}
	}
	return false
}

// reservation implements pass.Reservation.
type reservation struct {
	picker *Picker
	server *server
	// entry is the registry entry of the server at the time of the choice.
	entry  *index.Entry
	sendID uint64
	sentAt time.Time
	// unscheduled is for how long this process has not been scheduled since.
	unscheduled time.Duration
	// promptTokens is the length of the prompt, expectedFirstByte the estimated time to the first byte.
	promptTokens      int
	expectedFirstByte time.Duration
	// firstByte is the measured time to the first byte, 0 until it arrives.
	firstByte  time.Duration
	stream     stall.ID
	onSilent   context.CancelCauseFunc
	repeatable bool
	// last and answering are Call.LastAttempt and Call.Answering at the time of the choice.
	last      bool
	answering bool
	resumable bool
	selection pass.Selection
	// line counts the attempt, and objective is the latency objective of its route if that is one for streams, if the calls of its model wait
	// in a line.
	line      *line
	objective time.Duration
}

// mayBeReplaced reports whether another attempt may follow and answer in place of this one.
func (r *reservation) mayBeReplaced() bool {
	return !r.last && (r.resumable || !r.answering && r.firstByte == 0)
}

// missesFirstByte reports whether the attempt is overdue for its first byte.
func (r *reservation) missesFirstByte(now time.Time, silence time.Duration) bool {
	return r.firstByte == 0 && now.Sub(r.sentAt)-r.unscheduled >= firstByteFactor*(silence+r.expectedFirstByte)
}

// Entry implements pass.Reservation.
func (r *reservation) Entry() *index.Entry { return r.entry }

// Conns implements pass.Reservation.
func (r *reservation) Conns() *conns.Pool { return r.server.conns }

// Progress implements pass.Reservation.
func (r *reservation) Progress() {
	r.picker.cfg.Links.Heard(r.entry.ID)
	r.picker.mu.Lock()
	defer r.picker.mu.Unlock()
	now := r.picker.cfg.Now()
	r.server.progress, r.server.unscheduled = now, 0
	watched := r.entry.Member.InGroup() && !r.server.removed
	switch {
	case r.firstByte == 0:
		r.firstByte = max(1, now.Sub(r.sentAt))
		r.picker.observeFirstByte(now, r)
		if watched {
			r.stream = r.picker.watch.Begin(now, r.entry.ID)
		}
	case watched:
		r.picker.watch.Progress(now, r.entry.ID, r.stream)
	}
}

// HeadersReceived implements pass.Reservation.
func (r *reservation) HeadersReceived(a pass.ResponseInfo) {
	r.picker.mu.Lock()
	defer r.picker.mu.Unlock()
	now := r.picker.cfg.Now()
	r.picker.notices.record(now, r.entry, a)
	r.observeRate(now, a)
	if !a.HasLoad || r.server.removed {
		return
	}
	r.server.load, r.server.loadAt = a.Load, now
	r.picker.observeLoad(r.server.modelKey, a.Load)
	if l := r.picker.lines[r.server.modelKey]; l != nil {
		l.queue.ObserveLoad(now, a.Load.Running+a.Load.Waiting, a.Load.Slots)
	}
	r.picker.table.ApplyReport(r.server.tableIndex, choose.Report{
		Instance: r.entry.ID, Open: true, Running: a.Load.Running, Waiting: a.Load.Waiting, CreatedAt: r.server.loadAt,
	})
}

// observeRate records the rate that the server names, or that it names none.
func (r *reservation) observeRate(now time.Time, a pass.ResponseInfo) {
	if a.NotStarted && !a.HasRateLimit {
		return // A refusal need not come from the server's own queue.
	}
	if r.picker.cfg.Rates.Observe(now, processOf(r.entry), a.RateLimit, a.HasRateLimit) {
		r.picker.cfg.Log.Info("server names another rate of requests", "server", r.entry.ID, "limited", a.HasRateLimit, "per_second", a.RateLimit)
	}
}

// Release implements pass.Reservation.
func (r *reservation) Release(o pass.Outcome) {
	r.picker.mu.Lock()
	defer r.picker.mu.Unlock()
	delete(r.server.reservations, r)
	if r.line != nil {
		r.line.queue.RequestEnded(r.picker.cfg.Now(), o == pass.Served || o == pass.Cancelled)
		defer r.picker.dispatch(r.line)
	}
	if o == pass.Refused {
		r.picker.holdRefused(r.picker.cfg.Now(), r.server)
	}
	if r.stream != 0 {
		r.picker.watch.End(r.entry.ID, r.stream)
	}
	if r.server.removed {
		return
	}
	firstByte := r.firstByte
	if o != pass.Served {
		firstByte = 0
	}
	r.picker.table.RecordEnd(r.server.tableIndex, r.sendID, r.picker.cfg.Now(), firstByte)
}

// Selection implements pass.Reservation.
func (r *reservation) Selection() pass.Selection {
	r.picker.mu.Lock()
	defer r.picker.mu.Unlock()
	r.selection.FirstByte = r.firstByte
	return r.selection
}

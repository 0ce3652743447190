// Package pace keeps nodes together below the rates that backend servers name. A server in need states in its answers how many
// requests per second it takes from all nodes, until it no longer does so.
//
// A Book holds the rates that a node knows, from answers and from other nodes. What nodes tell each other about a server is
// ordered, so that all arrive at the same rate in whatever order the notices come.
//
// The rate of a server is divided among the nodes that may send to it at a time. With many nodes, only some may: otherwise the
// first requests of all would exceed a low rate at once. The senders take turns, which all nodes count from the time at which
// the server first named a rate.
package pace

import (
	"cmp"
	"math"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Times of a Book.
const (
	// turnTime is how long the same nodes may send to a server.
	turnTime = 12 * time.Second
	// repeatInterval is the minimum time between two notices that tell the other nodes that a rate still holds.
	repeatInterval = 3 * time.Second
	// trialInterval is the time between the requests that go to a server even if its rate is lower, as otherwise no node would
	// learn that it no longer names one.
	trialInterval = 4 * time.Second
	// forgetAfter is how long a rate is kept after it was last confirmed. Each node keeps it for up to forgetSpread more, so
	// that only some of them find out whether it still holds.
	forgetAfter  = 10 * time.Second
	forgetSpread = 10 * time.Second
	// keepEnded is how long the end of a rate is remembered, so that older notices do not restore it.
	keepEnded = time.Minute
)

// A request takes unitsPerRequest units of the limiter of a server. The limiter saves up the units of saveTime, or minUnits if
// these are more: a node that finds no request for a moment can so make up for it.
const (
	unitsPerRequest = 2
	minUnits        = 3
	saveTime        = 100 * time.Millisecond
)

// maxUnits returns the units that a limiter holds for a node that may send share requests per second.
func maxUnits(share float64) int { return max(minUnits, int(unitsPerRequest*share*saveTime.Seconds())) }

// spareSenders is the number of nodes that may send to a server in addition to one for each request per second.
const spareSenders = 2

// maxServers bounds the servers in a Book.
const maxServers = 4096

// Server identifies the process of a backend server.
type Server struct {
	ID string
	// StartedAt is when the process started, in Unix milliseconds, or 0 if that is not known.
	StartedAt int64
}

// Notice is what a node knows about the rate of a server.
type Notice struct {
	Server Server
	// Rate is the requests per second that the server takes. It is valid unless Ended is set: the server no longer names one.
	Rate  float64
	Ended bool
	// Version rises with each change of the rate, Beat with each confirmation that others are told of.
	Version int64
	Beat    int64
	// Age is the time since the server first named a rate.
	Age time.Duration
}

// compare orders the notices about a server. The lower rate goes first among changes that two nodes saw at once.
func (n Notice) compare(o Notice) int {
	return cmp.Or(cmp.Compare(n.Version, o.Version), cmp.Compare(o.effectiveRate(), n.effectiveRate()), cmp.Compare(n.Beat, o.Beat))
}

func (n Notice) effectiveRate() float64 {
	if n.Ended {
		return math.Inf(1)
	}
	return n.Rate
}

// Pending is a notice that other nodes have not got from this one. From is the node that sent it, which need not get it.
type Pending struct {
	Notice
	From string
}

// Position is the place of a node among those that send to a server. It differs from server to server. Rank counts from 0.
type Position struct {
	Rank  int
	Nodes int
	// Excluded is set if the other nodes may not know this one yet, so that it may not send.
	Excluded bool
}

// record is what a Book holds about a server.
type record struct {
	notice Notice
	// since is when the server first named a rate, confirmedAt when the current one was last confirmed to any node.
	since       time.Time
	confirmedAt time.Time
	// from is the node that sent the notice, and due is set if others are to be told.
	from string
	due  bool
	// limiter spaces the requests of this node during a turn.
	limiter *rate.Limiter
	turn    int64
	share   float64
}

// Book holds the rates of backend servers. It is safe for concurrent use.
type Book struct {
	position func(server string) Position

	mu      sync.Mutex
	records map[Server]*record
}

// NewBook returns an empty Book. position returns the place of this node among those that send to a server.
func NewBook(position func(server string) Position) *Book {
	return &Book{position: position, records: make(map[Server]*record)}
}

// Observe records the rate in an answer of a server, or that it names none. It reports whether that is a change.
func (b *Book) Observe(now time.Time, s Server, perSecond float64, named bool) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	r, ok := b.records[s]
	if !ok {
		if !named || !b.hasRoom(now) {
			return false
		}
		r = &record{notice: Notice{Server: s, Ended: true}}
		b.records[s] = r
	}
	if r.notice.Ended == !named && (!named || r.notice.Rate == perSecond) {
		if named {
			r.confirmedAt = now
		}
		if named && now.UnixMilli()-r.notice.Beat >= repeatInterval.Milliseconds() {
			r.notice.Beat, r.from, r.due = now.UnixMilli(), "", true
		}
		return false
	}
	if r.notice.Ended {
		r.since = now
	}
	r.notice.Rate, r.notice.Ended = perSecond, !named
	r.notice.Version, r.notice.Beat = max(r.notice.Version+1, now.UnixMilli()), now.UnixMilli()
	r.confirmedAt, r.from, r.due = now, "", true
	return true
}

// Learn records notices of another node. A node that knows less than this one is told what it lacks.
func (b *Book) Learn(now time.Time, from string, list []Notice) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, n := range list {
		r, ok := b.records[n.Server]
		switch {
		case !ok && !b.hasRoom(now):
			continue
		case !ok:
			r = &record{}
			b.records[n.Server] = r
		case n.compare(r.notice) == 0:
			continue
		case n.compare(r.notice) < 0:
			if n.effectiveRate() != r.notice.effectiveRate() {
				r.from, r.due = "", true
			}
			continue
		}
		r.notice, r.since, r.confirmedAt = n, now.Add(-n.Age), now
		r.from, r.due = from, true
	}
}

// hasRoom reports whether another server can be recorded. It drops the records that no longer count.
func (b *Book) hasRoom(now time.Time) bool {
	if len(b.records) < maxServers {
		return true
	}
	b.expire(now)
	return len(b.records) < maxServers
}

// Due returns the notices that are to be told to other nodes, and forgets which they were.
func (b *Book) Due(now time.Time) []Pending {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.expire(now)
	var out []Pending
	for _, r := range b.records {
		if r.due {
			r.due = false
			out = append(out, Pending{Notice: r.current(now), From: r.from})
		}
	}
	return out
}

// All returns all notices, for a node that knows none.
func (b *Book) All(now time.Time) []Notice {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.expire(now)
	out := make([]Notice, 0, len(b.records))
	for _, r := range b.records {
		out = append(out, r.current(now))
	}
	return out
}

// Limited returns the number of servers that name a rate.
func (b *Book) Limited(now time.Time) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.expire(now)
	n := 0
	for _, r := range b.records {
		if !r.notice.Ended {
			n++
		}
	}
	return n
}

func (r *record) current(now time.Time) Notice {
	n := r.notice
	n.Age = max(0, now.Sub(r.since))
	return n
}

// expire drops rates that were not confirmed for long, and ends that are remembered long enough.
func (b *Book) expire(now time.Time) {
	for s, r := range b.records {
		keep := keepEnded
		if !r.notice.Ended {
			p := b.position(s.ID)
			keep = forgetAfter + forgetSpread*time.Duration(p.Rank)/time.Duration(max(1, p.Nodes))
		}
		if now.Sub(r.confirmedAt) > keep {
			delete(b.records, s)
		}
	}
}

// Room returns when this node may send a request to a server, now if it may at once, and false if it may not send during this
// turn.
func (b *Book) Room(now time.Time, s Server) (time.Time, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.limitedRecord(now, s)
	if r == nil {
		return now, true
	}
	if r.share <= 0 {
		return time.Time{}, false
	}
	if missing := unitsPerRequest - r.limiter.TokensAt(now); missing > 0 {
		return now.Add(time.Duration(missing / (unitsPerRequest * r.share) * float64(time.Second))), true
	}
	return now, true
}

// Names reports whether a server names a rate.
func (b *Book) Names(s Server) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	r, ok := b.records[s]
	return ok && !r.notice.Ended
}

// Rate returns the requests per second that a server takes from all nodes together, or false if it names no rate.
func (b *Book) Rate(s Server) (float64, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if r, ok := b.records[s]; ok && !r.notice.Ended {
		return r.notice.Rate, true
	}
	return 0, false
}

// Sent records that this node sends a request to a server.
func (b *Book) Sent(now time.Time, s Server) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if r := b.limitedRecord(now, s); r != nil {
		r.limiter.AllowN(now, unitsPerRequest)
	}
}

// limitedRecord returns the record of a server that names a rate, with the share of this node in the current turn, or nil.
func (b *Book) limitedRecord(now time.Time, s Server) *record {
	r, ok := b.records[s]
	if !ok || r.notice.Ended {
		return nil
	}
	turn := int64(now.Sub(r.since) / turnTime)
	share := Share(r.notice.Rate, b.position(s.ID), turn)
	if r.limiter == nil || turn != r.turn && r.share <= 0 {
		r.limiter = rate.NewLimiter(rate.Limit(unitsPerRequest*share), maxUnits(share))
		if !onlyTrials(r.notice.Rate) {
			// The nodes that begin to send must not all do so at once.
			r.limiter.AllowN(now, maxUnits(share))
		}
	} else if share != r.share {
		r.limiter.SetBurstAt(now, maxUnits(share))
		r.limiter.SetLimitAt(now, rate.Limit(unitsPerRequest*share))
	}
	r.turn, r.share = turn, share
	return r
}

// onlyTrials reports whether a rate is so low that one node at a time sends requests, to find out whether the server takes more.
func onlyTrials(perSecond float64) bool { return perSecond*trialInterval.Seconds() < 1 }

// Share returns the requests per second that a node may send in a turn to a server that takes perSecond from all nodes.
func Share(perSecond float64, p Position, turn int64) float64 {
	senders := min(int(perSecond)+spareSenders, p.Nodes)
	trial := 0.0
	if onlyTrials(perSecond) {
		senders, trial = 1, 1/trialInterval.Seconds()
	}
	if p.Excluded || senders <= 0 {
		return 0
	}
	if place := (int64(p.Rank) + turn*int64(senders)) % int64(p.Nodes); place >= int64(senders) {
		return 0
	}
	return max(perSecond/float64(senders), trial)
}

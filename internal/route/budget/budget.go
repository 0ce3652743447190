// Package budget keeps the shared budget of one backend server: the owner gives grants, and holders
// use each of them for one send.
//
// Both are deciders: events and the time in, answers out. The owner proves its bound from four
// facts. A grant is used within its validity. A node whose lease has lapsed gives no more than its
// reserve. A report that was made after the last possible send counts everything that can still run
// of the grants before it. Nothing that has ended starts again.
package budget

import (
	"slices"
	"time"
)

// Times of the protocol.
const (
	// DefaultTTL is how long after the ask was sent a grant may be used.
	DefaultTTL = 2 * time.Second
	// DefaultHold is how long a holder may be paused between its last check and its send.
	DefaultHold = 30 * time.Second
	// DefaultWarmSlack is added to the validity when a takeover waits for a warm instance.
	DefaultWarmSlack = time.Second
	// DefaultReportAge is the age of a load report past which nothing is granted.
	DefaultReportAge = 3 * time.Second
	// DefaultSpread is the bound within which a configuration is in force everywhere.
	DefaultSpread = 4 * time.Second
)

// Config shapes owners.
type Config struct {
	TTL       time.Duration
	Hold      time.Duration
	WarmSlack time.Duration
	ReportAge time.Duration
	// Spread is how long after one owner another may learn of a lowered limit or state. It is at
	// least ReportAge and the bound of the configuration's age.
	Spread time.Duration
	// MaxRun bounds the run of a request: the holder cancels it by then. Load of a warm instance
	// that is attributed to nobody is dropped after MaxRun plus Hold.
	MaxRun time.Duration
	// MaxTokens is the most that one request may hold. It bounds requests of earlier owners.
	MaxTokens int
}

// DefaultConfig returns the times of the design page for requests that end within maxRun and hold at
// most maxTokens.
func DefaultConfig(maxRun time.Duration, maxTokens int) Config {
	return Config{
		TTL: DefaultTTL, Hold: DefaultHold, WarmSlack: DefaultWarmSlack, ReportAge: DefaultReportAge,
		Spread: DefaultSpread, MaxRun: maxRun, MaxTokens: maxTokens,
	}
}

// Load is an amount of work at a backend server.
type Load struct {
	Requests int
	Tokens   int
}

// Plus returns the sum.
func (l Load) Plus(m Load) Load { return Load{l.Requests + m.Requests, l.Tokens + m.Tokens} }

// Minus returns the difference, at least zero in each part.
func (l Load) Minus(m Load) Load {
	return Load{max(0, l.Requests-m.Requests), max(0, l.Tokens-m.Tokens)}
}

// Min returns the smaller of each part.
func (l Load) Min(m Load) Load { return Load{min(l.Requests, m.Requests), min(l.Tokens, m.Tokens)} }

// Max returns the greater of each part.
func (l Load) Max(m Load) Load { return Load{max(l.Requests, m.Requests), max(l.Tokens, m.Tokens)} }

// Fits reports whether the load is within the limit in both parts.
func (l Load) Fits(limit Load) bool { return l.Requests <= limit.Requests && l.Tokens <= limit.Tokens }

// NoTokens is a token limit that nothing reaches.
const NoTokens = 1 << 40

// Limits are what a backend server bears.
type Limits struct {
	Cold Load
	Warm Load
}

// Reserve returns the part of the limit that a holder at the depth may use without a valid lease. The
// reserves of distinct depths never add up to more than the limit.
func Reserve(limit Load, depth int) Load {
	left := limit
	for range depth {
		left = left.Minus(half(left))
	}
	return half(left)
}

func half(l Load) Load { return Load{(l.Requests + 1) / 2, (l.Tokens + 1) / 2} }

// State is what is known of an instance.
type State int

// States of an instance. Unknown has the cold limit.
const (
	Unknown State = iota
	Cold
	Warm
)

// Report is a load report as the owner received it.
type Report struct {
	Instance string
	State    State
	// Running counts every request that the engine holds, running or waiting.
	Running int
	// Age is how old the report was when the engine sent it.
	Age time.Duration
	// Open says that the group is complete.
	Open bool
}

// Key identifies a grant: the asking process and its number.
type Key struct {
	Holder string
	ID     uint64
}

// Ask asks for a grant.
type Ask struct {
	Key    Key
	Tokens int
}

// Status is the answer to an ask.
type Status int

// Answers to an ask.
const (
	// Granted gives the grant.
	Granted Status = iota + 1
	// Busy means that the limit is reached.
	Busy
	// NotOwner means that another node owns the server.
	NotOwner
	// Waiting means that the owner waits until grants of earlier owners have run out.
	Waiting
	// Closed means that the route is closed or that no recent report exists.
	Closed
)

// Reply answers an ask.
type Reply struct {
	Key      Key
	Status   Status
	Instance string
	Fence    uint64
	TTL      time.Duration
}

// End says what a release proves.
type End int

// Ends of a grant.
const (
	// Unsure means that the request may be at the engine, or may still arrive there.
	Unsure End = iota
	// Unused means that no byte was sent.
	Unused
	// Ended means that the engine has stated the end of the request.
	Ended
)

// Release ends a grant.
type Release struct {
	Key Key
	End End
	// Instance and State are what the engine said of itself, or empty.
	Instance string
	State    State
}

// EarlierHolder is an earlier owner that has not been confirmed gone.
type EarlierHolder struct {
	ID    string
	Depth int
}

// Tenure says on which terms an owner owns.
type Tenure struct {
	Fence   uint64
	Depth   int
	Earlier []EarlierHolder
	// Retaken means that no other node owned the server since this owner's last tenure.
	Retaken bool
	// Clean means that no grant of an earlier owner is out.
	Clean bool
}

// grant is one grant that counts against the limit.
type grant struct {
	key    Key
	tokens int
	given  time.Time
	unsure bool
}

// largest returns the sum of the n largest of the grants.
func largest(grants []*grant, n int) Load {
	n = min(n, len(grants))
	sizes := make([]int, 0, len(grants))
	for _, g := range grants {
		sizes = append(sizes, g.tokens)
	}
	slices.Sort(sizes)
	l := Load{Requests: n}
	for _, s := range sizes[len(sizes)-n:] {
		l.Tokens += s
	}
	return l
}

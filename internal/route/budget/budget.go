// Package budget enforces a limit on one backend server that several nodes share. The owner of the limit issues
// grants, and holders use each grant to send one request. Each grant is for one instance of the server, which is
// one run of its process.
//
// A tenure is a period during which a node owns a limit. Its fencing number is higher than those of earlier
// tenures. When the owner's lease expires, another node may take over before the owner learns that it has lost
// its tenure. Until it learns this, the owner may still grant a part of the limit, its reserve. The depth of an
// owner determines the size of its reserve. The owner and all earlier owners that may still grant have distinct
// depths.
//
// Owner and Holder do no I/O: they take events and the time, and return answers. The owner never exceeds the
// limit as long as four conditions hold. A grant is used only within its validity. A node whose lease has expired
// grants no more than its reserve. A load report that was made after the last possible send includes every
// request that can still run on an earlier grant. A request that has ended never starts again.
package budget

import (
	"slices"
	"time"
)

// Default times of the protocol.
const (
	// DefaultTTL is how long a grant may be used, counted from when its ask was sent.
	DefaultTTL = 2 * time.Second
	// DefaultMaxSendDelay is how long a holder may be paused between its last check of a grant and the send.
	DefaultMaxSendDelay = 30 * time.Second
	// DefaultWarmSlack is added to the TTL when an owner takes over a warm instance and waits for earlier
	// grants.
	DefaultWarmSlack = time.Second
	// DefaultReportAge is the maximum age of a load report on which grants may be based.
	DefaultReportAge = 3 * time.Second
	// DefaultPropagationTime is the time within which a new configuration is in force on all nodes.
	DefaultPropagationTime = 4 * time.Second
)

// Config configures an Owner.
type Config struct {
	TTL          time.Duration
	MaxSendDelay time.Duration
	WarmSlack    time.Duration
	ReportAge    time.Duration
	// PropagationTime is the maximum time by which another owner may learn of a lowered limit or state later than this
	// one. It must be at least ReportAge and at least the maximum age of the configuration.
	PropagationTime time.Duration
	// MaxRun is the maximum run time of a request, after which the holder cancels it. On a warm instance,
	// inherited load and expired grants are dropped after MaxRun plus TTL plus MaxSendDelay.
	MaxRun time.Duration
	// MaxTokens is the maximum number of tokens that one request may hold. It is used as the size of requests
	// whose grants are unknown, such as those of earlier owners.
	MaxTokens int
}

// DefaultConfig returns the default times, for requests that end within maxRun and hold at most maxTokens.
func DefaultConfig(maxRun time.Duration, maxTokens int) Config {
	return Config{
		TTL: DefaultTTL, MaxSendDelay: DefaultMaxSendDelay, WarmSlack: DefaultWarmSlack, ReportAge: DefaultReportAge,
		PropagationTime: DefaultPropagationTime, MaxRun: maxRun, MaxTokens: maxTokens,
	}
}

// Load is an amount of work at a backend server.
type Load struct {
	Requests int
	Tokens   int
}

// Plus returns the sum.
func (l Load) Plus(m Load) Load { return Load{l.Requests + m.Requests, l.Tokens + m.Tokens} }

// Minus returns the difference. Neither field goes below zero.
func (l Load) Minus(m Load) Load {
	return Load{max(0, l.Requests-m.Requests), max(0, l.Tokens-m.Tokens)}
}

// Min returns the minimum of each field.
func (l Load) Min(m Load) Load { return Load{min(l.Requests, m.Requests), min(l.Tokens, m.Tokens)} }

// Max returns the maximum of each field.
func (l Load) Max(m Load) Load { return Load{max(l.Requests, m.Requests), max(l.Tokens, m.Tokens)} }

// Fits reports whether both fields are within the limit.
func (l Load) Fits(limit Load) bool { return l.Requests <= limit.Requests && l.Tokens <= limit.Tokens }

// UnlimitedTokens is a token limit that is never reached.
const UnlimitedTokens = 1 << 40

// Limits are the capacity of a backend server in its cold and warm state.
type Limits struct {
	Cold Load
	Warm Load
}

// Reserve returns the part of the limit that an owner at the given depth may grant without a valid lease. The
// reserves of distinct depths never add up to more than the limit.
func Reserve(limit Load, depth int) Load {
	left := limit
	for range depth {
		left = left.Minus(half(left))
	}
	return half(left)
}

func half(l Load) Load { return Load{(l.Requests + 1) / 2, (l.Tokens + 1) / 2} }

// State is the known state of an instance.
type State int

// States of an instance. The cold limit applies to Unknown.
const (
	Unknown State = iota
	Cold
	Warm
)

// Report is a load report as received by the owner.
type Report struct {
	Instance string
	State    State
	// Running is the number of requests that the engine holds, both running and queued.
	Running int
	// Age is the age of the report at the time the engine sent it.
	Age time.Duration
	// GroupComplete is set if the serving group is complete.
	GroupComplete bool
}

// Key identifies a grant by the requesting process and a number that is unique in it.
type Key struct {
	Holder string
	ID     uint64
}

// Ask is a request for a grant.
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
	// Busy means that the limit has been reached.
	Busy
	// NotOwner means that this node does not own the server's limit.
	NotOwner
	// Waiting means that the owner is waiting for the grants of earlier owners to expire.
	Waiting
	// Closed means that the route is closed, that there is no recent load report, or that an answer named an
	// instance without a report.
	Closed
)

// Reply is the answer to an ask.
type Reply struct {
	Key      Key
	Status   Status
	Instance string
	Fence    uint64
	TTL      time.Duration
}

// End is what a release proves about its grant.
type End int

// Ways in which a grant ends.
const (
	// EndUnknown means that the request may be running on the engine, or may still arrive there.
	EndUnknown End = iota
	// EndNotStarted means that no byte of the request was sent.
	EndNotStarted
	// EndConfirmed means that the engine has reported the end of the request.
	EndConfirmed
)

// Release ends a grant.
type Release struct {
	Key Key
	End End
	// Instance and State are what the engine reported about itself, or empty.
	Instance string
	State    State
}

// EarlierOwner is an earlier owner that has not been confirmed to have stopped granting.
type EarlierOwner struct {
	ID    string
	Depth int
}

// Tenure is a period during which a node owns the limit of a server.
type Tenure struct {
	// Fence is the fencing number. It increases with every tenure.
	Fence uint64
	// Depth determines the owner's reserve. No owner in Earlier has the same depth.
	Depth   int
	Earlier []EarlierOwner
	// Continued is set if no other node owned the limit since this owner's last tenure, whose fencing number is Previous.
	Continued bool
	Previous  uint64
	// Clean is set if no grant of an earlier owner is outstanding.
	Clean bool
}

// grant is a grant that counts against the limit.
type grant struct {
	key       Key
	tokens    int
	grantedAt time.Time
	unsure    bool
}

// largestLoad returns the total load of the n largest grants.
func largestLoad(grants []*grant, n int) Load {
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

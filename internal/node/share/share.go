// Package share manages the budgets of backend servers that are shared between nodes. Servers are divided
// into shards. Each shard has a duty, which is a lease that one node holds at a time (see package lease). The
// node that holds the duty of a shard owns the budgets of its servers: it polls their load reports, answers
// asks for grants and sends load digests. The package also acquires grants for the node's own requests.
//
// A grant takes one round trip to the owner, or none when the node owns the shard itself. Acquiring one
// never waits for a call to the table or to an engine.
package share

import (
	"context"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"geraniumhollow/internal/conf/view"
	"geraniumhollow/internal/fleet/lease"
	"geraniumhollow/internal/node/relay"
	"geraniumhollow/internal/plat/engine"
	"geraniumhollow/internal/route/budget"
	"geraniumhollow/internal/wire/frame"
	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
	"github.com/zeebo/xxh3"
)

// DefaultShards is the number of shards for a fleet of about 600 backend servers and 380 nodes.
const DefaultShards = 64

// dutyPrefix is the prefix of the duty names of shards.
const dutyPrefix = "shard/"

// Errors of Acquire. Each means that the request has not been sent.
var (
	// ErrNoOwner means that the owner is unknown, unreachable, or no longer the owner.
	ErrNoOwner = errors.New("owner of the shard is unknown or unreachable")
	// ErrBusy means that the limit of the backend server is reached.
	ErrBusy = errors.New("backend server is at its limit")
	// ErrWaiting means that a new owner is waiting until the grants of earlier owners have expired.
	ErrWaiting = errors.New("new owner is waiting for earlier grants to expire")
	// ErrClosed means that the route to the backend server is closed.
	ErrClosed = errors.New("route to the backend server is closed")
)

// Node is a live node.
type Node struct {
	Name       string
	DataCentre string
}

// Peers sends messages to other nodes.
type Peers interface {
	// Ask sends an ask and waits for the reply.
	Ask(ctx context.Context, node string, a frame.GrantAsk) (frame.GrantReply, error)
	// Release sends a release. It returns nil once the node has acknowledged it.
	Release(ctx context.Context, node string, r frame.GrantRelease) error
	// Digest sends a digest without blocking. It drops the digest if the node can't be reached.
	Digest(node string, d frame.LoadDigest)
}

// Leases is the part of lease.Manager that provides the duties of this process.
type Leases interface {
	Holds(duty string, fence uint64) bool
	Tenures() []lease.Tenure
	Holder(duty string) string
	DueToMove(prefix string) (string, bool)
	ReleaseDuty(duty string, clean bool)
	ConfirmUnused(duty string)
}

var _ Leases = (*lease.Manager)(nil)

// Deps are the dependencies of a Shares. The callbacks DigestReceived, RouteClosed and RouteChanged are optional.
type Deps struct {
	Log    hclog.Logger
	Peers  Peers
	Leases Leases
	View   func() *view.View
	// Nodes returns the live nodes including this one.
	Nodes func() []Node
	// Load requests the load report of a backend server.
	Load func(ctx context.Context, s view.Server) (engine.Report, error)
	// DigestReceived is called for each received digest, including the node's own, with the time of receipt.
	DigestReceived func(d frame.LoadDigest, at time.Time)
	// RouteClosed is called when the open route of a server closes.
	RouteClosed func(server string)
	// RouteChanged is called when a route opens or closes. It must not block or call methods of Shares.
	RouteChanged func(c RouteChange)
}

// Config configures a Shares.
type Config struct {
	Node string
	// Incarnation identifies this process of the node.
	Incarnation string
	// Shards is the number of shards; 0 selects DefaultShards.
	Shards int
}

// Shares implements the shared budgets on one node. It is safe for concurrent use.
type Shares struct {
	cfg  Config
	deps Deps

	mu      sync.RWMutex
	version uint64
	servers map[string]*serverBudget

	// holderMu guards holder, pendingReleases, fixedInUse and routes.
	holderMu        sync.Mutex
	holder          *budget.Holder
	pendingReleases map[uint64]*budget.PendingRelease
	fixedInUse      map[string]int
	routes          map[string]watchedRoute
	releaseQueue    chan *budget.PendingRelease

	watcherCache watcherCache
}

var _ relay.Granter = (*Shares)(nil)

// serverBudget is the owner's state of one backend server. It exists for every server in service, because a
// node may become the owner of any of them.
type serverBudget struct {
	name           string // never changes
	mu             sync.Mutex
	server         view.Server
	duty           string
	owner          *budget.Owner
	report         engine.Report
	reportMadeAt   time.Time // earliest time at which the oldest part of the report can have been made
	openUntil      time.Time
	lastRoute      RouteChange // the last one passed to Deps.RouteChanged
	polling        bool
	nextPoll       time.Time
	nextDigest     time.Time
	lastDigestOpen bool // whether the route was open in the last digest
}

// watchedRoute is the state of a server's route at a node that watches it.
type watchedRoute struct {
	openUntil time.Time
	open      bool
}

// releaseQueueSize is the number of releases that can wait to be sent; further ones are sent at the next
// retry.
const releaseQueueSize = 1024

// New returns a Shares that owns no shard yet.
func New(cfg Config, deps Deps) *Shares {
	if cfg.Shards == 0 {
		cfg.Shards = DefaultShards
	}
	if deps.DigestReceived == nil {
		deps.DigestReceived = func(frame.LoadDigest, time.Time) {}
	}
	if deps.RouteClosed == nil {
		deps.RouteClosed = func(string) {}
	}
	if deps.RouteChanged == nil {
		deps.RouteChanged = func(RouteChange) {}
	}
	return &Shares{
		cfg: cfg, deps: deps, servers: make(map[string]*serverBudget),
		holder:          budget.NewHolder(cfg.Incarnation, budget.DefaultTTL),
		pendingReleases: make(map[uint64]*budget.PendingRelease),
		fixedInUse:      make(map[string]int),
		routes:          make(map[string]watchedRoute),
		releaseQueue:    make(chan *budget.PendingRelease, releaseQueueSize),
	}
}

// Duties returns the names of the duties of all shards.
func Duties(shards int) []string {
	out := make([]string, 0, shards)
	for i := range shards {
		out = append(out, dutyPrefix+strconv.Itoa(i))
	}
	return out
}

// ShardDuty returns the duty of the shard that a backend server belongs to.
func ShardDuty(server string, shards int) string {
	return dutyPrefix + strconv.FormatUint(xxh3.HashString(server)%uint64(max(1, shards)), 10) //nolint:gosec // Positive.
}

// configure updates the servers to the active configuration.
func (s *Shares) configure(now time.Time) {
	v := s.deps.View()
	s.mu.Lock()
	defer s.mu.Unlock()
	if v.Version == s.version {
		return
	}
	s.version = v.Version
	configured := make(map[string]bool)
	for _, m := range v.Document().Models {
		model, _ := v.Model(m.Name)
		for _, srv := range v.Servers(m.Name) {
			configured[srv.Name] = true
			s.configureServer(now, v, srv, model.ContextTokens)
		}
	}
	for name, o := range s.servers {
		if !configured[name] {
			// The server is kept because its outstanding grants delay the consent for its shard.
			o.disable()
		}
	}
}

func (s *Shares) configureServer(now time.Time, v *view.View, srv view.Server, maxTokens int) {
	limits := limitsOf(srv)
	o, ok := s.servers[srv.Name]
	if !ok {
		requestTimeout := time.Duration(v.Limits.RequestTimeoutMs) * time.Millisecond
		o = &serverBudget{
			name:  srv.Name,
			duty:  ShardDuty(srv.Name, s.cfg.Shards),
			owner: budget.NewOwner(budget.DefaultConfig(requestTimeout, maxTokens), limits),
		}
		s.servers[srv.Name] = o
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.server = srv
	o.owner.SetLimits(now, limits)
}

// disable closes the route of a server that was removed from the configuration.
func (o *serverBudget) disable() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.openUntil = time.Time{}
	o.owner.SetLimits(time.Now(), budget.Limits{})
}

// limitsOf returns the limits of a server. The token limit is the same for cold and warm engines, because a
// cold engine has the same memory.
func limitsOf(srv view.Server) budget.Limits {
	tokens := srv.Capacity.WarmTokens
	if tokens == 0 {
		tokens = budget.UnlimitedTokens
	}
	return budget.Limits{
		Cold: budget.Load{Requests: srv.Capacity.ColdRequests, Tokens: tokens},
		Warm: budget.Load{Requests: srv.Capacity.WarmRequests, Tokens: tokens},
	}
}

func (s *Shares) findServer(server string) (*serverBudget, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	o, ok := s.servers[server]
	return o, ok
}

// sortedServers returns the servers sorted by name.
func (s *Shares) sortedServers() []*serverBudget {
	s.mu.RLock()
	defer s.mu.RUnlock()
	out := make([]*serverBudget, 0, len(s.servers))
	for _, o := range s.servers {
		out = append(out, o)
	}
	slices.SortFunc(out, func(a, b *serverBudget) int { return strings.Compare(a.name, b.name) })
	return out
}

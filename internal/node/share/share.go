// Package share runs the shared budgets of a node: it owns the shards whose duties the node holds,
// polls the load reports of their servers, answers asks and sends digests, and it acquires grants for
// the node's own requests.
//
// A grant costs one round trip to the owner, or none when the node owns the shard itself. It waits for
// no table call and no engine call.
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

// DefaultShards is the number of shards of a fleet of today's size.
const DefaultShards = 64

// dutyPrefix starts the names of the shards' duties.
const dutyPrefix = "shard/"

// Errors of Acquire. Each means that the request has not been sent.
var (
	// ErrNoOwner means that the owner is unknown, unreachable, or not the owner any more.
	ErrNoOwner = errors.New("owner of the shard unknown or unreachable")
	// ErrBusy means that the limit of the backend server is reached.
	ErrBusy = errors.New("backend server is at its limit")
	// ErrWaiting means that a new owner waits until earlier grants have run out.
	ErrWaiting = errors.New("owner waits for earlier grants")
	// ErrClosed means that the route to the group is closed.
	ErrClosed = errors.New("route is closed")
)

// Node is one live node.
type Node struct {
	Name       string
	DataCentre string
}

// Peers carries messages to other nodes.
type Peers interface {
	// Ask sends an ask and waits for the reply.
	Ask(ctx context.Context, node string, a frame.GrantAsk) (frame.GrantReply, error)
	// Release returns nil once the node has taken the release.
	Release(ctx context.Context, node string, r frame.GrantRelease) error
	// Digest sends a digest if the node can be reached. It does not wait.
	Digest(node string, d frame.LoadDigest)
}

// Leases are the duties of this process, as lease.Keeper has them.
type Leases interface {
	Holds(duty string, fence uint64) bool
	Tenures() []lease.Tenure
	Holder(duty string) string
	Wants(prefix string) (string, bool)
	Yield(duty string, clean bool)
	Consent(duty string)
}

var _ Leases = (*lease.Keeper)(nil)

// Deps are what a Shares works with. All are required but the callbacks.
type Deps struct {
	Log    hclog.Logger
	Peers  Peers
	Leases Leases
	View   func() *view.View
	// Nodes returns the live nodes, this one included.
	Nodes func() []Node
	// Load asks a backend server for its report.
	Load func(ctx context.Context, s view.Server) (engine.Report, error)
	// Heard gets each digest, own ones too, with the time of its receipt.
	Heard func(d frame.LoadDigest, at time.Time)
	// Closed is called when the route of a server that was open closes.
	Closed func(server string)
	// Route is told why a route opens or closes. It returns at once and must not call back.
	Route func(c RouteChange)
}

// Config shapes a Shares.
type Config struct {
	Node        string
	Incarnation string
	Shards      int
}

// Shares are the shared budgets of one node. It is safe for concurrent use.
type Shares struct {
	cfg  Config
	deps Deps

	mu      sync.RWMutex
	version uint64
	servers map[string]*owned

	holdMu  sync.Mutex
	hold    *budget.Holder
	back    map[uint64]*budget.Returned
	fixed   map[string]int
	routes  map[string]route
	sending chan *budget.Returned

	watch watchList
}

var _ relay.Granter = (*Shares)(nil)

// owned is the owner's side of one backend server. It exists for every server in service, because a
// node may become the owner of any.
type owned struct {
	name      string // never changes
	mu        sync.Mutex
	server    view.Server
	duty      string
	owner     *budget.Owner
	report    engine.Report
	made      time.Time // earliest time at which the oldest part of the report can have been made
	openUntil time.Time
	state     RouteChange // the last one that Route was told
	polling   bool
	pollAt    time.Time
	digestAt  time.Time
	sentOpen  bool // the last digest said that the route is open
}

// route is what a watcher knows of a server.
type route struct {
	openUntil time.Time
	open      bool
}

// sendQueue is how many releases may wait for their first try; more wait for the next retry.
const sendQueue = 1024

// New returns shares that own nothing.
func New(cfg Config, deps Deps) *Shares {
	if cfg.Shards == 0 {
		cfg.Shards = DefaultShards
	}
	if deps.Heard == nil {
		deps.Heard = func(frame.LoadDigest, time.Time) {}
	}
	if deps.Closed == nil {
		deps.Closed = func(string) {}
	}
	if deps.Route == nil {
		deps.Route = func(RouteChange) {}
	}
	return &Shares{
		cfg: cfg, deps: deps, servers: make(map[string]*owned),
		hold:    budget.NewHolder(cfg.Incarnation, budget.DefaultTTL),
		back:    make(map[uint64]*budget.Returned),
		fixed:   make(map[string]int),
		routes:  make(map[string]route),
		sending: make(chan *budget.Returned, sendQueue),
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

// Duty returns the duty of the shard that a backend server belongs to.
func Duty(server string, shards int) string {
	return dutyPrefix + strconv.FormatUint(xxh3.HashString(server)%uint64(max(1, shards)), 10) //nolint:gosec // Positive.
}

// configure brings the servers in line with the configuration in force.
func (s *Shares) configure(now time.Time) {
	v := s.deps.View()
	s.mu.Lock()
	defer s.mu.Unlock()
	if v.Version == s.version {
		return
	}
	s.version = v.Version
	seen := make(map[string]bool)
	for _, m := range v.Document().Models {
		model, _ := v.Model(m.Name)
		for _, srv := range v.Servers(m.Name) {
			seen[srv.Name] = true
			s.configureServer(now, v, srv, model.ContextTokens)
		}
	}
	for name, o := range s.servers {
		if !seen[name] {
			// Its grants that are out still have to be counted for the consent of the shard.
			o.withdraw()
		}
	}
}

func (s *Shares) configureServer(now time.Time, v *view.View, srv view.Server, maxTokens int) {
	limits := limitsOf(srv)
	o, ok := s.servers[srv.Name]
	if !ok {
		run := time.Duration(v.Limits.RequestTimeoutMs) * time.Millisecond
		o = &owned{
			name:  srv.Name,
			duty:  Duty(srv.Name, s.cfg.Shards),
			owner: budget.NewOwner(budget.DefaultConfig(run, maxTokens), limits),
		}
		s.servers[srv.Name] = o
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.server = srv
	o.owner.SetLimits(now, limits)
}

// withdraw closes the route of a server that has left the configuration.
func (o *owned) withdraw() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.openUntil = time.Time{}
	o.owner.SetLimits(time.Now(), budget.Limits{})
}

// limitsOf returns the limits of a server. The memory of an engine is the same in cold start, so its
// tokens have one limit.
func limitsOf(srv view.Server) budget.Limits {
	tokens := srv.Capacity.WarmTokens
	if tokens == 0 {
		tokens = budget.NoTokens
	}
	return budget.Limits{
		Cold: budget.Load{Requests: srv.Capacity.ColdRequests, Tokens: tokens},
		Warm: budget.Load{Requests: srv.Capacity.WarmRequests, Tokens: tokens},
	}
}

func (s *Shares) find(server string) (*owned, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	o, ok := s.servers[server]
	return o, ok
}

// all returns the servers in the order of their names.
func (s *Shares) all() []*owned {
	s.mu.RLock()
	defer s.mu.RUnlock()
	out := make([]*owned, 0, len(s.servers))
	for _, o := range s.servers {
		out = append(out, o)
	}
	slices.SortFunc(out, func(a, b *owned) int { return strings.Compare(a.name, b.name) })
	return out
}

package edge

import (
	"time"

	"geraniumhollow/internal/core/sets"
	"geraniumhollow/internal/fleet/index"
	"geraniumhollow/internal/fleet/mirror"
	"geraniumhollow/internal/node/duties"
	"geraniumhollow/internal/node/keeper"
	"geraniumhollow/internal/node/pass"
	"geraniumhollow/internal/plat/cloud"
	"geraniumhollow/internal/plat/table"
	"geraniumhollow/internal/report/metric"
	"geraniumhollow/internal/route/match"
	"github.com/hashicorp/go-hclog"
)

// Settings configure a node. They are comparable, so that a reload can detect a change.
type Settings struct {
	Node       string
	DataCentre string
	IP         string
	// CallerAddress is the listening address for callers, ReadyAddress the one for readiness checks of the load
	// balancer.
	CallerAddress string
	ReadyAddress  string
	StoreAddress  string
	// PeerPort is the port on IP for connections from other nodes, ForwardPort that for requests that they pass on, or 0 to take
	// none.
	PeerPort    int
	ForwardPort int
	// Region is the region of the data centre. Requests are not passed on to other regions.
	Region string
	// Descriptors is the number of file descriptors that the node may use.
	Descriptors int
	// Capacity is the processor capacity of the host, in cores of ordinary speed.
	Capacity float64
	// FirstStart is true if all nodes of the system are starting for the first time.
	FirstStart bool
	// ChangeTime is the time within which a node must learn of a change of the configuration or of a backend server.
	ChangeTime time.Duration
	// Grace is the maximum time between the signal to stop and the end of the process.
	Grace time.Duration
	// RetryRatio and RetrySlack limit the retries of a service by all nodes together in a window of 10 s:
	// RetryRatio times the requests in the window, plus RetrySlack.
	RetryRatio float64
	RetrySlack float64
	// ColdOverage and ColdSlack limit the requests that all nodes may send to a cold backend server in a second:
	// ColdOverage times its rate, plus ColdSlack requests.
	ColdOverage float64
	ColdSlack   float64
	// HeartbeatInterval is the time between heartbeats that renew a backend server's registration.
	HeartbeatInterval time.Duration
	// StallTime is how long a group may lack a member before its head counts as broken and serves no more requests.
	StallTime time.Duration
	// Cloud configures the calls of the platform's API. The zero value turns them off.
	Cloud CloudSettings
}

// CloudSettings configure the calls of the platform's API.
type CloudSettings = duties.Settings

// Families are the names of the row families that a node replicates.
type Families struct {
	Servers  string
	Operator string
}

// OperatorState is the state that operators have requested.
type OperatorState struct {
	// Document is a new configuration, or nil if it has not changed.
	Document *match.Document
	// OutOfService are the data centres that are out of service and get no new work.
	OutOfService sets.Set[string]
}

// Decoder decodes rows of the store.
type Decoder interface {
	Families() Families
	Servers(u mirror.Update) index.Change
	// Operator returns the requested state after an update. The argument out holds the data centres that were out
	// of service before.
	Operator(u mirror.Update, out sets.Set[string]) OperatorState
	// Keep reports whether a row stays in force when the store was restored from an older copy, see mirror.Config.
	Keep(known table.Row, restored *table.Row) bool
}

// Config holds the dependencies of a node. All fields are required.
type Config struct {
	// Settings returns the current settings. A node reads them when it starts, at regular intervals, and whenever
	// it receives from Reload.
	Settings func() (Settings, error)
	Reload   <-chan struct{}
	// NewStore creates a client for the store at an address.
	NewStore func(address string) Store
	// NewCloud creates a client for the platform's API at an address, whose calls come from a local IP address.
	NewCloud func(address, source string) cloud.API
	Codec    pass.Codec
	// Engines queries and controls backend servers.
	Engines keeper.Engines
	Decoder Decoder
	// MetricsPort is the port of the metrics page.
	MetricsPort int
	Metrics     *metric.Set
	Log         hclog.Logger
}

// Store is the platform's store.
type Store interface {
	table.Table
	table.Feed
}

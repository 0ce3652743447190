package edge

import (
	"time"

	"geraniumhollow/internal/core/sets"
	"geraniumhollow/internal/fleet/index"
	"geraniumhollow/internal/fleet/mirror"
	"geraniumhollow/internal/node/keeper"
	"geraniumhollow/internal/node/pass"
	"geraniumhollow/internal/plat/table"
	"geraniumhollow/internal/report/metric"
	"geraniumhollow/internal/route/match"
	"github.com/hashicorp/go-hclog"
)

// Settings are what a node is told about itself and its surroundings. They are comparable.
type Settings struct {
	Node       string
	DataCentre string
	IP         string
	// CallerAddress takes connections of callers, ReadyAddress the balancer's questions.
	CallerAddress string
	ReadyAddress  string
	StoreAddress  string
	// PeerPort is for links of other nodes, on IP.
	PeerPort    int
	Descriptors int
	// Capacity is the processor time of the host, in cores.
	Capacity float64
	// FirstStart says that the whole system starts, for the first time.
	FirstStart bool
	// ChangeTime is how long a change of the configuration or of a backend server may take to be known.
	ChangeTime time.Duration
	// Grace is the time between a signal to stop and the end of the process.
	Grace time.Duration
	// RetryRatio and RetrySlack bound the attempts beyond the first over all nodes.
	RetryRatio float64
	RetrySlack float64
	// ColdOverage and ColdSlack are the factor and the number of requests by which the rate of a cold
	// backend server may be exceeded in a second.
	ColdOverage float64
	ColdSlack   float64
	// BeatInterval is the time between renewals of a backend server's registration.
	BeatInterval time.Duration
	// StallTime is how long a group stands without a member before it is broken.
	StallTime time.Duration
}

// Families are the families of rows that a node follows.
type Families struct {
	Servers  string
	Operator string
}

// Wishes are what operators want.
type Wishes struct {
	// Document is a new configuration, or nil if it has not changed.
	Document *match.Document
	// Out are the data centres that get no new work.
	Out sets.Set[string]
}

// Decoder turns rows into the product's types.
type Decoder interface {
	Families() Families
	Servers(u mirror.Update) index.Change
	// Operator returns the wishes after a change; out are the data centres that were out before.
	Operator(u mirror.Update, out sets.Set[string]) Wishes
}

// Config is what a node is made of. All fields are required.
type Config struct {
	// Settings returns the settings as they are now. A node reads them when it starts, and again when
	// Reload says so or some time has passed.
	Settings func() (Settings, error)
	Reload   <-chan struct{}
	// Store makes a client of the store at an address.
	Store func(address string) Store
	Codec pass.Codec
	// Engines gives orders to backend servers.
	Engines keeper.Engines
	Decoder Decoder
	// MetricsPort is where the metrics page is served.
	MetricsPort int
	Metrics     *metric.Set
	Log         hclog.Logger
}

// Store is the platform's store.
type Store interface {
	table.Table
	table.Feed
}

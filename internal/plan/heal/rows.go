package heal

import (
	"encoding/json"
	"strings"

	"geraniumhollow/internal/plan/form"
	"geraniumhollow/internal/plat/table"
	"github.com/cockroachdb/errors"
)

// Prefixes of the keys of host and group rows.
const (
	HostPrefix  = "host/"
	GroupPrefix = "group/"
)

// HostState is what the keeper of a domain tells the keepers of other domains about a host.
type HostState string

// States of a host. Only a usable host without a group is given to one.
const (
	Usable  HostState = "usable"
	Lost    HostState = "lost"
	Gone    HostState = "gone"
	Held    HostState = "held_back"
	Leaving HostState = "leaving"
	Out     HostState = "out_of_service"
)

// HostRow is the value of the row host/<name>. Its revision is the lock on the host's membership.
type HostRow struct {
	Group      string         `json:"group,omitempty"`
	Generation uint64         `json:"generation,omitempty"`
	State      HostState      `json:"state"`
	Loaded     []form.Weights `json:"loaded,omitempty"`
	Fence      uint64         `json:"fence"`
}

// GroupRow is the value of the row group/<name>. It is never deleted, so that a generation is used
// once.
type GroupRow struct {
	Generation uint64 `json:"generation"`
	// Domain is where the group runs, or last ran when it has no hosts.
	Domain string `json:"domain"`
	// Home is the domain from which the group was moved; empty if it was not.
	Home string `json:"home,omitempty"`
	// Hosts are the members, leader first; empty while the group waits.
	Hosts    []string     `json:"hosts,omitempty"`
	Weights  form.Weights `json:"weights"`
	Adapters []string     `json:"adapters,omitempty"`
	// Ready is set when the route of this generation has been open.
	Ready bool   `json:"ready,omitempty"`
	Fence uint64 `json:"fence"`
}

// Displaced reports whether the group runs in another domain than its first.
func (g GroupRow) Displaced() bool { return g.Home != "" && g.Home != g.Domain }

// Versioned is a row with its revision; table.Absent if it does not exist.
type Versioned[T any] struct {
	Row      T
	Revision uint64
}

// Snapshot is what was read of the table.
type Snapshot struct {
	Hosts  map[string]Versioned[HostRow]
	Groups map[string]Versioned[GroupRow]
}

// ReadSnapshot decodes the rows of both kinds; other rows are an error.
func ReadSnapshot(rows []table.Row) (Snapshot, error) {
	s := Snapshot{Hosts: make(map[string]Versioned[HostRow]), Groups: make(map[string]Versioned[GroupRow])}
	for _, r := range rows {
		var err error
		if name, ok := strings.CutPrefix(r.Key, HostPrefix); ok {
			v := Versioned[HostRow]{Revision: r.Revision}
			err = json.Unmarshal(r.Value, &v.Row)
			s.Hosts[name] = v
		} else if name, ok := strings.CutPrefix(r.Key, GroupPrefix); ok {
			v := Versioned[GroupRow]{Revision: r.Revision}
			err = json.Unmarshal(r.Value, &v.Row)
			s.Groups[name] = v
		} else {
			err = errors.New("neither a host nor a group")
		}
		if err != nil {
			return Snapshot{}, errors.Newf("decode row %s: %w", r.Key, err)
		}
	}
	return s, nil
}

// Commit is an order to the shell: one transaction for all rows of a change, with a condition on the
// revision of each.
type Commit struct {
	ID     uint64
	Hosts  map[string]Versioned[HostRow]
	Groups map[string]Versioned[GroupRow]
}

// Txn returns the transaction of a commit.
func (c Commit) Txn() (table.Txn, error) {
	var txn table.Txn
	for name, v := range c.Hosts {
		if err := add(&txn, HostPrefix+name, v.Row, v.Revision); err != nil {
			return table.Txn{}, err
		}
	}
	for name, v := range c.Groups {
		if err := add(&txn, GroupPrefix+name, v.Row, v.Revision); err != nil {
			return table.Txn{}, err
		}
	}
	return txn, nil
}

func add(txn *table.Txn, key string, row any, revision uint64) error {
	value, err := json.Marshal(row)
	if err != nil {
		return errors.Newf("encode row %s: %w", key, err)
	}
	txn.Conditions = append(txn.Conditions, table.Condition{Key: key, Revision: revision})
	txn.Puts = append(txn.Puts, table.Put{Key: key, Value: value})
	return nil
}

// Fence returns the fencing number under which the commit was decided.
func (c Commit) Fence() uint64 {
	for _, v := range c.Groups {
		return v.Row.Fence
	}
	for _, v := range c.Hosts {
		return v.Row.Fence
	}
	return 0
}

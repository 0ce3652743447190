package edge

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"geraniumhollow/internal/core/sets"
	"geraniumhollow/internal/core/tasks"
	"geraniumhollow/internal/node/pass"
	"geraniumhollow/internal/plat/table"
	"geraniumhollow/internal/route/crash"
	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
)

// quarantinePrefix is the prefix of the keys of the rows that hold quarantined prompt parts. The nodes share
// quarantines among themselves; the rows are for the case that all nodes end, and give each trial to one node.
const quarantinePrefix = "quarantine/"

const (
	// quarantineInterval is the time between comparisons of the rows with the quarantines of this node.
	quarantineInterval = time.Second
	// quarantineDutyInterval is the time between checks whether this node holds the duty. At the beginning of a tenure, all
	// nodes may have lost the quarantines.
	quarantineDutyInterval = 100 * time.Millisecond
	// claimTimeout limits each call to the store for the claim of a trial, for which a request waits.
	claimTimeout = 300 * time.Millisecond
	// maxQuarantineRows limits the rows that are read, and maxQuarantineChanges the rows that one transaction changes.
	maxQuarantineRows    = 500
	maxQuarantineChanges = 50
)

// quarantineRow is a quarantined part in the store.
type quarantineRow struct {
	Trials int `json:"trials"`
}

// QuarantineConfig holds the dependencies of Quarantines. All are required.
type QuarantineConfig struct {
	Table table.Table
	// Crashes returns the tracker of this node, Share informs the other nodes.
	Crashes func() *pass.CrashTracker
	Share   func(f crash.Findings)
	// Holds reports whether this node keeps the rows.
	Holds func() bool
	// Era returns the latest era of the store that this node has learned of by other means.
	Era func() uint64
	Log hclog.Logger
}

// Quarantines keeps the rows of quarantined parts. The nodes know more than the rows, which go back when the store is
// restored from an older copy: the number of trials only rises, and a part that has proved to be safe is not
// quarantined again because of its row.
type Quarantines struct {
	cfg QuarantineConfig
}

// NewQuarantines returns the keeper of the rows, which does nothing yet.
func NewQuarantines(cfg QuarantineConfig) *Quarantines { return &Quarantines{cfg: cfg} }

// ClaimTrial claims the trial of a quarantined part for this node. It fails if another node has claimed it, or if the
// store does not confirm the claim.
func (k *Quarantines) ClaimTrial(ctx context.Context, p crash.Part, number int) bool {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	row, err := k.cfg.Table.Get(ctx, quarantinePrefix+string(p))
	if err != nil && !errors.Is(err, table.ErrNotFound) {
		k.cfg.Log.Info("cannot read a quarantined prompt part", "part", p, "error", err)
		return false
	}
	if err != nil {
		row = table.Row{Key: quarantinePrefix + string(p), Revision: table.Absent}
	}
	if q, err := decodeQuarantine(row.Value); err == nil && q.Trials >= number {
		k.cfg.Crashes().LearnStored([]crash.Quarantine{{Part: p, Trials: q.Trials}})
		return false
	}
	value, err := encodeQuarantine(number)
	if err != nil {
		k.cfg.Log.Error("cannot encode a quarantined prompt part", "part", p, "error", err)
		return false
	}
	if _, err := k.cfg.Table.Commit(ctx, table.Replace(row, value)); err != nil {
		k.cfg.Log.Info("cannot claim the trial of a quarantined prompt part", "part", p, "error", err)
		return false
	}
	return true
}

func encodeQuarantine(trials int) ([]byte, error) {
	b, err := json.Marshal(quarantineRow{Trials: trials})
	if err != nil {
		return nil, errors.Newf("encode quarantine: %w", err)
	}
	return b, nil
}

func decodeQuarantine(b []byte) (quarantineRow, error) {
	var q quarantineRow
	if err := json.Unmarshal(b, &q); err != nil {
		return quarantineRow{}, errors.Newf("decode quarantine: %w", err)
	}
	return q, nil
}

// storedQuarantines are the rows that this node has read or written.
type storedQuarantines struct {
	// era is that of the store, or an earlier one.
	era  uint64
	rows map[crash.Part]storedQuarantine
}

type storedQuarantine struct {
	row    table.Row
	trials int
}

// Run keeps the rows up to date while this node holds the duty to keep groups. At the beginning of each tenure and era, and
// when another node has changed a row, it reads the rows and tells other nodes what they did not know.
func (k *Quarantines) Run(ctx context.Context) error {
	var stored *storedQuarantines
	var next time.Time
	return tasks.Every(ctx, quarantineDutyInterval, func(ctx context.Context) {
		now := time.Now()
		if !k.cfg.Holds() {
			stored, next = nil, time.Time{}
			return
		}
		if now.Before(next) {
			return
		}
		next = now.Add(quarantineInterval)
		if stored == nil || stored.era != k.cfg.Era() {
			stored = k.load(ctx)
		}
		if stored != nil && !k.update(ctx, stored) {
			stored = nil
		}
	})
}

// load learns the stored quarantines and returns them, or nil if the store cannot be read.
func (k *Quarantines) load(ctx context.Context) *storedQuarantines {
	ctx, cancel := context.WithTimeout(ctx, quarantineInterval)
	defer cancel()
	// The rows are of this era or a later one, as it is read first.
	out := &storedQuarantines{era: k.cfg.Era(), rows: make(map[crash.Part]storedQuarantine)}
	rows, err := k.cfg.Table.Scan(ctx, quarantinePrefix, "", maxQuarantineRows)
	if err != nil {
		k.cfg.Log.Info("cannot read the quarantined prompt parts", "error", err)
		return nil
	}
	list := make([]crash.Quarantine, 0, len(rows))
	for _, r := range rows {
		p := crash.Part(strings.TrimPrefix(r.Key, quarantinePrefix))
		q, err := decodeQuarantine(r.Value)
		if err != nil {
			k.cfg.Log.Warn("a stored quarantine cannot be read, and starts anew", "part", p, "error", err)
		}
		out.rows[p] = storedQuarantine{row: r, trials: q.Trials}
		list = append(list, crash.Quarantine{Part: p, Trials: q.Trials})
	}
	if learned := k.cfg.Crashes().LearnStored(list); len(learned) > 0 {
		k.cfg.Share(crash.Findings{Quarantines: learned})
	}
	return out
}

// update changes the rows of quarantines that are new, ended, or have had more trials. It returns false if the rows have
// to be read again; the next call then tries again.
func (k *Quarantines) update(ctx context.Context, stored *storedQuarantines) bool {
	txn, changed := k.changes(stored)
	if len(txn.Conditions) == 0 {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, quarantineInterval)
	defer cancel()
	revision, err := k.cfg.Table.Commit(ctx, txn)
	if err != nil {
		k.cfg.Log.Info("cannot store the quarantined prompt parts", "error", err)
		return false
	}
	for _, key := range txn.Deletes {
		delete(stored.rows, crash.Part(strings.TrimPrefix(key, quarantinePrefix)))
	}
	for p, s := range changed {
		s.row.Revision = revision
		stored.rows[p] = s
	}
	return true
}

// changes returns a transaction that brings the rows closer to the quarantines of this node, and the rows that it writes.
func (k *Quarantines) changes(stored *storedQuarantines) (table.Txn, map[crash.Part]storedQuarantine) {
	var txn table.Txn
	changed := make(map[crash.Part]storedQuarantine)
	current := sets.New[crash.Part]()
	for _, q := range k.cfg.Crashes().Quarantines() {
		current.Add(q.Part)
		s, ok := stored.rows[q.Part]
		if ok && s.trials >= q.Trials || len(txn.Conditions) == maxQuarantineChanges {
			continue
		}
		value, err := encodeQuarantine(q.Trials)
		if err != nil {
			k.cfg.Log.Error("cannot encode a quarantined prompt part", "part", q.Part, "error", err)
			continue
		}
		key := quarantinePrefix + string(q.Part)
		txn.Conditions = append(txn.Conditions, table.Condition{Key: key, Revision: s.row.Revision})
		txn.Puts = append(txn.Puts, table.Put{Key: key, Value: value})
		changed[q.Part] = storedQuarantine{row: table.Row{Key: key, Value: value}, trials: q.Trials}
	}
	for p, s := range stored.rows {
		if !current.Has(p) && len(txn.Conditions) < maxQuarantineChanges {
			txn.Conditions = append(txn.Conditions, table.Condition{Key: s.row.Key, Revision: s.row.Revision})
			txn.Deletes = append(txn.Deletes, s.row.Key)
		}
	}
	return txn, changed
}

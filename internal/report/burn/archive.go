package burn

import (
	"context"
	"encoding/json"
	"maps"
	"path"
	"slices"
	"time"

	"geraniumhollow/internal/conf/schema"
	"geraniumhollow/internal/core/tasks"
	"geraniumhollow/internal/plat/object"
	"github.com/cockroachdb/errors"
)

// keyPrefix is where snapshots stand: burn/<hour>/<node>-<incarnation>.
const keyPrefix = "burn/"

// hourFormat names the hour of a snapshot, in UTC.
const hourFormat = "2006-01-02T15"

// Archive keeps the buckets of one node in the object store. It is not safe for concurrent use.
type Archive struct {
	store    object.Store
	recorder *Recorder
	writer   string
}

// NewArchive returns an archive of a recorder. The incarnation is part of the key, so that a restarted
// node does not replace what its earlier process wrote in the same hour.
func NewArchive(store object.Store, recorder *Recorder, node, incarnation string) *Archive {
	return &Archive{store: store, recorder: recorder, writer: node + "-" + incarnation}
}

// Write writes the buckets of the current hour, and of the hour before while the current one is young,
// since its last buckets may have grown after the last write. Without requests it writes nothing.
func (a *Archive) Write(ctx context.Context, now time.Time) error {
	hour := now.UTC().Truncate(time.Hour)
	if now.Sub(hour) < 2*BucketLength {
		if err := a.writeHour(ctx, hour.Add(-time.Hour)); err != nil {
			return err
		}
	}
	return a.writeHour(ctx, hour)
}

func (a *Archive) writeHour(ctx context.Context, hour time.Time) error {
	buckets := a.recorder.Buckets(hour, hour.Add(time.Hour))
	if len(buckets) == 0 {
		return nil
	}
	raw, err := json.Marshal(buckets)
	if err != nil {
		return errors.Newf("encode burn snapshot: %w", err)
	}
	key := keyPrefix + hour.Format(hourFormat) + "/" + a.writer
	if err := a.store.Put(ctx, key, raw); err != nil {
		return errors.Newf("write burn snapshot: %w", err)
	}
	return nil
}

// readers bounds the snapshots that are read at the same time. A full fleet has 380 snapshots for each
// hour, and reading them one after the other takes longer than an operator's request may.
const readers = 16

// Snapshots are the counts that all nodes have written.
type Snapshots struct {
	// Nodes has the buckets of each process that wrote a snapshot.
	Nodes [][]Bucket
	// Missing names snapshots that could not be read.
	Missing []string
}

// Report makes a report over the snapshots.
func (s Snapshots) Report(now time.Time, objectives []schema.Objective) Report {
	rep := Make(now, objectives, s.Nodes)
	rep.Missing = s.Missing
	return rep
}

// Load reads the snapshots of the longest window. Snapshots that cannot be read before ctx ends are
// missing.
func Load(ctx context.Context, store object.Store, now time.Time) (Snapshots, error) {
	var keys []string
	first := now.UTC().Add(-SlowLong.Length).Truncate(time.Hour)
	for hour := first; !hour.After(now); hour = hour.Add(time.Hour) {
		list, err := store.List(ctx, keyPrefix+hour.Format(hourFormat)+"/")
		if err != nil {
			return Snapshots{}, errors.Newf("list burn snapshots: %w", err)
		}
		keys = append(keys, list...)
	}
	parts := make([][]Bucket, len(keys))
	failed := make([]bool, len(keys))
	g := tasks.New(ctx)
	for i := range readers {
		g.Go("read burn snapshots", func(ctx context.Context) error {
			for k := i; k < len(keys); k += readers {
				var err error
				parts[k], err = readSnapshot(ctx, store, keys[k])
				failed[k] = err != nil
			}
			return nil
		})
	}
	if err := g.Wait(); err != nil {
		return Snapshots{}, err
	}
	return join(keys, parts, failed), nil
}

// join puts the hours of each writer together.
func join(keys []string, parts [][]Bucket, failed []bool) Snapshots {
	writers := make(map[string][]Bucket)
	var s Snapshots
	for i, key := range keys {
		if failed[i] {
			s.Missing = append(s.Missing, key)
			continue
		}
		writer := path.Base(key)
		writers[writer] = append(writers[writer], parts[i]...)
	}
	for _, w := range slices.Sorted(maps.Keys(writers)) {
		s.Nodes = append(s.Nodes, writers[w])
	}
	return s
}

// Read makes a report over the snapshots of all nodes. A snapshot that cannot be read is named in the
// report.
func Read(ctx context.Context, store object.Store, now time.Time, objectives []schema.Objective) (Report, error) {
	s, err := Load(ctx, store, now)
	if err != nil {
		return Report{}, err
	}
	return s.Report(now, objectives), nil
}

func readSnapshot(ctx context.Context, store object.Store, key string) ([]Bucket, error) {
	if err := ctx.Err(); err != nil {
		return nil, errors.Newf("read burn snapshot: %w", err)
	}
	raw, err := store.Get(ctx, key)
	if err != nil {
		return nil, errors.Newf("read burn snapshot: %w", err)
	}
	var buckets []Bucket
	if err := json.Unmarshal(raw, &buckets); err != nil {
		return nil, errors.Newf("decode burn snapshot: %w", err)
	}
	return buckets, nil
}

package burn

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"geraniumhollow/internal/conf/schema"
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

// Read makes a report over the snapshots of all nodes. A snapshot that cannot be read is named in the
// report.
func Read(ctx context.Context, store object.Store, now time.Time, objectives []schema.Objective) (Report, error) {
	writers := make(map[string][]Bucket)
	var missing []string
	first := now.UTC().Add(-SlowLong.Length).Truncate(time.Hour)
	for hour := first; !hour.After(now); hour = hour.Add(time.Hour) {
		prefix := keyPrefix + hour.Format(hourFormat) + "/"
		keys, err := store.List(ctx, prefix)
		if err != nil {
			return Report{}, errors.Newf("list burn snapshots: %w", err)
		}
		for _, key := range keys {
			buckets, err := readSnapshot(ctx, store, key)
			if err != nil {
				missing = append(missing, key)
				continue
			}
			writer := strings.TrimPrefix(key, prefix)
			writers[writer] = append(writers[writer], buckets...)
		}
	}
	nodes := make([][]Bucket, 0, len(writers))
	for _, b := range writers {
		nodes = append(nodes, b)
	}
	rep := Make(now, objectives, nodes)
	rep.Missing = missing
	return rep, nil
}

func readSnapshot(ctx context.Context, store object.Store, key string) ([]Bucket, error) {
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

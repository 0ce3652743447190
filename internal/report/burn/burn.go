// Package burn keeps what requests did to the error budgets of service-level objectives, and reports
// how fast the budgets burn, with the causes and data centres that burned them.
//
// Each node counts its own requests in buckets of fixed length and writes each hour's buckets to the
// object store as one object, so that a report outlives any node.
package burn

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"geraniumhollow/internal/conf/schema"
)

// Cause says why a request did not meet its objective.
type Cause string

// Causes. Good marks a request that met its objective.
const (
	Good          Cause = "good"
	SlowFirst     Cause = "slow_first_token"
	SlowBetween   Cause = "slow_between_tokens"
	Refused       Cause = "refused"
	Failed        Cause = "failed"
	OutcomeUnsure Cause = "outcome_unknown"
)

// Request is what a finished request showed. The caller's own mistakes, such as a wrong key, are no
// requests in this sense.
type Request struct {
	Account string
	Model   string
	// DataCentre is where the request ran, or the node's own data centre when it did not run.
	DataCentre string
	Refused    bool
	Failed     bool
	Unknown    bool
	// FirstToken is the time from arrival to the first token.
	FirstToken time.Duration
	// BetweenTokens is the 95th percentile, over the answer, of the time between tokens.
	BetweenTokens time.Duration
}

// Defaults of an objective's bounds.
const (
	defaultFirstTokenMs    = 2_000
	defaultBetweenTokensMs = 36
)

// Judge returns whether a request met an objective, and else why not.
func Judge(o schema.Objective, r Request) Cause {
	first, between := bounds(o)
	switch {
	case r.Refused:
		return Refused
	case r.Failed:
		return Failed
	case r.Unknown:
		return OutcomeUnsure
	case r.FirstToken > first:
		return SlowFirst
	case r.BetweenTokens > between:
		return SlowBetween
	default:
		return Good
	}
}

func bounds(o schema.Objective) (time.Duration, time.Duration) {
	first, between := o.FirstTokenMs, o.BetweenTokensMs
	if first == 0 {
		first = defaultFirstTokenMs
	}
	if between == 0 {
		between = defaultBetweenTokensMs
	}
	return time.Duration(first) * time.Millisecond, time.Duration(between) * time.Millisecond
}

// Key is what counts are kept by.
type Key struct {
	Account    string `json:"account"`
	Model      string `json:"model"`
	DataCentre string `json:"data_centre"`
	Cause      Cause  `json:"cause"`
}

// Count is one counter of a bucket.
type Count struct {
	Key
	N int64 `json:"n"`
}

// Bucket is the counts of one interval.
type Bucket struct {
	Start  time.Time `json:"start"`
	Counts []Count   `json:"counts"`
}

// BucketLength is the length of a bucket; the shortest window is ten of them.
const BucketLength = 30 * time.Second

// keep is how long a node keeps its buckets: the longest window and one bucket that is not full.
const keep = 6*time.Hour + BucketLength

// Recorder counts the requests of one node. It is safe for concurrent use.
type Recorder struct {
	mu      sync.Mutex
	buckets map[int64]map[Key]int64
}

// New returns an empty recorder.
func New() *Recorder {
	return &Recorder{buckets: make(map[int64]map[Key]int64)}
}

// Add counts a request that ended now against each objective of its client account and model.
func (r *Recorder) Add(now time.Time, objectives []schema.Objective, req Request) {
	for _, o := range objectives {
		if o.Account != req.Account || o.Model != req.Model {
			continue
		}
		r.count(now, Key{Account: req.Account, Model: req.Model, DataCentre: req.DataCentre, Cause: Judge(o, req)})
	}
}

func (r *Recorder) count(now time.Time, k Key) {
	n := bucketNumber(now)
	r.mu.Lock()
	defer r.mu.Unlock()
	b, ok := r.buckets[n]
	if !ok {
		b = make(map[Key]int64)
		r.buckets[n] = b
		r.forget(bucketNumber(now.Add(-keep)))
	}
	b[k]++
}

// forget drops the buckets before n.
func (r *Recorder) forget(n int64) {
	for old := range r.buckets {
		if old < n {
			delete(r.buckets, old)
		}
	}
}

// Buckets returns the buckets that start in [from, to), oldest first.
func (r *Recorder) Buckets(from, to time.Time) []Bucket {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []Bucket
	for _, n := range slices.Sorted(maps.Keys(r.buckets)) {
		start := bucketStart(n)
		if start.Before(from) || !start.Before(to) {
			continue
		}
		out = append(out, Bucket{Start: start, Counts: counts(r.buckets[n])})
	}
	return out
}

func counts(m map[Key]int64) []Count {
	out := make([]Count, 0, len(m))
	for k, n := range m {
		out = append(out, Count{Key: k, N: n})
	}
	slices.SortFunc(out, func(a, b Count) int { return compareKeys(a.Key, b.Key) })
	return out
}

func compareKeys(a, b Key) int {
	return cmp.Or(
		cmp.Compare(a.Account, b.Account),
		cmp.Compare(a.Model, b.Model),
		cmp.Compare(a.DataCentre, b.DataCentre),
		cmp.Compare(a.Cause, b.Cause),
	)
}

func bucketNumber(t time.Time) int64 { return t.Unix() / int64(BucketLength/time.Second) }

func bucketStart(n int64) time.Time { return time.Unix(n*int64(BucketLength/time.Second), 0).UTC() }

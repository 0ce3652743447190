package prefix

import (
	"math/bits"

	"geraniumhollow/internal/core/option"
	"github.com/cockroachdb/errors"
	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// Event says that a server added a block to its cache or evicted it. Sequence numbers increase by one within an
// instance.
type Event struct {
	Seq    uint64
	Hash   uint64
	Stored bool
}

// Hit is the part of a prompt that a server is expected to have cached.
type Hit struct {
	Server int
	// Blocks is the number of leading blocks recorded for the server, and Tokens the expected number of cached
	// tokens. Tokens is less than the size of the blocks if the records of the server are uncertain, which is
	// always the case if its cache events do not reach this node.
	Blocks int
	Tokens int
	// firstAge and lastAge are the ages of the first and the last block.
	firstAge, lastAge int
}

// Limits of an index.
const (
	// DefaultEntries is the default maximum number of fingerprints in an index. If every fingerprint has
	// maxHolders servers, they need less than 12 MB.
	DefaultEntries = 16_384
	// maxHolders is the maximum number of servers recorded for one fingerprint. The least recently seen one is
	// replaced first.
	maxHolders = 16
)

// Confidence is the factor applied to uncertain records. It is learned separately for each age, since caches
// evict the least recently used blocks first. The age of a record is the number of blocks newly recorded for
// the server since, in powers of two.
const (
	initialConfidence = 0.5
	confidenceStep    = 0.02
	ageBuckets        = 16
)

// Index records which servers have which prefixes cached. Servers are identified by small integers.
type Index struct {
	entries    *simplelru.LRU[uint64, *entry]
	servers    []server
	stamp      uint64 // logical clock for the stamps of records
	confidence [ageBuckets]float64
	// tokensPerBlock converts blocks to tokens. It is learned from the token counts of answers.
	tokensPerBlock float64
}

// entry lists the servers that have the prefix with one fingerprint.
type entry struct {
	holders []holder
}

// holder is a server that has a prefix. stamp is the logical time of the record.
type holder struct {
	server         int
	stamp          uint64
	recordedBlocks uint64 // value of the server's counter at that time
}

// server is the state of a server other than its blocks.
type server struct {
	instance string
	seq      option.Option[uint64]
	// Records with stamps up to invalidUntil are invalid, and those up to uncertainUntil are uncertain.
	invalidUntil   uint64
	uncertainUntil uint64
	// recordedBlocks counts the blocks newly recorded for the server, whether sent by this node or reported by
	// cache events.
	recordedBlocks uint64
	// hitIndex is the 1-based index of the server in the hits of the current lookup; 0 means that it has none.
	hitIndex int
}

// NewIndex returns an index of at most the given number of fingerprints.
func NewIndex(entries int) (*Index, error) {
	lru, err := simplelru.NewLRU[uint64, *entry](entries, nil)
	if err != nil {
		return nil, errors.Newf("make index of %d entries: %w", entries, err)
	}
	x := &Index{entries: lru, tokensPerBlock: BlockTokens}
	for i := range x.confidence {
		x.confidence[i] = initialConfidence
	}
	return x, nil
}

// Len returns the number of fingerprints in the index.
func (x *Index) Len() int { return x.entries.Len() }

// SetInstance records which instance a server runs. A new instance has an empty cache.
func (x *Index) SetInstance(id int, instance string) {
	s := x.server(id)
	if instance == "" || s.instance == instance {
		return
	}
	if s.instance != "" {
		x.invalidate(s)
	}
	s.instance = instance
}

// RemoveServer discards all records of a server.
func (x *Index) RemoveServer(id int) {
	s := x.server(id)
	x.invalidate(s)
	s.instance = ""
}

func (x *Index) invalidate(s *server) {
	x.stamp++
	s.invalidUntil, s.uncertainUntil = x.stamp, x.stamp
	s.seq = option.None[uint64]()
}

func (x *Index) server(id int) *server {
	for len(x.servers) <= id {
		x.servers = append(x.servers, server{})
	}
	return &x.servers[id]
}

// Apply applies cache events of the server's current instance, in order of their sequence numbers. Events that
// were already applied are skipped. After a gap, all earlier records of the server are uncertain, because some
// of the blocks may have been evicted.
func (x *Index) Apply(id int, events []Event) {
	s := x.server(id)
	for _, ev := range events {
		last, ok := s.seq.Get()
		if ok && ev.Seq <= last {
			continue
		}
		// Without a previous sequence number, last is 0, so events were missed unless the first one has number
		// 1.
		if ev.Seq != last+1 {
			x.stamp++
			s.uncertainUntil = x.stamp
		}
		s.seq = option.Some(ev.Seq)
		if ev.Stored {
			x.store(ev.Hash, id)
		} else {
			x.drop(ev.Hash, id)
		}
	}
}

// RecordSent records that a server has received a prompt, which it will then have in its cache.
func (x *Index) RecordSent(id int, prefix []uint64) {
	x.server(id)
	for _, fp := range prefix {
		x.store(fp, id)
	}
}

// RecordResult updates the index with the prompt tokens and cached tokens that a server counted for a prompt. hit is
// the result of Lookup for the server before the prompt was sent. A server that had far fewer tokens cached has
// evicted blocks without an event yet, so its other records become uncertain.
func (x *Index) RecordResult(id int, prefix []uint64, hit Hit, promptTokens, cachedTokens int) {
	s := x.server(id)
	if n := len(prefix); n > 0 && promptTokens > 0 {
		x.updateTokensPerBlock(float64(promptTokens) / float64(n))
	}
	if hit.Blocks > 0 {
		ratio := float64(cachedTokens) / (float64(hit.Blocks) * x.tokensPerBlock)
		x.updateConfidence(hit.firstAge, cachedTokens > 0)
		x.updateConfidence(hit.lastAge, ratio > fullHitRatio)
		if ratio < missRatio {
			x.stamp++
			s.uncertainUntil = x.stamp
		}
	}
	x.RecordSent(id, prefix)
}

func (x *Index) updateConfidence(age int, cached bool) {
	sample := 0.0
	if cached {
		sample = 1
	}
	x.confidence[age] += confidenceStep * (sample - x.confidence[age])
}

// age returns the age bucket of a record of a server.
func (s *server) age(h holder) int {
	return min(ageBuckets-1, bits.Len64(s.recordedBlocks-h.recordedBlocks))
}

// missRatio is the ratio of cached to expected tokens below which the expected hit counts as a miss.
// fullHitRatio is the ratio above which it counts as correct up to its last block; it is below 1 because the
// size of a block is not exact.
const (
	missRatio    = 0.5
	fullHitRatio = 0.95
)

// updateTokensPerBlock moves the estimated tokens per block towards a sample. The incomplete last block of a
// prompt makes samples too large, so that lower samples get a higher weight.
func (x *Index) updateTokensPerBlock(sample float64) {
	step := 0.01
	if sample < x.tokensPerBlock {
		step = 0.1
	}
	x.tokensPerBlock += step * (sample - x.tokensPerBlock)
}

func (x *Index) store(fp uint64, id int) {
	x.stamp++
	e, ok := x.entries.Get(fp)
	if !ok {
		e = &entry{}
		x.entries.Add(fp, e)
	}
	s := x.server(id)
	oldest := 0
	for i := range e.holders {
		if e.holders[i].server == id {
			e.holders[i] = holder{id, x.stamp, s.recordedBlocks}
			return
		}
		if e.holders[i].stamp < e.holders[oldest].stamp {
			oldest = i
		}
	}
	s.recordedBlocks++
	if len(e.holders) < maxHolders {
		e.holders = append(e.holders, holder{id, x.stamp, s.recordedBlocks})
		return
	}
	e.holders[oldest] = holder{id, x.stamp, s.recordedBlocks}
}

func (x *Index) drop(fp uint64, id int) {
	e, ok := x.entries.Peek(fp)
	if !ok {
		return
	}
	for i := range e.holders {
		if e.holders[i].server == id {
			last := len(e.holders) - 1
			e.holders[i] = e.holders[last]
			e.holders = e.holders[:last]
			break
		}
	}
	if len(e.holders) == 0 {
		x.entries.Remove(fp)
	}
}

// Lookup appends the servers that have a leading part of the prompt to dst. The blocks of a server count up to
// the first one that it lacks.
func (x *Index) Lookup(dst []Hit, prefix []uint64) []Hit {
	from := len(dst)
	for depth, fp := range prefix {
		e, ok := x.entries.Peek(fp)
		if !ok {
			break
		}
		extended := false
		for _, h := range e.holders {
			extended = x.extend(&dst, depth, h) || extended
		}
		if !extended {
			break
		}
	}
	for _, h := range dst[from:] {
		x.servers[h.Server].hitIndex = 0
	}
	return dst
}

// extend adds the block at depth to the hit of a holder. It reports whether the holder has all blocks up to
// that depth.
func (x *Index) extend(dst *[]Hit, depth int, h holder) bool {
	s := &x.servers[h.server]
	if h.stamp <= s.invalidUntil {
		return false
	}
	if depth == 0 {
		*dst = append(*dst, Hit{Server: h.server})
		s.hitIndex = len(*dst)
	}
	if s.hitIndex == 0 || (*dst)[s.hitIndex-1].Blocks != depth {
		return false
	}
	weight, age := 1.0, s.age(h)
	if _, events := s.seq.Get(); !events || h.stamp <= s.uncertainUntil {
		weight = x.confidence[age]
	}
	hit := &(*dst)[s.hitIndex-1]
	if depth == 0 {
		hit.firstAge = age
	}
	hit.lastAge = age
	hit.Blocks++
	hit.Tokens += int(weight * x.tokensPerBlock)
	return true
}

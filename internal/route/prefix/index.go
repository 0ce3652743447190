package prefix

import (
	"math/bits"

	"geraniumhollow/internal/core/option"
	"github.com/cockroachdb/errors"
	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// Event says that a server put a block into its cache or dropped it. Sequence numbers rise by one
// within an instance.
type Event struct {
	Seq    uint64
	Hash   uint64
	Stored bool
}

// Hit is what a server is expected to have of a prompt.
type Hit struct {
	Server int
	// Blocks is how many leading blocks were seen there, and Tokens what is expected of them: less
	// than the blocks hold when what is known of the server is uncertain, which it always is of one
	// whose cache events do not reach this node.
	Blocks int
	Tokens int
	// first and last are the ages of the first and last of the blocks.
	first, last int
}

// Limits of an index.
const (
	// DefaultEntries bounds the fingerprints that an index remembers; with all holders taken they need
	// less than 12 MB.
	DefaultEntries = 16_384
	// maxHolders bounds the servers that are remembered for one fingerprint; the one that was seen
	// longest ago is replaced first.
	maxHolders = 16
)

// Trust is the part of uncertain knowledge that is counted. It is learned by age, since caches drop
// what has not been used for longest. The age of a block is how many blocks this node has sent to the
// server since, in powers of two.
const (
	trustStart = 0.5
	trustStep  = 0.02
	ages       = 16
)

// Index remembers which servers have which prefix. Servers are known by small numbers.
type Index struct {
	entries *simplelru.LRU[uint64, *entry]
	servers []server
	stamp   uint64
	trust   [ages]float64
	// tokensPerBlock converts blocks to tokens; it is learned from answers.
	tokensPerBlock float64
}

type entry struct {
	holders []holder
}

// holder is one server that has a prefix. stamp orders it among everything that the index learned.
type holder struct {
	server int
	stamp  uint64
	sent   uint64 // blocks that the server had been sent
}

// server is what the index knows of one server besides its blocks.
type server struct {
	instance string
	seq      option.Option[uint64]
	// lost and doubt are stamps: older knowledge is void, or uncertain.
	lost  uint64
	doubt uint64
	// sent counts the blocks that this node has sent and that were not known to be there.
	sent uint64
	// hit is where the server stands in the hits of the lookup that runs, counted from 1; 0 is nowhere.
	hit int
}

// NewIndex returns an index of at most entries fingerprints.
func NewIndex(entries int) (*Index, error) {
	lru, err := simplelru.NewLRU[uint64, *entry](entries, nil)
	if err != nil {
		return nil, errors.Newf("make index of %d entries: %w", entries, err)
	}
	x := &Index{entries: lru, tokensPerBlock: BlockTokens}
	for i := range x.trust {
		x.trust[i] = trustStart
	}
	return x, nil
}

// Len returns the number of fingerprints that are remembered.
func (x *Index) Len() int { return x.entries.Len() }

// Instance notes which instance a server runs. A new instance has an empty cache.
func (x *Index) Instance(id int, instance string) {
	s := x.server(id)
	if instance == "" || s.instance == instance {
		return
	}
	if s.instance != "" {
		x.forget(s)
	}
	s.instance = instance
}

// Forget drops what is known of a server.
func (x *Index) Forget(id int) {
	s := x.server(id)
	x.forget(s)
	s.instance = ""
}

func (x *Index) forget(s *server) {
	x.stamp++
	s.lost, s.doubt = x.stamp, x.stamp
	s.seq = option.None[uint64]()
}

func (x *Index) server(id int) *server {
	for len(x.servers) <= id {
		x.servers = append(x.servers, server{})
	}
	return &x.servers[id]
}

// Apply takes cache events of the instance noted last, in the order of their sequence numbers. Events
// that were applied before are passed over. After a gap, what was known of the server is uncertain:
// some of it may have been dropped.
func (x *Index) Apply(id int, events []Event) {
	s := x.server(id)
	for _, ev := range events {
		last, ok := s.seq.Get()
		if ok && ev.Seq <= last {
			continue
		}
		// Without a last number, the events before the first one were missed unless it is the first.
		if ev.Seq != last+1 {
			x.stamp++
			s.doubt = x.stamp
		}
		s.seq = option.Some(ev.Seq)
		if ev.Stored {
			x.store(ev.Hash, id)
		} else {
			x.drop(ev.Hash, id)
		}
	}
}

// Sent notes that a server has been given a prompt, which it will have in its cache.
func (x *Index) Sent(id int, prefix []uint64) {
	x.server(id)
	for _, fp := range prefix {
		x.store(fp, id)
	}
}

// Correct takes the prompt tokens and cached tokens that a server counted for a prompt. hit is what
// Lookup had found there before the prompt was sent. A server that had much less than that has dropped
// blocks of which no event has come yet, so what else is known of it becomes uncertain.
func (x *Index) Correct(id int, prefix []uint64, hit Hit, promptTokens, cachedTokens int) {
	s := x.server(id)
	if n := len(prefix); n > 0 && promptTokens > 0 {
		x.learnBlockSize(float64(promptTokens) / float64(n))
	}
	if hit.Blocks > 0 {
		part := float64(cachedTokens) / (float64(hit.Blocks) * x.tokensPerBlock)
		x.learnTrust(hit.first, cachedTokens > 0)
		x.learnTrust(hit.last, part > wholePart)
		if part < missPart {
			x.stamp++
			s.doubt = x.stamp
		}
	}
	x.Sent(id, prefix)
}

func (x *Index) learnTrust(age int, cached bool) {
	sample := 0.0
	if cached {
		sample = 1
	}
	x.trust[age] += trustStep * (sample - x.trust[age])
}

// age returns the age of what is known of a server.
func (s *server) age(h holder) int { return min(ages-1, bits.Len64(s.sent-h.sent)) }

// missPart is the part of an expected hit below which the expectation counts as wrong, and wholePart
// the part above which it counts as right to its last block; the size of a block is not exact.
const (
	missPart  = 0.5
	wholePart = 0.95
)

// learnBlockSize moves the learned tokens of a block towards a sample. The tail of a prompt that fills
// no block makes single samples too large, so that the least ones count most.
func (x *Index) learnBlockSize(sample float64) {
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
			e.holders[i] = holder{id, x.stamp, s.sent}
			return
		}
		if e.holders[i].stamp < e.holders[oldest].stamp {
			oldest = i
		}
	}
	s.sent++
	if len(e.holders) < maxHolders {
		e.holders = append(e.holders, holder{id, x.stamp, s.sent})
		return
	}
	e.holders[oldest] = holder{id, x.stamp, s.sent}
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

// Lookup appends the servers that have a leading part of the prompt to dst. A server counts up to the
// first block that it lacks.
func (x *Index) Lookup(dst []Hit, prefix []uint64) []Hit {
	from := len(dst)
	for depth, fp := range prefix {
		e, ok := x.entries.Peek(fp)
		if !ok {
			break
		}
		grew := false
		for _, h := range e.holders {
			grew = x.extend(&dst, depth, h) || grew
		}
		if !grew {
			break
		}
	}
	for _, h := range dst[from:] {
		x.servers[h.Server].hit = 0
	}
	return dst
}

// extend adds the block at depth to the hit of a holder and reports whether the holder has all blocks
// up to it.
func (x *Index) extend(dst *[]Hit, depth int, h holder) bool {
	s := &x.servers[h.server]
	if h.stamp <= s.lost {
		return false
	}
	if depth == 0 {
		*dst = append(*dst, Hit{Server: h.server})
		s.hit = len(*dst)
	}
	if s.hit == 0 || (*dst)[s.hit-1].Blocks != depth {
		return false
	}
	part, age := 1.0, s.age(h)
	if _, events := s.seq.Get(); !events || h.stamp <= s.doubt {
		part = x.trust[age]
	}
	hit := &(*dst)[s.hit-1]
	if depth == 0 {
		hit.first = age
	}
	hit.last = age
	hit.Blocks++
	hit.Tokens += int(part * x.tokensPerBlock)
	return true
}

package picks

import (
	"math/rand/v2"
	"time"

	"geraniumhollow/internal/route/prefix"
)

// Shape of the load.
const (
	families      = 300  // shared leading parts of prompts, such as system prompts
	familySkew    = 1.1  // exponent of the Zipf distribution of their popularity
	familyMin     = 4    // blocks
	familyMax     = 32   // blocks
	tailMin       = 1    // blocks of a prompt that no other has
	tailMax       = 12   // blocks
	followPart    = 0.3  // part of requests that continue an earlier one
	followMin     = 2    // blocks that a follow-up adds
	followMax     = 6    // blocks
	openSessions  = 2000 // earlier requests that may be continued
	answerMean    = 100  // tokens
	answerMax     = 800  // tokens
	largeAccounts = 3
	allAccounts   = 10
	largePart     = 0.8 // part of the load of the large accounts
)

// request is one request of a load.
type request struct {
	at      time.Duration
	node    int
	account int
	blocks  []uint64
	answer  int // tokens
}

func (r request) prompt() int { return len(r.blocks) * prefix.BlockTokens }

// makeLoad returns the requests of a load, in order of time. Equal arguments give equal loads.
func makeLoad(seed uint64, perSecond float64, length time.Duration, nodes int) []request {
	rnd := rand.New(rand.NewPCG(seed, seed))
	zipf := rand.NewZipf(rnd, familySkew, 1, families-1)
	sizes := make([]int, families)
	for i := range sizes {
		sizes[i] = between(rnd, familyMin, familyMax)
	}
	var load []request
	var sessions [][]uint64
	next := uint64(families)
	extend := func(chain []uint64, n int) []uint64 {
		chain = append([]uint64(nil), chain...)
		for range n {
			next++
			last := uint64(0)
			if len(chain) > 0 {
				last = chain[len(chain)-1]
			}
			chain = append(chain, prefix.Chain(last, next))
		}
		return chain
	}
	for at := 0.0; at < length.Seconds(); at += rnd.ExpFloat64() / perSecond {
		r := request{
			at: time.Duration(at * float64(time.Second)), node: rnd.IntN(nodes), account: pickAccount(rnd),
			answer: min(answerMax, 1+int(rnd.ExpFloat64()*answerMean)),
		}
		if len(sessions) > 0 && rnd.Float64() < followPart {
			r.blocks = extend(sessions[rnd.IntN(len(sessions))], between(rnd, followMin, followMax))
		} else {
			f := zipf.Uint64()
			r.blocks = extend(familyChain(f, sizes[f]), between(rnd, tailMin, tailMax))
		}
		r.blocks = r.blocks[:min(len(r.blocks), prefix.MaxBlocks)]
		load = append(load, r)
		if sessions = append(sessions, r.blocks); len(sessions) > openSessions {
			sessions = sessions[1:]
		}
	}
	return load
}

func familyChain(family uint64, blocks int) []uint64 {
	chain := make([]uint64, 0, blocks)
	last := uint64(0)
	for i := range blocks {
		last = prefix.Chain(last, family<<8|uint64(i))
		chain = append(chain, last)
	}
	return chain
}

func pickAccount(rnd *rand.Rand) int {
	if rnd.Float64() < largePart {
		return rnd.IntN(largeAccounts)
	}
	return largeAccounts + rnd.IntN(allAccounts-largeAccounts)
}

func between(rnd *rand.Rand, low, high int) int { return low + rnd.IntN(high-low+1) }

package picks

import (
	"math/rand/v2"
	"time"

	"geraniumhollow/internal/plat/engine"
	"geraniumhollow/internal/route/prefix"
	"geraniumhollow/internal/wire/frame"
	"github.com/cockroachdb/errors"
	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// Shape of a backend server.
const (
	slots        = 64
	memoryTokens = 200_000
	cacheBlocks  = 1500
	// perToken is the time of one prompt token on an empty server of speed 1; a full batch doubles it.
	perToken = 80 * time.Microsecond
	// stepBase and stepEach are the time between the tokens of an answer.
	stepBase = 15 * time.Millisecond
	stepEach = 400 * time.Microsecond
)

// server is a queueing model of a backend server: a bounded batch, one queue for prefill, and a cache
// of prompt blocks that drops the least recently used.
type server struct {
	clock   *clock
	name    string
	slow    float64
	running int
	held    int
	waiting []*job
	line    []*job // in the batch, waiting for prefill
	busy    bool   // prefill runs
	cache   *simplelru.LRU[uint64, struct{}]
	seq     uint64
	events  []engine.CacheEvent // since the last report
	work    float64             // seconds of prefill and of places in the batch
}

// job is a request on a server.
type job struct {
	request
	sent   time.Duration
	cached int // tokens
	// first is called with the first token and done at the end.
	first func()
	done  func()
}

func (j *job) tokens() int { return j.prompt() + j.answer }

func newServer(c *clock, name string, slow float64) (*server, error) {
	s := &server{clock: c, name: name, slow: slow}
	cache, err := simplelru.NewLRU(cacheBlocks, func(block uint64, _ struct{}) { s.note(block, false) })
	if err != nil {
		return nil, errors.Newf("make cache: %w", err)
	}
	s.cache = cache
	return s, nil
}

// speed draws how much slower than others a server is: most are alike, some are slow.
func speed(rnd *rand.Rand) float64 {
	switch x := rnd.Float64(); {
	case x < 0.05:
		return 2.5
	case x < 0.2:
		return 1.5
	}
	return 1
}

func (s *server) note(block uint64, stored bool) {
	s.seq++
	s.events = append(s.events, engine.CacheEvent{Seq: s.seq, Hash: block, Stored: stored})
}

// arrive takes a request.
func (s *server) arrive(j *job) {
	if len(s.waiting) == 0 && s.fits(j) {
		s.begin(j)
		return
	}
	s.waiting = append(s.waiting, j)
}

func (s *server) fits(j *job) bool { return s.running < slots && s.held+j.tokens() <= memoryTokens }

func (s *server) begin(j *job) {
	s.running++
	s.held += j.tokens()
	s.line = append(s.line, j)
	if !s.busy {
		s.prefill()
	}
}

func (s *server) hit(j *job) int {
	n := 0
	for n < len(j.blocks) && s.cache.Contains(j.blocks[n]) {
		n++
	}
	return n * prefix.BlockTokens
}

func (s *server) prefillTime(j *job, cached int) time.Duration {
	batch := 1 + float64(s.running)/slots
	return time.Duration(float64(j.prompt()-cached) * float64(perToken) * s.slow * batch)
}

// prefill runs the next prompt in line and puts its blocks into the cache.
func (s *server) prefill() {
	s.busy = len(s.line) > 0
	if !s.busy {
		return
	}
	j := s.line[0]
	s.line = s.line[1:]
	j.cached = s.hit(j)
	for _, b := range j.blocks {
		if !s.cache.Contains(b) {
			s.note(b, true)
		}
		s.cache.Add(b, struct{}{})
	}
	d := s.prefillTime(j, j.cached)
	s.work += d.Seconds()
	s.clock.after(d, func() {
		j.first()
		s.decode(j)
		s.prefill()
	})
}

func (s *server) decode(j *job) {
	step := time.Duration(float64(stepBase+time.Duration(s.running)*stepEach) * s.slow)
	d := time.Duration(j.answer) * step
	s.work += d.Seconds() / slots
	s.clock.after(d, func() { s.end(j) })
}

func (s *server) end(j *job) {
	s.running--
	s.held -= j.tokens()
	j.done()
	for len(s.waiting) > 0 && s.fits(s.waiting[0]) {
		next := s.waiting[0]
		s.waiting = s.waiting[1:]
		s.begin(next)
	}
}

// digest returns the load of the server; what waits for prefill counts as waiting.
func (s *server) digest() frame.LoadDigest {
	return frame.LoadDigest{
		Server: s.name, Inst: "i", State: string(engine.Warm), Open: true, Run: s.running - len(s.line),
		Wait: len(s.line) + len(s.waiting), Held: s.held, Cap: memoryTokens,
	}
}

package load

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"geraniumhollow/internal/bench/site"
)

// Kind is what a request of the load asks for.
type Kind string

// Kinds of requests.
const (
	Streamed Kind = "streamed"
	Whole    Kind = "whole"
	Slow     Kind = "slow_reader"
	Read     Kind = "service_read"
	Booking  Kind = "booking"
)

// Request is one request of the load. It is fixed by the seed before the load starts.
type Request struct {
	Index int
	// At is when the request starts, from the start of the load. Latency counts from here, also when
	// the tool itself is late.
	At        time.Duration
	Kind      Kind
	Account   int
	Node      int
	Prompt    string
	MaxTokens int
	// Resend sends a booking a second time, to another node, with the same key.
	Resend bool
}

// Profile is the shape of the arrival rate over the length of a load.
type Profile string

// Profiles.
const (
	// Steady keeps the rate.
	Steady Profile = "steady"
	// TermStart rises from a fifth of the rate to the full rate over the first half.
	TermStart Profile = "term_start"
	// ExamWeek has three peaks with quiet times between.
	ExamWeek Profile = "exam_week"
)

// Mix shapes a load.
type Mix struct {
	Deployment site.Deployment
	Nodes      int
	Seed       uint64
	Length     time.Duration
	// Rate is the highest arrival rate, in requests a second.
	Rate    float64
	Profile Profile
	// SlowReaders is the share of streamed requests whose caller reads slowly.
	SlowReaders float64
	// Persistent makes callers come back whose connection broke.
	Persistent bool
	// Tokens makes every request a streamed completion of this length; 0 keeps the mix.
	Tokens int
}

// Shares of the kinds of requests, and sizes of answers in tokens.
const (
	streamedShare = 0.60
	wholeShare    = 0.20
	readShare     = 0.10
	resendShare   = 0.3
	minTokens     = 8
	maxTokens     = 128
	slowTokens    = 400
	largeAccounts = 3
	largeShare    = 0.7
	prefixes      = 20
)

// Requests returns the requests of the load in order of their start.
func (m Mix) Requests() []Request {
	rng := rand.New(rand.NewPCG(m.Seed, 0))
	starts := make([]string, prefixes)
	for i := range starts {
		starts[i] = prefix(i)
	}
	var out []Request
	at := time.Duration(0)
	for {
		at += time.Duration(rng.ExpFloat64() / m.Rate * float64(time.Second))
		if at >= m.Length {
			return out
		}
		// Thinning: a Poisson process of the highest rate, kept with the share that the profile has.
		if rng.Float64() >= m.intensity(float64(at)/float64(m.Length)) {
			continue
		}
		out = append(out, m.request(rng, starts, len(out), at))
	}
}

// intensity returns the share of the highest rate at a point of the load, from 0 to 1.
func (m Mix) intensity(x float64) float64 {
	const quiet = 0.2
	switch m.Profile {
	case TermStart:
		return min(1, quiet+(1-quiet)*2*x)
	case ExamWeek:
		return quiet + (1-quiet)*math.Pow(math.Sin(3*math.Pi*x), 2)
	default:
		return 1
	}
}

func (m Mix) request(rng *rand.Rand, starts []string, i int, at time.Duration) Request {
	r := Request{
		Index: i, At: at, Account: m.account(rng), Node: rng.IntN(m.Nodes),
		Prompt:    fmt.Sprintf("%s pickup notice %d for basket %d-%d", starts[rng.IntN(len(starts))], i, m.Seed, i),
		MaxTokens: minTokens + rng.IntN(maxTokens-minTokens),
	}
	if m.Tokens > 0 {
		r.Kind, r.MaxTokens = Streamed, m.Tokens
		return r
	}
	switch x := rng.Float64(); {
	case x < streamedShare:
		r.Kind = Streamed
		if rng.Float64() < m.SlowReaders {
			r.Kind = Slow
			r.MaxTokens = slowTokens
		}
	case x < streamedShare+wholeShare:
		r.Kind = Whole
	case x < streamedShare+wholeShare+readShare:
		r.Kind = Read
	default:
		r.Kind = Booking
		r.Resend = rng.Float64() < resendShare
	}
	return r
}

// account picks a client account; a few large ones send most of the requests.
func (m Mix) account(rng *rand.Rand) int {
	if rng.Float64() < largeShare {
		return rng.IntN(min(largeAccounts, m.Deployment.Accounts))
	}
	return rng.IntN(m.Deployment.Accounts)
}

// prefixWords is the length of the shared start of a prompt.
const prefixWords = 120

// prefix returns one of the shared starts that many prompts have.
func prefix(i int) string {
	var b []byte
	for w := range prefixWords {
		b = fmt.Appendf(b, "p%d-%d ", i, w)
	}
	return string(b)
}

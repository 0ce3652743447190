package stream_test

import (
	"io"
	"math/rand/v2"
	"strconv"
	"strings"
	"testing"

	"geraniumhollow/internal/route/stream"
	"github.com/cockroachdb/errors"
	"pgregory.net/rapid"
)

func newLog(limit, account, node int) (*stream.Buffer, *stream.Share) {
	share := stream.NewBudget().Open("a", account, node)
	share.Start(stream.InitialBytes)
	return stream.NewBuffer(share, limit, 0), share
}

func tokenText(i int) string { return "w" + strconv.Itoa(i) + " " }

func answerText(n int) string {
	var b strings.Builder
	for i := range n {
		b.WriteString(tokenText(i))
	}
	return b.String()
}

// Guards against an answer that is truncated, duplicated or out of order when frames of any attempt are
// reordered, repeated or lost, at any reading speed of the caller. Also guards against a log that exceeds
// its limit.
func TestAnswerFromAttempts(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(rt *rapid.T) {
		tokens := rapid.IntRange(0, 400).Draw(rt, "tokens")
		limit := rapid.IntRange(1, 4).Draw(rt, "limit KiB") << 10
		log, share := newLog(limit, 1<<20, 1<<20)
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 0))
		var got strings.Builder
		for attempt := 1; !log.Complete(); attempt++ {
			if attempt > 2000 {
				rt.Fatalf("answer not complete after %d attempts: %d of %d tokens", attempt, log.NextOffset(), tokens)
			}
			runAttempt(rt, log, rng, attempt, tokens)
			readAvailable(rt, log, &got, rng.IntN(200))
			if share.Held() > limit {
				rt.Fatalf("log holds %d bytes, limit %d", share.Held(), limit)
			}
			if text, ok := log.Text(); ok && text != answerText(log.NextOffset()) {
				rt.Fatalf("text to resume the answer is %q", text)
			}
		}
		log.Close(nil)
		readAvailable(rt, log, &got, tokens+1)
		if got.String() != answerText(tokens) {
			rt.Fatalf("got %q, want %q", got.String(), answerText(tokens))
		}
	})
}

// runAttempt runs an attempt whose frames are reordered, repeated or lost and whose stream may end early.
func runAttempt(rt *rapid.T, log *stream.Buffer, rng *rand.Rand, attempt, tokens int) {
	asm := stream.New(log.NextOffset())
	asm.Begin(attempt)
	for _, f := range disturbedFrames(rng, attempt, log.NextOffset(), tokens) {
		ready, err := asm.Add(nil, f)
		if errors.Is(err, stream.ErrTooFarAhead) {
			return
		}
		for _, r := range ready {
			if err := log.Append(r); errors.Is(err, stream.ErrSlowCaller) {
				return
			} else if err != nil {
				rt.Fatalf("append: %v", err)
			}
		}
	}
}

// disturbedFrames returns the frames of an attempt with random repeats, swaps, losses, frames of other
// attempts and an early end.
func disturbedFrames(rng *rand.Rand, attempt, from, tokens int) []stream.Frame {
	var out []stream.Frame
	for i := from; i < tokens; i++ {
		if rng.IntN(300) == 0 {
			continue
		}
		out = append(out, stream.Frame{Attempt: attempt, Offset: i, Text: tokenText(i)})
		if rng.IntN(10) == 0 {
			out = append(out, stream.Frame{Attempt: attempt + rng.IntN(3) - 1, Offset: i, Text: tokenText(i)})
		}
		if rng.IntN(10) == 0 {
			out = append(out, stream.Frame{Attempt: attempt + 1, Offset: i + 1, Text: "other "})
		}
	}
	out = append(out, stream.Frame{Attempt: attempt, Offset: tokens, FinishReason: "stop"})
	for range len(out) / 8 {
		i := rng.IntN(len(out))
		j := min(i+rng.IntN(5), len(out)-1)
		out[i], out[j] = out[j], out[i]
	}
	if rng.IntN(3) > 0 {
		out = out[:rng.IntN(len(out)+1)]
	}
	return out
}

// readAvailable reads at most n frames without waiting.
func readAvailable(rt *rapid.T, log *stream.Buffer, got *strings.Builder, n int) {
	for range n {
		if !log.Ready() {
			return
		}
		f, err := log.Next(log.Reader())
		if errors.Is(err, io.EOF) {
			return
		}
		if err != nil {
			rt.Fatalf("next: %v", err)
		}
		got.WriteString(f.Text)
	}
}

// Guards against a log that exceeds its own limit or that of the account or node, and against a new
// request that is blocked because slow callers use the whole budget.
func TestLogBounds(t *testing.T) {
	t.Parallel()
	const size = 8 << 10
	tests := []struct {
		name                 string
		limit, account, node int
		want                 error
	}{
		{"request", size, 1 << 20, 1 << 20, stream.ErrSlowCaller},
		{"account", 1 << 20, size, 1 << 20, stream.ErrSlowCaller},
		{"node", 1 << 20, 1 << 20, size, stream.ErrSlowCaller},
		{"whole answer", stream.Unbounded, 1 << 20, size, stream.ErrBudgetExhausted},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			budget := stream.NewBudget()
			share := budget.Open("a", tt.account, tt.node)
			share.Start(stream.InitialBytes)
			log := stream.NewBuffer(share, tt.limit, 0)
			var err error
			for i := 0; err == nil; i++ {
				err = log.Append(stream.Frame{Offset: i, Text: tokenText(i)})
			}
			if !errors.Is(err, tt.want) || share.Held() > size {
				t.Errorf("got %v with %d bytes held, want %v within %d", err, share.Held(), tt.want, size)
			}
			if next := budget.Open("a", tt.account, tt.node); !next.Start(stream.InitialBytes) {
				t.Error("no room for a new request")
			}
			share.Close()
			if budget.Held() != stream.InitialBytes {
				t.Errorf("%d bytes held after the share was closed", budget.Held())
			}
		})
	}
}

// Guards against a new reader that receives repeated or missing tokens, and against two readers of one
// answer.
func TestLogSeek(t *testing.T) {
	t.Parallel()
	log, _ := newLog(1<<20, 1<<20, 1<<20)
	for i := range 10 {
		_ = log.Append(stream.Frame{Offset: i, Text: tokenText(i)})
	}
	_ = log.Append(stream.Frame{Offset: 10, FinishReason: "stop"})
	log.Close(nil)
	for _, from := range []int{0, 4, 10, 11} {
		before := log.Reader()
		if !log.Seek(from) {
			t.Fatalf("cannot seek to %d", from)
		}
		if _, err := log.Next(before); !errors.Is(err, stream.ErrReplaced) {
			t.Errorf("earlier reader got %v, want ErrReplaced", err)
		}
		log.Close(nil)
		text, finished := "", false
		for {
			f, err := log.Next(log.Reader())
			if err != nil {
				break
			}
			text, finished = text+f.Text, f.FinishReason != ""
		}
		if want := answerText(10)[len(answerText(min(from, 10))):]; text != want || finished != (from <= 10) {
			t.Errorf("from %d: got %q, finished %v", from, text, finished)
		}
	}
	if log.Seek(12) {
		t.Error("seek past the end succeeded")
	}
}

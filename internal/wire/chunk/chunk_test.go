package chunk_test

import (
	"bufio"
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"geraniumhollow/internal/wire/chunk"
	"geraniumhollow/internal/wire/head"
	"github.com/cockroachdb/errors"
	"pgregory.net/rapid"
)

// read reads a body and returns it with what follows on its connection.
func read(message string, slow bool) (string, string, error) {
	var r io.Reader = strings.NewReader(message)
	if slow {
		r = iotest.OneByteReader(r)
	}
	br := bufio.NewReader(r)
	body, err := io.ReadAll(chunk.NewReader(br))
	if err != nil {
		return string(body), "", err
	}
	rest, err := io.ReadAll(br)
	return string(body), string(rest), err
}

// Guards against bytes that are lost, added or taken from the next message, whatever the chunks.
func TestChunks(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(rt *rapid.T) {
		var message, want strings.Builder
		for _, data := range rapid.SliceOf(rapid.StringN(1, 200, 5000)).Draw(rt, "chunks") {
			size := rapid.SampledFrom([]string{"%x", "%X", "0%x", "%x;a=b", "%x ; a;b=\"c\\\"\""}).Draw(rt, "size")
			_, _ = fmt.Fprintf(&message, size+"\r\n%s\r\n", len(data), data)
			want.WriteString(data)
		}
		message.WriteString("0\r\n" + rapid.SampledFrom([]string{"", "Odd: 1\r\n", "A:\r\nB: \"\r\n"}).Draw(rt, "trailer") + "\r\nnext")
		body, rest, err := read(message.String(), rapid.Bool().Draw(rt, "slow"))
		if body != want.String() || rest != "next" || err != nil {
			rt.Fatalf("%q: got %q, then %q, %v", message.String(), body, rest, err)
		}
	})
}

// Guards against a body that has not ended and counts as a whole one.
func TestUnfinishedBody(t *testing.T) {
	t.Parallel()
	const message = "4;a=b\r\npage\r\n0\r\nOdd: 1\r\n\r\n"
	for n := range len(message) {
		if body, _, err := read(message[:n], false); !errors.Is(err, io.ErrUnexpectedEOF) {
			t.Errorf("%q: got %q, %v", message[:n], body, err)
		}
	}
}

// Guards against lines without end that keep a connection or its memory.
func TestLinesWithoutEnd(t *testing.T) {
	t.Parallel()
	for name, message := range map[string]string{
		"size":       strings.Repeat("0", 1<<20),
		"extension":  "1;" + strings.Repeat("a", 1<<20),
		"extensions": strings.Repeat("1;"+strings.Repeat("a", 100)+"\r\nx\r\n", 1000),
		"trailer":    "0\r\n" + strings.Repeat("Odd: 1\r\n", 10_000),
		"field":      "0\r\nOdd: " + strings.Repeat("1", 1<<20),
	} {
		if body, _, err := read(message, false); !errors.Is(err, head.ErrMalformed) || len(err.Error()) > 1<<10 {
			t.Errorf("%s: got %d bytes, %v", name, len(body), err)
		}
	}
	if body, _, err := read(strings.Repeat("1\r\nx\r\n", 100_000)+"0\r\n\r\n", false); err != nil || len(body) != 100_000 {
		t.Errorf("chunks of one byte: got %d bytes, %v", len(body), err)
	}
}

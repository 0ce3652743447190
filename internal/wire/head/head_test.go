package head_test

import (
	"bufio"
	"context"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"geraniumhollow/internal/core/tasks"
	"geraniumhollow/internal/wire/head"
	"github.com/cockroachdb/errors"
)

// await reads a message that arrives in reads of one byte if slow is set, and returns what is left in the reader.
func await(message string, slow bool) (string, error) {
	var r io.Reader = strings.NewReader(message)
	if slow {
		r = iotest.OneByteReader(r)
	}
	br := bufio.NewReader(r)
	if err := head.Await(br); err != nil {
		return "", err
	}
	rest, err := io.ReadAll(br)
	return string(rest), err
}

// check checks that a message is taken from its last head on, or rejected if want is empty.
func check(t *testing.T, message, want string) {
	t.Helper()
	for _, slow := range []bool{false, true} {
		got, err := await(message, slow)
		switch {
		case want == "" && !errors.Is(err, head.ErrMalformed):
			t.Errorf("%q: got %q, %v, want an error", message, got, err)
		case want != "" && (err != nil || got != want):
			t.Errorf("%q: got %q, %v, want %q", message, got, err, want)
		}
	}
}

// Guards against bytes that become a response because its status is read as another one.
func TestStatusLine(t *testing.T) {
	t.Parallel()
	const rest = "\r\nContent-Length: 2\r\n\r\nok"
	for _, line := range []string{
		"HTTP/1.1 200 OK", "HTTP/1.1 200 ", "HTTP/1.0 404 Not Found", "HTTP/1.1 299 any  text\twith \xe9", "HTTP/1.1 599 x", "HTTP/1.1 302 a",
	} {
		check(t, line+rest, line+rest)
	}
	for _, line := range []string{
		"HTTP/1.1 000 Odd", "HTTP/1.1 001 Odd", "HTTP/1.1 099 Odd", "HTTP/1.1 600 Odd", "HTTP/1.1 999 Odd", "HTTP/1.1 101 Switching Protocols",
		"HTTP/1.1 20 OK", "HTTP/1.1 2000 OK", "HTTP/1.1 2x0 OK", "HTTP/1.1 -20 OK", "HTTP/1.1 +20 OK", "HTTP/1.1  200 OK", "HTTP/1.1\t200 OK",
		"HTTP/1.1 200", "HTTP/1.1 200\tOK", "HTTP/1.1 ", "HTTP/1.1", "HTTP/2.0 200 OK", "HTTP/1.2 200 OK", "http/1.1 200 OK", "HTTP/1.11 200 OK",
		" HTTP/1.1 200 OK", "\r\nHTTP/1.1 200 OK", "HTTP/1.1 200 O\x00K", "HTTP/1.1 200 O\rK", "HTTP/1.1 200 O\x7fK", "noise", "ICY 200 OK", "",
	} {
		check(t, line+rest, "")
	}
}

// Guards against a body that becomes a response because the one that it belongs to is taken for an interim one.
func TestInterimResponses(t *testing.T) {
	t.Parallel()
	const final = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	for _, interim := range []string{"100 Continue", "102 Processing", "103 Early Hints\r\nLink: </a>", "199 x"} {
		check(t, "HTTP/1.1 "+interim+"\r\n\r\nHTTP/1.1 103 x\r\n\r\n"+final, final)
	}
	for _, odd := range []string{"000 Odd", "042 Odd", "099 Odd"} {
		check(t, "HTTP/1.1 "+odd+"\r\n\r\n"+final, "")
		check(t, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 "+odd+"\r\n\r\n"+final, "")
	}
	check(t, strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", 200)+final, "")
}

// Guards against a head that its sender has not finished and that is taken for a whole one, or waited for without need.
func TestUnfinishedHead(t *testing.T) {
	t.Parallel()
	const message = "HTTP/1.1 200 OK\r\nA: b\r\n\r\n"
	for n := range len(message) {
		want := io.ErrUnexpectedEOF
		if n == 0 {
			want = io.EOF
		}
		if _, err := await(message[:n], false); !errors.Is(err, want) {
			t.Errorf("%q: got %v, want %v", message[:n], err, want)
		}
	}
	pr, pw := io.Pipe()
	g := tasks.New(t.Context())
	g.Go("server", func(context.Context) error {
		_, err := pw.Write([]byte("noise"))
		return err
	})
	if err := head.Await(bufio.NewReader(pr)); !errors.Is(err, head.ErrMalformed) {
		t.Errorf("got %v for bytes that cannot become a head", err)
	}
	if err := g.Wait(); err != nil {
		t.Error(err)
	}
}

// Guards against a head without end that is kept, and against an error that repeats it.
func TestHeadWithoutEnd(t *testing.T) {
	t.Parallel()
	for _, part := range []string{"A: b\r\n", "x"} {
		_, err := await("HTTP/1.1 200 OK\r\n"+strings.Repeat(part, 1<<20), false)
		if !errors.Is(err, head.ErrMalformed) || len(err.Error()) > 1<<10 {
			t.Errorf("got %v", err)
		}
	}
}

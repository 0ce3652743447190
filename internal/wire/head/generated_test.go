package head_test

import (
	"bufio"
	"bytes"
	"math/rand/v2"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"testing/iotest"

	"geraniumhollow/internal/wire/head"
	"github.com/valyala/fasthttp"
)

// Regular expressions of RFC 9112, over a head whose bytes are code points.
var (
	grammar = regexp.MustCompile(`\AHTTP/1\.([01]) ([1-5][0-9][0-9]) [\t -~\x{80}-\x{ff}]*\r\n` +
		"((?:[!#$%&'*+\\-.^_`|~0-9A-Za-z]+:[\\t -~\\x{80}-\\x{ff}]*\\r\\n)*)\\r\\n")
	lengths   = regexp.MustCompile(`(?im)^content-length:[\t ]*(.*?)[\t ]*\r$`)
	encodings = regexp.MustCompile(`(?im)^transfer-encoding:[\t ]*(.*?)[\t ]*\r$`)
	digits    = regexp.MustCompile(`^[0-9]{1,18}$`)
)

// verdict is what the grammar says of a message: the status of its final response and the length of its body, as of fasthttp,
// and where that response begins.
type verdict struct {
	status, length, begin int
}

// judge applies the grammar to a message.
func judge(message []byte) (verdict, bool) {
	points := make([]rune, len(message))
	for i, c := range message {
		points[i] = rune(c)
	}
	v := verdict{}
	for {
		m := grammar.FindStringSubmatch(string(points[v.begin:]))
		if m == nil {
			return v, false
		}
		v.status, _ = strconv.Atoi(m[2])
		cl, te := lengths.FindAllStringSubmatch(m[3], -1), encodings.FindAllStringSubmatch(m[3], -1)
		bodiless := v.status < 200 || v.status == 204
		v.length = -2
		switch {
		case v.status == 101, len(cl)+len(te) > 1, len(te) == 1 && (m[1] == "0" || bodiless || !strings.EqualFold(te[0][1], "chunked")):
			return v, false
		case len(te) == 1:
			v.length = -1
		case len(cl) == 1:
			n, err := strconv.Atoi(cl[0][1])
			if v.length = n; !digits.MatchString(cl[0][1]) || err != nil || bodiless && n > 0 {
				return v, false
			}
		}
		if v.status >= 200 {
			return v, true
		}
		v.begin += len([]rune(m[0]))
	}
}

// part is a part of a message: a usual one, or one that may not belong there.
type part struct{ usual, odd []string }

var (
	versions = part{[]string{"HTTP/1.1"}, []string{"HTTP/1.0", "HTTP/1.2", "HTTP/2.0", "http/1.1", ""}}
	statuses = part{[]string{"200", "204", "304", "404", "503"}, []string{"000", "042", "099", "100", "101", "103", "600", "999", "20", "2000"}}
	reasons  = part{[]string{"OK", "", "Not Found"}, []string{"\xe9\t", "a\x00", "\r"}}
	names    = part{[]string{"Attempt-Id", "Keep-Alive", "Content-Length", "x_Y~"}, []string{"Transfer-Encoding", "Content Length", "Odd ", "\tOdd", ""}}
	values   = part{[]string{"2", "007"}, []string{"chunked", "Chunked", "identity", "", "a b", "\xe9\t\"", "+2", "2, 2", "timeout=5"}}
	odd      = []byte(" \t\r\n\x00\x01\x7f\x80:;,-019azAZ(/\"")
)

// generate returns a message: interim responses, if any, and a final one, in part damaged.
func generate(rnd *rand.Rand) []byte {
	pick := func(p part) string {
		list := p.usual
		if rnd.IntN(6) == 0 {
			list = p.odd
		}
		return list[rnd.IntN(len(list))]
	}
	var b bytes.Buffer
	for range 1 + rnd.IntN(8)/6 {
		b.WriteString(pick(versions) + " " + pick(statuses) + " " + pick(reasons) + "\r\n")
		for range rnd.IntN(4) {
			b.WriteString(pick(names) + ": " + pick(values) + "\r\n")
		}
		b.WriteString("\r\n")
	}
	b.WriteString("ok")
	message := b.Bytes()
	for range rnd.IntN(5) / 3 {
		i, c := rnd.IntN(len(message)), odd[rnd.IntN(len(odd))]
		switch rnd.IntN(3) {
		case 0:
			message[i] = c
		case 1:
			message = append(message[:i], message[i+1:]...)
		default:
			message = append(message[:i], append([]byte{c}, message[i:]...)...)
		}
	}
	return message
}

// checkMessage compares what becomes of a message with what the grammar says of it.
func checkMessage(t *testing.T, message []byte) bool {
	t.Helper()
	want, ok := judge(message)
	br := bufio.NewReader(iotest.HalfReader(bytes.NewReader(message)))
	err := head.Await(br)
	if (err == nil) != ok {
		t.Errorf("%q: got %v, want it taken: %v", message, err, ok)
	}
	if err != nil {
		return false
	}
	resp := fasthttp.Response{StreamBody: true}
	if err := resp.Read(br); err != nil {
		t.Errorf("%q: %v", message, err)
		return true
	}
	if got := resp.Header.ContentLength(); resp.StatusCode() != want.status || got != want.length {
		t.Errorf("%q: got status %d and length %d, want %+v", message, resp.StatusCode(), got, want)
	}
	return true
}

// Guards against messages that the grammar has not and that become responses, and against those that it has and that do not.
func TestGeneratedHeads(t *testing.T) {
	t.Parallel()
	const messages, most = 20_000, 0.9
	rnd := rand.New(rand.NewPCG(59, 1))
	taken := 0.
	for range messages {
		if checkMessage(t, generate(rnd)) {
			taken++
		}
	}
	if share := taken / messages; share < 1-most || share > most {
		t.Errorf("%.2f of the messages are responses", share)
	}
}

func FuzzAwait(f *testing.F) {
	rnd := rand.New(rand.NewPCG(59, 2))
	for range 100 {
		f.Add(generate(rnd))
	}
	f.Fuzz(func(t *testing.T, message []byte) {
		if len(message) < 4<<10 {
			checkMessage(t, message)
		}
	})
}

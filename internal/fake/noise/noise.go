// Package noise is a stand-in for servers that send bytes which are no HTTP response, or bytes without end.
package noise

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync/atomic"
	"testing"
)

// Malformed returns messages that are no responses, by what is wrong with them. Each holds the given fields, which end with
// CRLF or are empty, and body.
func Malformed(fields, body string) map[string]string {
	length := fmt.Sprintf("Content-Length: %d\r\n", len(body))
	rest := fields + length + "\r\n" + body
	return map[string]string{
		"status 000":              "HTTP/1.1 000 Odd\r\n" + rest,
		"status 000, no body":     "HTTP/1.1 000 Odd\r\n" + fields + "Content-Length: 0\r\n\r\n",
		"status 042, then 200":    "HTTP/1.1 042 Odd\r\n\r\nHTTP/1.1 200 OK\r\n" + rest,
		"interim body":            "HTTP/1.1 103 Early Hints\r\n" + length + "\r\nHTTP/1.1 200 OK\r\n" + rest,
		"blank in a field name":   "HTTP/1.1 200 OK\r\nOdd name: 1\r\n" + rest,
		"blank before the colon":  "HTTP/1.1 200 OK\r\nOdd : 1\r\n" + rest,
		"control in a field name": "HTTP/1.1 200 OK\r\nOdd\x01: 1\r\n" + rest,
	}
}

// Serve starts a server that answers each request with a message and closes the connection. It returns its address.
func Serve(t testing.TB, message string) string {
	t.Helper()
	return serve(t, func(w io.Writer) { _, _ = io.WriteString(w, message) })
}

// Flood starts a server that answers each request with begin and then part without end, until the caller closes the connection or
// most bytes are sent. It returns its address, and a function that returns the number of bytes.
func Flood(t testing.TB, begin, part string, most int64) (string, func() int64) {
	t.Helper()
	var sent atomic.Int64
	part = strings.Repeat(part, 1+floodBytes/len(part))
	address := serve(t, func(w io.Writer) {
		_, err := io.WriteString(w, begin)
		for err == nil && sent.Load() < most {
			var n int
			n, err = io.WriteString(w, part)
			sent.Add(int64(n))
		}
	})
	return address, sent.Load
}

// floodBytes is the size of the writes of a flood.
const floodBytes = 32 << 10

// Buffered returns how many bytes that a server has sent may be in the buffers of a connection on this machine, so that nobody has
// taken them.
func Buffered(t testing.TB) int64 {
	t.Helper()
	sum := int64(floodBytes)
	for _, file := range []string{"/proc/sys/net/ipv4/tcp_rmem", "/proc/sys/net/ipv4/tcp_wmem"} {
		b, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		var least, usual, most int64
		if _, err := fmt.Sscan(string(b), &least, &usual, &most); err != nil {
			t.Fatalf("%s: %v", file, err)
		}
		sum += most
	}
	return sum
}

func serve(t testing.TB, answer func(w io.Writer)) string {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		nc, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			t.Errorf("hijack: %v", err)
			return
		}
		defer func() { _ = nc.Close() }()
		answer(nc)
	}))
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

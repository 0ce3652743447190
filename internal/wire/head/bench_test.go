package head_test

import (
	"bufio"
	"strings"
	"testing"

	"geraniumhollow/internal/wire/head"
	"github.com/valyala/fasthttp"
)

// usualHead is the head of an answer of a model server.
const usualHead = "HTTP/1.1 200 OK\r\nDate: Sun, 06 Dec 2026 21:25:41 GMT\r\nContent-Type: text/event-stream\r\n" +
	"Transfer-Encoding: chunked\r\nConnection: keep-alive\r\nKeep-Alive: timeout=5\r\nAttempt-Id: 9c41d07be2a35f68\r\n" +
	"Response-Signature: 3e1b.07.5a2.600.0.c9f2a4d1\r\nInstance-Load: 12,0,26\r\nWeight-Versions: 3\r\n\r\n"

// BenchmarkRead compares the decoding of a head with and without the check before it.
func BenchmarkRead(b *testing.B) {
	for name, check := range map[string]bool{"decoded": false, "checked and decoded": true} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			var resp fasthttp.Response
			resp.SkipBody = true
			in := strings.NewReader(usualHead)
			br := bufio.NewReader(in)
			for b.Loop() {
				in.Reset(usualHead)
				br.Reset(in)
				if check {
					if err := head.Await(br); err != nil {
						b.Fatal(err)
					}
				}
				if err := resp.Read(br); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

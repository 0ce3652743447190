package chunk_test

import (
	"bufio"
	"fmt"
	"io"
	"strings"
	"testing"

	"geraniumhollow/internal/wire/chunk"
	"github.com/valyala/fasthttp"
)

// BenchmarkRead compares the reading of a stream of 30 events, each in a chunk of its own, with that of fasthttp.
func BenchmarkRead(b *testing.B) {
	const event = "id: 12\ndata: some tokens of the answer to a request\n\n"
	message := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" +
		strings.Repeat(fmt.Sprintf("%x\r\n%s\r\n", len(event), event), 30) + "0\r\n\r\n"
	for name, checked := range map[string]bool{"fasthttp": false, "checked": true} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			in := strings.NewReader(message)
			br := bufio.NewReader(in)
			for b.Loop() {
				in.Reset(message)
				br.Reset(in)
				resp := fasthttp.Response{StreamBody: true}
				if err := resp.Read(br); err != nil {
					b.Fatal(err)
				}
				body := resp.BodyStream()
				if checked {
					body = chunk.NewReader(br)
				}
				if _, err := io.Copy(io.Discard, body); err != nil {
					b.Fatal(err)
				}
				_ = resp.CloseBodyStream()
			}
		})
	}
}

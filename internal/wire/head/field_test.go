package head_test

import (
	"strings"
	"testing"
)

const (
	okLine = "HTTP/1.1 200 OK\r\n"
	length = "Content-Length: 2\r\n"
)

// Guards against a line that is no field and is passed on, or hides the field that it looks like.
func TestFieldLines(t *testing.T) {
	t.Parallel()
	for _, line := range []string{"A: b", "A:b", "A:", "A: \t b \t ", "!#$%&'*+-.^_`|~09azAZ: b", "A: \xe9, \"c:d\"", "content-LENGTH2: x"} {
		message := okLine + line + "\r\n" + length + "\r\nok"
		check(t, message, message)
	}
	for _, line := range []string{
		"A b: c", "A : b", "A\t: b", " A: b", "\tA: b", "A\x00: b", "A\x01b: c", "A\x7f: b", "A\xe9: b", "A(b): c", "A/b: c", "A\": b", "A,b: c",
		": b", "A", "A=b", "A: b\x00", "A: b\x01c", "A: b\x7f", "A: b\rc", "A\r: b", "\x0bA: b", "A: b\r\n folded", "A: b\r\n\tfolded",
	} {
		check(t, okLine+line+"\r\n"+length+"\r\nok", "")
		check(t, okLine+length+line+"\r\n\r\nok", "")
	}
	check(t, "HTTP/1.1 200 OK\nContent-Length: 2\n\nok", "")
	check(t, okLine+"Content-Length: 2\n\r\nok", "")
	check(t, okLine+length+"\nok", "")
}

// Guards against a body whose length is read otherwise than its sender meant it.
func TestBodyLength(t *testing.T) {
	t.Parallel()
	for _, head := range []string{
		okLine, okLine + "Content-Length: 0\r\n", okLine + "content-length:007 \r\n", okLine + "TRANSFER-encoding: Chunked\r\n",
		"HTTP/1.0 200 OK\r\n" + length, "HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n", "HTTP/1.1 304 Not Modified\r\n" + length,
	} {
		check(t, head+"\r\nok", head+"\r\nok")
	}
	for _, fields := range []string{
		"Content-Length: +2", "Content-Length: -2", "Content-Length: 2 2", "Content-Length: 2,2", "Content-Length: 0x2", "Content-Length:",
		"Content-Length: 2.0", "Content-Length: 99999999999999999999", "Content-Length: 2\r\nContent-Length: 2", "Content-Length: 2\r\ncontent-length: 3",
		"Transfer-Encoding: gzip", "Transfer-Encoding: identity", "Transfer-Encoding:", "Transfer-Encoding: chunked, chunked",
		"Transfer-Encoding: gzip, chunked", "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked", "Transfer-Encoding: chunked;a=b",
		"Transfer-Encoding: chunked\r\nContent-Length: 2", "Content-Length: 0\r\nTransfer-Encoding: chunked",
		"Content Length: 2", "Content-Length : 2", "Transfer-Encoding : chunked", " Content-Length: 2",
	} {
		check(t, okLine+fields+"\r\n\r\nok", "")
	}
	for _, head := range []string{
		"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n", "HTTP/1.1 204 No Content\r\n" + length,
		"HTTP/1.1 204 No Content\r\nTransfer-Encoding: chunked\r\n", "HTTP/1.1 100 Continue\r\n" + length,
		"HTTP/1.1 103 Early Hints\r\nTransfer-Encoding: chunked\r\n",
	} {
		check(t, head+"\r\n"+okLine+length+"\r\nok", "")
	}
}

// Guards against a body that becomes a response because an interim one has no body.
func TestBodyOfInterimResponse(t *testing.T) {
	t.Parallel()
	inner := okLine + length + "\r\nok"
	check(t, "HTTP/1.1 100 Continue\r\nContent-Length: 38\r\n\r\n"+inner+inner, "")
	check(t, "HTTP/1.1 100 Continue\r\n"+strings.Repeat("A: b\r\n", 9)+"\r\n"+inner, inner)
}

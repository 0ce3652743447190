//go:build review2

package main

import (
	"fmt"
	"io"
	"net"
	"strings"
	"time"
)

// c9Requests is how many requests with another one in their body are sent.
const c9Requests = 5

// case9: the body of a request looks like a request, and its length is not stated in a way that HTTP/1.1 allows.
func case9(w *world) (int, error) {
	if err := w.addPlain(3); err != nil {
		return failed, err
	}
	w.store.Put("op", "config", manifest(1))
	n, err := w.addNode("esbjerg", true)
	if err != nil {
		return failed, err
	}
	if err := w.await(n.name+" is ready", 15*time.Second, n.isReady); err != nil {
		return failed, err
	}
	time.Sleep(4 * time.Second) // StabilityMs is 3 s.
	for i := range c9Requests {
		if err := sendNested(w, n, i); err != nil {
			return failed, err
		}
	}
	time.Sleep(time.Second)
	outer, inner := 0, 0
	for _, r := range w.fleet.Runs() {
		w.rec.printf("%s ran %s %s, attempt %s, %d bytes of body", r.Server, r.Method, r.URI, r.Attempt, len(r.Body))
		if strings.HasPrefix(r.Attempt, "inner") {
			inner++
			w.rec.printf("UNASKED: %s was part of the body of another request", r.Attempt)
		} else {
			outer++
		}
	}
	w.rec.printf("%d requests were sent; %d of them ran, and %d that were part of a body", c9Requests, outer, inner)
	if inner > 0 {
		return broken, nil
	}
	return held, nil
}

// sendNested sends a request whose body is the text of another one, on a connection of its own.
func sendNested(w *world, n *node, i int) error {
	head := func(path, attempt, length string) string {
		return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: 3000\r\nAuthorization: Bearer %s\r\n%s\r\n\r\n",
			path, host, attempt, accountKey, length)
	}
	body := head("/once/inner", fmt.Sprintf("inner%011d", i), "Content-Length: 4") + "book"
	length := fmt.Sprintf("Content-Length: %d", len(body))
	if w.trouble {
		length = "Transfer-Encoding: identity"
	}
	attempt := fmt.Sprintf("outer%011d", i)
	c, err := net.Dial("tcp", n.front)
	if err != nil {
		return fmt.Errorf("connect: %w", err)
	}
	defer func() { _ = c.Close() }()
	if _, err := c.Write([]byte(head("/once/outer", attempt, length) + body)); err != nil {
		return fmt.Errorf("send: %w", err)
	}
	w.rec.printf("sent %s with %q and a body of %d bytes", attempt, length, len(body))
	_ = c.SetReadDeadline(time.Now().Add(2 * time.Second))
	answer, _ := io.ReadAll(c)
	for line := range strings.SplitSeq(string(answer), "\r\n") {
		if strings.HasPrefix(line, "HTTP/") || strings.HasPrefix(line, "Attempt-Id") {
			w.rec.printf("    got %s", line)
		}
	}
	return nil
}

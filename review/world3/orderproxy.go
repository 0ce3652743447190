//go:build review

package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// orderProxy is in front of a model runner. It passes calls on, and can spoil one of them: the order arrives late and is not
// answered, and a second copy of the last answer on the connection comes where its answer is expected.
type orderProxy struct {
	w      *world
	name   string
	target string

	mu sync.Mutex
	// spoil is the op of the order to spoil, "" for none; by is by how much the order is late.
	spoil   string
	by      time.Duration
	spoiled bool
	// orders is the number of orders that were answered.
	orders int
}

// listen begins and returns the address of the proxy.
func (p *orderProxy) listen(target string) (string, error) {
	p.target = target
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() {
		<-p.w.ctx.Done()
		_ = ln.Close()
	}()
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			go p.serve(nc)
		}
	}()
	return ln.Addr().String(), nil
}

// arm has the proxy spoil the next order of a kind that follows a report on its connection.
func (p *orderProxy) arm(op string, by time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.spoil, p.by = op, by
}

func (p *orderProxy) serve(nc net.Conn) {
	defer nc.Close()
	br := bufio.NewReader(nc)
	var back net.Conn
	var backReader *bufio.Reader
	defer func() {
		if back != nil {
			_ = back.Close()
		}
	}()
	var last []byte // The last answer on the connection, if it was to a report.
	for {
		q, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		body, err := io.ReadAll(q.Body)
		if err != nil {
			return
		}
		raw := rawRequest(q, body)
		if q.URL.Path == "/order" && last != nil && p.takeSpoil(body) {
			by := p.by
			p.w.printf("the order %s to %s gets the last report again as its answer, and arrives %v late", body, p.name, by)
			if _, err := nc.Write(last); err != nil {
				return
			}
			time.AfterFunc(by, func() { p.late(raw, body) })
			return
		}
		if back == nil {
			if back, err = net.Dial("tcp", p.target); err != nil {
				return
			}
			backReader = bufio.NewReader(back)
		}
		if _, err := back.Write(raw); err != nil {
			return
		}
		if q.URL.Path != "/order" && q.URL.Path != "/report" {
			// Connections for requests of callers carry nothing else. All is passed on as it comes.
			go func() {
				_, _ = io.Copy(back, br)
				_ = back.Close()
			}()
			_, _ = io.Copy(nc, backReader)
			return
		}
		resp, err := http.ReadResponse(backReader, q)
		if err != nil {
			return
		}
		answer, err := io.ReadAll(resp.Body)
		if err != nil {
			return
		}
		out := rawResponse(resp, answer)
		if q.URL.Path == "/order" {
			p.mu.Lock()
			p.orders++
			p.mu.Unlock()
			p.w.printf("order %s to %s: %d", body, p.name, resp.StatusCode)
		}
		last = nil
		if q.URL.Path == "/report" && resp.StatusCode == http.StatusOK {
			last = out
		}
		if _, err := nc.Write(out); err != nil {
			return
		}
	}
}

// takeSpoil reports whether an order is to be spoiled. It is so once.
func (p *orderProxy) takeSpoil(body []byte) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.spoil == "" || p.spoiled || !strings.Contains(string(body), fmt.Sprintf(`"Op":"%s"`, p.spoil)) {
		return false
	}
	p.spoiled = true
	return true
}

func (p *orderProxy) late(raw, body []byte) {
	back, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	defer back.Close()
	_ = back.SetDeadline(time.Now().Add(2 * time.Second))
	if _, err := back.Write(raw); err != nil {
		return
	}
	if resp, err := http.ReadResponse(bufio.NewReader(back), nil); err == nil {
		p.w.printf("late order %s to %s: %d", body, p.name, resp.StatusCode)
	}
}

func rawRequest(q *http.Request, body []byte) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", q.Method, q.RequestURI, q.Host)
	q.Header.Del("Content-Length")
	_ = q.Header.Write(&b)
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n", len(body))
	b.Write(body)
	return b.Bytes()
}

func rawResponse(resp *http.Response, body []byte) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %s\r\n", resp.Status)
	resp.Header.Del("Content-Length")
	_ = resp.Header.Write(&b)
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n", len(body))
	b.Write(body)
	return b.Bytes()
}

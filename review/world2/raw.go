//go:build review2

package main

import (
	"fmt"
	"io"
	"net"
	"strings"
	"time"
)

func init() { cases["raw"] = raw }

func raw(w *world) (int, error) {
	if err := w.addPlain(3); err != nil {
		return failed, err
	}
	w.store.Put("op", "config", manifest(1))
	n, err := w.addNode("esbjerg", true)
	if err != nil {
		return failed, err
	}
	if err := w.await("ready", 15*time.Second, n.isReady); err != nil {
		return failed, err
	}
	time.Sleep(time.Second)
	smug := "POST /once/smuggled HTTP/1.1\r\nHost: t.example\r\nAttempt-Id: SMUG%d\r\nAuthorization: Bearer " + accountKey + "\r\nDeadline-Ms: 2000\r\nContent-Length: 1\r\n\r\nx"
	h := func(line string) string {
		return line + "\r\nHost: t.example\r\nAttempt-Id: A%d\r\nAuthorization: Bearer " + accountKey + "\r\nDeadline-Ms: 2000\r\n"
	}
	post, get := h("POST /once/a HTTP/1.1"), h("GET /idem/a HTTP/1.1")
	sm := func(i int) string { return fmt.Sprintf(smug, i) }
	type v struct{ name, req string }
	var vs []v
	add := func(name, f string) { i := len(vs); s := strings.ReplaceAll(f, "A%d", fmt.Sprintf("A%d", i)); vs = append(vs, v{name, strings.ReplaceAll(s, "@@", sm(i))}) }
	L := fmt.Sprint(len(sm(10)))
	add("get body", get+"Content-Length: "+L+"\r\n\r\n@@")
	add("get chunked", get+"Transfer-Encoding: chunked\r\n\r\n"+fmt.Sprintf("%x", len(sm(1)))+"\r\n@@\r\n0\r\n\r\n")
	add("head body", h("HEAD /idem/a HTTP/1.1")+"Content-Length: "+fmt.Sprint(len(sm(2)))+"\r\n\r\n@@")
	add("te xchunked", post+"Transfer-Encoding: xchunked\r\nContent-Length: 3\r\n\r\nabc@@")
	add("te identity,chunked", post+"Transfer-Encoding: identity, chunked\r\n\r\n0\r\n\r\n@@")
	add("te chunked,identity", post+"Transfer-Encoding: chunked, identity\r\n\r\n0\r\n\r\n@@")
	add("te identity", post+"Transfer-Encoding: identity\r\nContent-Length: 3\r\n\r\nabc@@")
	add("te identity only", post+"Transfer-Encoding: identity\r\n\r\n@@")
	add("te empty", post+"Transfer-Encoding: \r\nContent-Length: 3\r\n\r\nabc@@")
	add("te tab", post+"Transfer-Encoding:\tchunked\r\n\r\n0\r\n\r\n")
	add("cl list", post+"Content-Length: 3, 3\r\n\r\nabc")
	add("cl plus", post+"Content-Length: +3\r\n\r\nabc")
	add("cl dup", post+"Content-Length: 3\r\nContent-Length: 3\r\n\r\nabc")
	add("cl neg", post+"Content-Length: -1\r\n\r\nabc")
	add("cl hexish", post+"Content-Length: 0x3\r\n\r\nabc")
	add("cl empty", post+"Content-Length: \r\n\r\n@@")
	add("none", post+"\r\n@@")
	add("fold", post+"X: a\r\n Content-Length: 3\r\n\r\n@@")
	add("lf", strings.ReplaceAll(post+"Content-Length: 3\r\n\r\nabc", "\r\n", "\n"))
	add("bare cr", post+"X: a\rContent-Length: 3\r\n\r\n@@")
	add("chunk ext", post+"Transfer-Encoding: chunked\r\n\r\n3;a=\"\r\nx\"\r\nabc\r\n0\r\n\r\n")
	add("trailer host", post+"Transfer-Encoding: chunked\r\nTrailer: X-T\r\n\r\n3\r\nabc\r\n0\r\nTenant: evil\r\nAttempt-Id: other\r\nX-T: 1\r\n\r\n")
	add("absolute", h("POST http://t.example/once/abs HTTP/1.1")+"Content-Length: 3\r\n\r\nabc")
	add("space uri", h("POST /once/a b HTTP/1.1")+"Content-Length: 3\r\n\r\nabc")
	add("fragment", h("POST /once/a#x?y=1 HTTP/1.1")+"Content-Length: 3\r\n\r\nabc")
	add("dots", h("POST /once/../idem/a?q=%00&r=/../ HTTP/1.1")+"Content-Length: 3\r\n\r\nabc")
	add("enc", h("POST /once/%2e%2e//a?b=c%20d+e HTTP/1.1")+"Content-Length: 3\r\n\r\nabc")
	add("put", h("PUT /once/a HTTP/1.1")+"Content-Length: 3\r\n\r\nabc")
	add("delete", h("DELETE /once/a HTTP/1.1")+"Content-Length: 3\r\n\r\nabc")
	add("options", h("OPTIONS /idem/a HTTP/1.1")+"\r\n")
	add("form", post+"Content-Type: application/x-www-form-urlencoded\r\nContent-Length: 9\r\n\r\nb=2&a=1&c")
	add("multipart", post+"Content-Type: multipart/form-data; boundary=x\r\nContent-Length: 48\r\n\r\n--x\r\nContent-Disposition: form-data; name=a\r\n\r\n1\r\n"+"--x--")
	add("expect", post+"Expect: 100-continue\r\nContent-Length: 3\r\n\r\nabc")
	add("conn te", post+"Connection: Attempt-Id, Content-Length\r\nContent-Length: 3\r\n\r\nabc")
	add("upgrade", get+"Connection: Upgrade\r\nUpgrade: websocket\r\n\r\n")
	add("http10", strings.Replace(post, "HTTP/1.1", "HTTP/1.0", 1)+"Content-Length: 3\r\n\r\nabc")
	add("dup attempt", post+"Attempt-Id: second\r\nContent-Length: 3\r\n\r\nabc")
	add("dup auth", post+"Authorization: Bearer zzz\r\nContent-Length: 3\r\n\r\nabc")
	add("lower auth", post+"Proxy-Authorization: Bearer "+accountKey+"\r\nX-Key: "+accountKey+"\r\nContent-Length: 3\r\n\r\nabc")
	add("pipelined", post+"Content-Length: 3\r\n\r\nabc@@")
	for i, x := range vs {
		before := len(w.fleet.Runs())
		c, err := net.Dial("tcp", n.front)
		if err != nil {
			return failed, err
		}
		_, _ = c.Write([]byte(x.req))
		_ = c.SetReadDeadline(time.Now().Add(1500 * time.Millisecond))
		b, _ := io.ReadAll(c)
		_ = c.Close()
		lines := []string{}
		for _, l := range strings.Split(string(b), "\r\n") {
			if strings.HasPrefix(l, "HTTP/") {
				lines = append(lines, l)
			}
		}
		w.rec.printf("%2d %-18s answers %q", i, x.name, lines)
		for _, r := range w.fleet.Runs()[before:] {
			w.rec.printf("      ran %s %s attempt %s tenant %s key %q body %q", r.Method, r.URI, r.Attempt, r.Tenant, r.Key, r.Body)
		}
	}
	return held, nil
}

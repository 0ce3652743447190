package admin

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/base64"
	"encoding/hex"
	"encoding/json"
	"strings"
	"time"
	"unicode"

	"geraniumhollow/internal/conf/view"
	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

// sessionLifetime is a working day; the operator then logs in again.
const sessionLifetime = 12 * time.Hour

// secretBytes is the size of signing keys and account keys.
const secretBytes = 32

// maxAuthorRunes bounds the name that the history shows beside a version.
const maxAuthorRunes = 64

// session is the content of the cookie.
type session struct {
	ID     string `json:"id"`
	Author string `json:"author"`
	// Expires is in seconds since 1970.
	Expires int64 `json:"expires"`
}

// logins checks operator keys and signs sessions. The signing key is made at start, because nodes keep
// nothing: a session holds on one node and until that node restarts.
type logins struct {
	keyHash string
	cookie  string
	secret  []byte
	now     func() time.Time
}

// newLogins returns the logins of a node. The node's name is part of the cookie's name, because cookies
// do not tell the ports of one address apart.
func newLogins(keyHash, node string, now func() time.Time) (logins, error) {
	secret := make([]byte, secretBytes)
	if _, err := rand.Read(secret); err != nil {
		return logins{}, errors.Newf("make signing key: %w", err)
	}
	tag := sha256.Sum256([]byte(node))
	return logins{keyHash: strings.ToLower(keyHash), cookie: "operator_" + hex.EncodeToString(tag[:6]), secret: secret, now: now}, nil
}

// configured reports whether there is an operator key.
func (l logins) configured() bool { return l.keyHash != "" }

// keyMatches compares in constant time.
func (l logins) keyMatches(key string) bool {
	return l.configured() && subtle.ConstantTimeCompare([]byte(view.HashKey(key)), []byte(l.keyHash)) == 1
}

// bearer reports whether a request carries the operator key.
func (l logins) bearer(h *fasthttp.RequestHeader) bool {
	key, ok := strings.CutPrefix(string(h.Peek("Authorization")), "Bearer ")
	return ok && l.keyMatches(key)
}

func (l logins) sign(parts ...string) string {
	m := hmac.New(sha256.New, l.secret)
	_, _ = m.Write([]byte(strings.Join(parts, "\x00")))
	return base64.RawURLEncoding.EncodeToString(m.Sum(nil))
}

// start sets the cookie of a new session.
func (l logins) start(rc *fasthttp.RequestCtx, author string) error {
	id := make([]byte, secretBytes)
	if _, err := rand.Read(id); err != nil {
		return errors.Newf("make session id: %w", err)
	}
	raw, err := json.Marshal(session{
		ID: base64.RawURLEncoding.EncodeToString(id), Author: author, Expires: l.now().Add(sessionLifetime).Unix(),
	})
	if err != nil {
		return errors.Newf("encode session: %w", err)
	}
	body := base64.RawURLEncoding.EncodeToString(raw)
	l.setCookie(rc, body+"."+l.sign("session", body), int(sessionLifetime.Seconds()))
	return nil
}

// end removes the cookie.
func (l logins) end(rc *fasthttp.RequestCtx) { l.setCookie(rc, "", -1) }

func (l logins) setCookie(rc *fasthttp.RequestCtx, value string, maxAge int) {
	c := fasthttp.AcquireCookie()
	defer fasthttp.ReleaseCookie(c)
	c.SetKey(l.cookie)
	c.SetValue(value)
	c.SetPath("/")
	c.SetHTTPOnly(true)
	c.SetSameSite(fasthttp.CookieSameSiteStrictMode)
	if maxAge < 0 {
		c.SetExpire(fasthttp.CookieExpireDelete)
	} else {
		c.SetMaxAge(maxAge)
	}
	rc.Response.Header.SetCookie(c)
}

// session returns the session of a request, if its cookie was signed by this node and has not expired.
func (l logins) session(h *fasthttp.RequestHeader) (session, bool) {
	body, mac, ok := strings.Cut(string(h.Cookie(l.cookie)), ".")
	if !ok || !equal(mac, l.sign("session", body)) {
		return session{}, false
	}
	raw, err := base64.RawURLEncoding.DecodeString(body)
	if err != nil {
		return session{}, false
	}
	var out session
	if err := json.Unmarshal(raw, &out); err != nil || l.now().Unix() >= out.Expires {
		return session{}, false
	}
	return out, true
}

// token returns the cross-site token of a session's forms; the login form uses the empty session.
func (l logins) token(s session) string { return l.sign("form", s.ID) }

// ownPost reports whether a post comes from a form of this node in the given session.
func (l logins) ownPost(rc *fasthttp.RequestCtx, s session) bool {
	return sameOrigin(rc) && equal(string(rc.PostArgs().Peek("token")), l.token(s))
}

// sameOrigin checks the headers that browsers set and pages cannot change.
func sameOrigin(rc *fasthttp.RequestCtx) bool {
	if site := string(rc.Request.Header.Peek("Sec-Fetch-Site")); site != "" && site != "same-origin" {
		return false
	}
	origin, host := string(rc.Request.Header.Peek("Origin")), string(rc.Host())
	return host != "" && (origin == "http://"+host || origin == "https://"+host)
}

func equal(a, b string) bool { return subtle.ConstantTimeCompare([]byte(a), []byte(b)) == 1 }

// validAuthor reports whether a name can stand in the history.
func validAuthor(name string) bool {
	n := 0
	for _, r := range name {
		if !unicode.IsPrint(r) {
			return false
		}
		n++
	}
	return strings.TrimSpace(name) != "" && n <= maxAuthorRunes
}

// newAccountKey returns a bearer key for a client account.
func newAccountKey() (string, error) {
	b := make([]byte, secretBytes)
	if _, err := rand.Read(b); err != nil {
		return "", errors.Newf("make account key: %w", err)
	}
	return base64.RawURLEncoding.EncodeToString(b), nil
}

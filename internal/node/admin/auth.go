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

// sessionLifetime covers a working day, after which the operator must log in again.
const sessionLifetime = 12 * time.Hour

// secretBytes is the size of signing keys and account keys.
const secretBytes = 32

// maxAuthorRunes limits the length of the author name shown in the history.
const maxAuthorRunes = 64

// session is the content of the session cookie.
type session struct {
	ID     string `json:"id"`
	Author string `json:"author"`
	// Expires is a Unix time in seconds.
	Expires int64 `json:"expires"`
}

// authenticator checks operator keys and signs sessions. The signing key is generated at startup, because
// nodes have no persistent state: a session is valid on one node only, until that node restarts.
type authenticator struct {
	keyHash    string
	cookie     string
	signingKey []byte
	now        func() time.Time
}

// newAuthenticator returns the authenticator of a node. The cookie name includes a hash of the node name,
// because browsers share cookies between all ports of a host.
func newAuthenticator(keyHash, node string, now func() time.Time) (authenticator, error) {
	secret := make([]byte, secretBytes)
	if _, err := rand.Read(secret); err != nil {
		return authenticator{}, errors.Newf("generate signing key: %w", err)
	}
	tag := sha256.Sum256([]byte(node))
	return authenticator{keyHash: strings.ToLower(keyHash), cookie: "operator_" + hex.EncodeToString(tag[:6]), signingKey: secret, now: now}, nil
}

// configured reports whether an operator key is set.
func (a authenticator) configured() bool { return a.keyHash != "" }

// keyMatches reports whether key is the operator key. It compares the hashes in constant time.
func (a authenticator) keyMatches(key string) bool {
	return a.configured() && subtle.ConstantTimeCompare([]byte(view.HashKey(key)), []byte(a.keyHash)) == 1
}

// bearer reports whether a request carries the operator key.
func (a authenticator) bearer(h *fasthttp.RequestHeader) bool {
	key, ok := strings.CutPrefix(string(h.Peek("Authorization")), "Bearer ")
	return ok && a.keyMatches(key)
}

func (a authenticator) sign(parts ...string) string {
	m := hmac.New(sha256.New, a.signingKey)
	_, _ = m.Write([]byte(strings.Join(parts, "\x00")))
	return base64.RawURLEncoding.EncodeToString(m.Sum(nil))
}

// startSession sets the cookie of a new session.
func (a authenticator) startSession(rc *fasthttp.RequestCtx, author string) error {
	id := make([]byte, secretBytes)
	if _, err := rand.Read(id); err != nil {
		return errors.Newf("generate session id: %w", err)
	}
	raw, err := json.Marshal(session{
		ID: base64.RawURLEncoding.EncodeToString(id), Author: author, Expires: a.now().Add(sessionLifetime).Unix(),
	})
	if err != nil {
		return errors.Newf("encode session: %w", err)
	}
	body := base64.RawURLEncoding.EncodeToString(raw)
	a.setCookie(rc, body+"."+a.sign("session", body), int(sessionLifetime.Seconds()))
	return nil
}

// endSession deletes the session cookie.
func (a authenticator) endSession(rc *fasthttp.RequestCtx) { a.setCookie(rc, "", -1) }

func (a authenticator) setCookie(rc *fasthttp.RequestCtx, value string, maxAge int) {
	c := fasthttp.AcquireCookie()
	defer fasthttp.ReleaseCookie(c)
	c.SetKey(a.cookie)
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
func (a authenticator) session(h *fasthttp.RequestHeader) (session, bool) {
	body, mac, ok := strings.Cut(string(h.Cookie(a.cookie)), ".")
	if !ok || !constantTimeEqual(mac, a.sign("session", body)) {
		return session{}, false
	}
	raw, err := base64.RawURLEncoding.DecodeString(body)
	if err != nil {
		return session{}, false
	}
	var out session
	if err := json.Unmarshal(raw, &out); err != nil || a.now().Unix() >= out.Expires {
		return session{}, false
	}
	return out, true
}

// token returns the CSRF token for the forms of a session. The login form uses the empty session.
func (a authenticator) token(s session) string { return a.sign("form", s.ID) }

// verifyPost reports whether a POST request comes from a form that this node served in the given session.
func (a authenticator) verifyPost(rc *fasthttp.RequestCtx, s session) bool {
	return sameOrigin(rc) && constantTimeEqual(string(rc.PostArgs().Peek("token")), a.token(s))
}

// sameOrigin reports whether a request has the same origin as this server, by headers that browsers set
// and scripts cannot override.
func sameOrigin(rc *fasthttp.RequestCtx) bool {
	if site := string(rc.Request.Header.Peek("Sec-Fetch-Site")); site != "" && site != "same-origin" {
		return false
	}
	origin, host := string(rc.Request.Header.Peek("Origin")), string(rc.Host())
	return host != "" && (origin == "http://"+host || origin == "https://"+host)
}

func constantTimeEqual(a, b string) bool {
	return subtle.ConstantTimeCompare([]byte(a), []byte(b)) == 1
}

// validAuthor reports whether a name is allowed as the author of a version: not blank, printable and not
// too long.
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
		return "", errors.Newf("generate account key: %w", err)
	}
	return base64.RawURLEncoding.EncodeToString(b), nil
}

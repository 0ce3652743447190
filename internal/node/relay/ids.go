package relay

import (
	"fmt"
	"regexp"
	"strconv"
	"strings"

	"github.com/google/uuid"
	"github.com/zeebo/xxh3"
)

// NewRequestID returns a fresh id <node>-<account tag>-<random>.
func NewRequestID(node, account string) string {
	return node + "-" + AccountTag(account) + "-" + strings.ReplaceAll(uuid.NewString(), "-", "")
}

// AccountTag returns the part of a request id that stands for a client account.
func AccountTag(account string) string { return fmt.Sprintf("%08x", uint32(xxh3.HashString(account))) }

// ParseRequestID returns the node and the account tag that a request id names.
func ParseRequestID(id string) (string, string, bool) {
	rest, _, ok := cutLast(id, "-")
	if !ok {
		return "", "", false
	}
	node, tag, ok := cutLast(rest, "-")
	return node, tag, ok && node != "" && tag != ""
}

// EventID returns the id <request id>:<offset>:<backend server> of the event with a token.
func EventID(requestID string, offset int, server string) string {
	return requestID + ":" + strconv.Itoa(offset) + ":" + server
}

// ParseEventID returns the demand for what follows an event. Its Account is empty.
func ParseEventID(id string) (Ask, bool) {
	parts := strings.Split(id, ":")
	if len(parts) != 3 || parts[0] == "" {
		return Ask{}, false
	}
	offset, err := strconv.Atoi(parts[1])
	if err != nil || offset < 0 {
		return Ask{}, false
	}
	return Ask{RequestID: parts[0], Offset: offset + 1, Server: parts[2]}, true
}

// cutLast cuts s around the last sep.
func cutLast(s, sep string) (string, string, bool) {
	i := strings.LastIndex(s, sep)
	if i < 0 {
		return s, "", false
	}
	return s[:i], s[i+len(sep):], true
}

// requestIDForm is what NewRequestID returns.
var requestIDForm = regexp.MustCompile(`^.+-[0-9a-f]{8}-[0-9a-f]{32}$`)

// OriginOf returns the node that a request id names, if the id has the form of those that nodes make. A
// caller can send any text as an id; the node name still has to be checked.
func OriginOf(id string) (string, bool) {
	node, _, ok := ParseRequestID(id)
	return node, ok && requestIDForm.MatchString(id)
}

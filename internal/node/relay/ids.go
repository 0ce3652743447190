package relay

import (
	"fmt"
	"regexp"
	"strconv"
	"strings"

	"github.com/google/uuid"
	"github.com/zeebo/xxh3"
)

// NewRequestID returns a new ID of the form <node>-<account tag>-<random>.
func NewRequestID(node, account string) string {
	return node + "-" + AccountTag(account) + "-" + strings.ReplaceAll(uuid.NewString(), "-", "")
}

// AccountTag returns the part of a request ID that identifies a client account.
func AccountTag(account string) string { return fmt.Sprintf("%08x", uint32(xxh3.HashString(account))) }

// ParseRequestID returns the node and the account tag in a request ID.
func ParseRequestID(id string) (string, string, bool) {
	rest, _, ok := cutLast(id, "-")
	if !ok {
		return "", "", false
	}
	node, tag, ok := cutLast(rest, "-")
	return node, tag, ok && node != "" && tag != ""
}

// EventID returns the ID <request ID>:<offset>:<backend server> of the event with a token.
func EventID(requestID string, offset int, server string) string {
	return requestID + ":" + strconv.Itoa(offset) + ":" + server
}

// ParseEventID returns the ResumeRequest for the part of the answer that follows an event. Its Account is empty.
func ParseEventID(id string) (ResumeRequest, bool) {
	parts := strings.Split(id, ":")
	if len(parts) != 3 || parts[0] == "" {
		return ResumeRequest{}, false
	}
	offset, err := strconv.Atoi(parts[1])
	if err != nil || offset < 0 {
		return ResumeRequest{}, false
	}
	return ResumeRequest{RequestID: parts[0], Offset: offset + 1, Server: parts[2]}, true
}

// cutLast is like strings.Cut for the last sep in s.
func cutLast(s, sep string) (string, string, bool) {
	i := strings.LastIndex(s, sep)
	if i < 0 {
		return s, "", false
	}
	return s[:i], s[i+len(sep):], true
}

// requestIDPattern matches the IDs that NewRequestID returns.
var requestIDPattern = regexp.MustCompile(`^.+-[0-9a-f]{8}-[0-9a-f]{32}$`)

// OriginNode returns the node in a request ID, if the ID has the form that NewRequestID returns. A caller can
// send any text as an ID, so the node name must still be validated.
func OriginNode(id string) (string, bool) {
	node, _, ok := ParseRequestID(id)
	return node, ok && requestIDPattern.MatchString(id)
}

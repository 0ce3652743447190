package peer

import (
	"net"

	"github.com/cockroachdb/errors"
)

// handshakeBytes bounds the response to the handshake of a link.
const handshakeBytes = 4 << 10

// errHandshakeTooLong means that a process at the address of a node sends more than a handshake.
var errHandshakeTooLong = errors.New("handshake is too long")

// handshakeConn bounds what is read of a connection until its handshake is done: the WebSocket library reads a head of any
// length.
type handshakeConn struct {
	net.Conn

	// left is the number of bytes that may still be read.
	left int
	done bool
}

// Read implements net.Conn.
func (c *handshakeConn) Read(b []byte) (int, error) {
	if c.done {
		return c.Conn.Read(b) //nolint:wrapcheck // As of the connection.
	}
	if c.left == 0 {
		return 0, errHandshakeTooLong
	}
	n, err := c.Conn.Read(b[:min(len(b), c.left)])
	c.left -= n
	return n, err //nolint:wrapcheck // As of the connection.
}

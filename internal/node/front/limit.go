package front

import (
	"net"
	"time"
)

const (
	// minHeaderTime and minBodyTime are the times for which a connection that has sent part of a header, or of a body, is not closed
	// for another one: ordinary headers arrive within a round trip, ordinary bodies within a few.
	minHeaderTime = time.Second
	minBodyTime   = 3 * time.Second
	// closingShare is the part of MaxConnections that may be open beyond it while others are being closed. A limit below 16 leaves
	// no room for that, so that new connections are refused.
	closingShare = 1.0 / 16
)

// addConn adds a connection, and reports false if there are too many.
func (s *Server) addConn(c *conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if limit := s.cfg.MaxConnections; limit > 0 && len(s.conns) >= limit {
		s.shedConns.Add(1)
		if len(s.conns) >= limit+int(closingShare*float64(limit)) || !s.closeIdle() {
			return false
		}
	}
	s.conns[c] = struct{}{}
	return true
}

// closeIdle closes the connection that has been idle for longest, or else the one that has sent part of a header for longest, or else
// of a body. It reports false if there is none. The lock must be held.
func (s *Server) closeIdle() bool {
	now := time.Now()
	var longest [handling]*conn
	var since [handling]time.Time
	for c := range s.conns {
		p, entered, expired := c.state()
		if expired || p >= handling || now.Sub(entered) < minTimes[p] {
			continue
		}
		if longest[p] == nil || entered.Before(since[p]) {
			longest[p], since[p] = c, entered
		}
	}
	for p, c := range longest {
		if c != nil {
			c.expire(phase(p))
			return true
		}
	}
	return false
}

// minTimes are the times for which connections in the phases before handling are not closed for another one.
var minTimes = [handling]time.Duration{reading: minHeaderTime, readingBody: minBodyTime}

// state returns the phase of the connection, since when it has been in it, and whether it has to end it for others.
func (c *conn) state() (phase, time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.phase, c.entered, c.expired
}

// clientAddress returns the IP address of a caller.
func clientAddress(nc net.Conn) string {
	if a, ok := nc.RemoteAddr().(*net.TCPAddr); ok {
		return a.IP.String()
	}
	return ""
}

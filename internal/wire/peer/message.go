package peer

import (
	"io"
	"time"

	"geraniumhollow/internal/route/shed"
	"geraniumhollow/internal/wire/frame"
	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
)

const (
	// firstBytes is the first size of the buffer of a message.
	firstBytes = 512
	// freeBytes is what a message may take without drawing on the budget of the process.
	freeBytes = 4 << 10
)

// errNoMemory ends a link of whose message this process cannot hold more.
var errNoMemory = errors.New("no memory for the message")

// message is an encoded frame that is being read, or has been. body is its share of the budget; nil while at most freeBytes are held.
type message struct {
	bytes []byte
	body  *shed.Body
}

// readMessage reads the next message. Its memory must be released.
func (l *link) readMessage() (*message, error) {
	_, r, err := l.ws.NextReader()
	if err != nil {
		return nil, errors.Newf("read message: %w", err)
	}
	m := &message{}
	for {
		if len(m.bytes) == cap(m.bytes) {
			if err := l.grow(m); err != nil {
				m.release()
				return nil, err
			}
		}
		n, err := r.Read(m.bytes[len(m.bytes):cap(m.bytes)])
		m.bytes = m.bytes[:len(m.bytes)+n]
		switch {
		case errors.Is(err, io.EOF):
			return m, nil
		case err != nil:
			m.release()
			return nil, errors.Newf("read message: %w", err)
		}
	}
}

// grow doubles the buffer of a message.
func (l *link) grow(m *message) error {
	size := max(firstBytes, 2*cap(m.bytes))
	if l.net.cfg.Messages != nil && size > freeBytes {
		now, held := time.Now(), cap(m.bytes)
		if m.body == nil {
			m.body, held = l.net.cfg.Messages.Open(now, l.peer.Node, -1, frame.MaxBytes, l), 0
		}
		m.body.Progress(now, len(m.bytes))
		if !m.body.Grow(now, size-held) {
			l.logShed()
			return errNoMemory
		}
	}
	m.bytes = append(make([]byte, 0, size), m.bytes...)
	return nil
}

// release returns the memory.
func (m *message) release() {
	if m.body != nil {
		m.body.Close()
	}
}

// Shed implements shed.Source: the message gives way to others.
func (l *link) Shed() {
	l.logShed()
	l.close()
}

func (l *link) logShed() {
	l.net.shedLog.Log(l.net.cfg.Log, hclog.Warn, "closed a link whose message gave way to others", "peer", l.peer.Node)
}

package peers

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"geraniumhollow/internal/conf/schema"
	"geraniumhollow/internal/conf/watch"
	"geraniumhollow/internal/fleet/roster"
	"geraniumhollow/internal/wire/frame"
	"geraniumhollow/internal/wire/peer"
	"github.com/cockroachdb/errors"
	"github.com/klauspost/compress/zstd"
)

// Bounds of compression. The window holds the repeated parts of a document, which are short; a
// larger one would cost each node megabytes.
const (
	windowBytes = 256 << 10
	maxDocument = 64 << 20
)

// codec compresses documents. It is made at the first use.
var codec = sync.OnceValues(func() (*zstd.Encoder, *zstd.Decoder) {
	enc, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true),
		zstd.WithWindowSize(windowBytes))
	if err != nil {
		panic(err) // The options are constants.
	}
	dec, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true),
		zstd.WithDecoderMaxMemory(maxDocument))
	if err != nil {
		panic(err) // The options are constants.
	}
	return enc, dec
})

// Pack returns the form in which a document goes to peers.
func Pack(doc *schema.Document) ([]byte, error) {
	raw, err := json.Marshal(doc)
	if err != nil {
		return nil, errors.Newf("encode document: %w", err)
	}
	enc, _ := codec()
	return enc.EncodeAll(raw, nil), nil
}

// Unpack reads what Pack returned.
func Unpack(packed []byte) (*schema.Document, error) {
	_, dec := codec()
	raw, err := dec.DecodeAll(packed, nil)
	if err != nil {
		return nil, errors.Newf("decompress document: %w", err)
	}
	doc := &schema.Document{}
	if err := json.Unmarshal(raw, doc); err != nil {
		return nil, errors.Newf("decode document: %w", err)
	}
	return doc, nil
}

// act carries out an action of the watch.
func (p *Peers) act(ctx context.Context, a watch.Action) {
	switch a.Kind {
	case watch.ReadVersion:
		p.readVersion(ctx)
	case watch.ReadDocument:
		p.loaded(p.readDocument(ctx, a.Version), "document not read", a)
	case watch.AskDocument:
		p.loaded(p.askDocument(ctx, a), "document not received", a)
	}
	p.tick()
}

// readVersion reads the version row. The confirmation counts from before the read was sent.
func (p *Peers) readVersion(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	sent := time.Now()
	v, _, err := p.cfg.Configs.Version(ctx)
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil {
		p.cfg.Log.Debug("version not read", "error", err)
		p.watch.ReadFailed()
		return
	}
	p.watch.Read(sent, v)
}

// loaded notes a failure to get a document.
func (p *Peers) loaded(err error, what string, a watch.Action) {
	if err == nil {
		return
	}
	p.cfg.Log.Debug(what, "version", a.Version, "peer", a.Peer, "error", err)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.watch.LoadFailed()
}

func (p *Peers) readDocument(ctx context.Context, version uint64) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	e, err := p.cfg.Configs.Entry(ctx, version)
	if err != nil {
		return errors.Newf("read document: %w", err)
	}
	packed, err := Pack(e.Document)
	if err != nil {
		return err
	}
	p.install(e.Version, e.Document, packed, "")
	return nil
}

func (p *Peers) askDocument(ctx context.Context, a watch.Action) error {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	reply, err := p.net.Ask(ctx, a.Peer, &frame.ConfigAsk{Ver: int(a.Version)})
	if err != nil {
		return errors.Newf("ask for document: %w", err)
	}
	m, ok := reply.(*frame.ConfigDocument)
	if !ok || m.Ver < int(a.Version) {
		return errors.Newf("answer is %T: %w", reply, peer.ErrRefused)
	}
	return p.receive(a.Peer, m)
}

// received takes a document that a peer sent unasked.
func (p *Peers) received(from string, m *frame.ConfigDocument) {
	if err := p.receive(from, m); err != nil {
		p.cfg.Log.Warn("document of a peer not usable", "peer", from, "version", m.Ver, "error", err)
	}
	p.tick()
}

// receive puts a document of a peer in force if it is newer.
func (p *Peers) receive(from string, m *frame.ConfigDocument) error {
	if m.Ver <= 0 {
		return errors.Newf("version %d: %w", m.Ver, frame.ErrMalformed)
	}
	p.mu.Lock()
	known := uint64(m.Ver) <= p.watch.Version()
	p.mu.Unlock()
	if known {
		return nil
	}
	doc, err := Unpack(m.Doc)
	if err != nil {
		return err
	}
	p.install(uint64(m.Ver), doc, m.Doc, from)
	return nil
}

// install puts a document in force if it is newer than the own one, and passes it on. A node that
// read it from the table sends the document to all neighbours, and one that got it passes it along
// the tree; in other directions it only offers it, because the receivers have it from the node that
// read it.
func (p *Peers) install(version uint64, doc *schema.Document, packed []byte, from string) {
	p.mu.Lock()
	if !p.watch.Loaded(version) {
		p.mu.Unlock()
		return
	}
	p.packed = packed
	p.cfg.Apply(version, doc)
	neighbours := p.roster.Neighbours()
	p.mu.Unlock()
	p.cfg.Log.Info("configuration in force", "version", version, "from", from)
	p.cfg.Installed(version, from)
	for node, rel := range neighbours {
		if node == from {
			continue
		}
		tree := rel == roster.Parent || rel == roster.Child
		// The other data centres have it from this one if it came from below.
		across := rel == roster.Root && neighbours[from] == roster.Child
		if from == "" || tree || across {
			_ = p.net.Send(node, &frame.ConfigDocument{Ver: int(version), Doc: packed})
			continue
		}
		_ = p.net.Send(node, &frame.ConfigOffer{Ver: int(version)})
	}
}

// offered notes that a peer has a version.
func (p *Peers) offered(from peer.Peer, m *frame.ConfigOffer) {
	if m.Ver <= 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.watch.Offered(time.Now(), from.Node, uint64(m.Ver))
}

// document answers a peer that asks for the configuration.
func (p *Peers) document(_ context.Context, _ peer.Peer, m *frame.ConfigAsk) *frame.ConfigDocument {
	p.mu.Lock()
	defer p.mu.Unlock()
	v := p.watch.Version()
	if v == 0 || m.Ver < 0 || v < uint64(m.Ver) {
		return nil
	}
	return &frame.ConfigDocument{Ver: int(v), Doc: p.packed}
}

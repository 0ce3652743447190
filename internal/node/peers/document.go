package peers

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"geraniumhollow/internal/conf/schema"
	"geraniumhollow/internal/conf/watch"
	"geraniumhollow/internal/fleet/duty"
	"geraniumhollow/internal/fleet/roster"
	"geraniumhollow/internal/plat/table"
	"geraniumhollow/internal/wire/frame"
	"geraniumhollow/internal/wire/peer"
	"github.com/cockroachdb/errors"
	"github.com/klauspost/compress/zstd"
)

// Compression limits. The repeated parts of a document are short enough for this window; a larger
// window would cost each node megabytes of memory.
const (
	windowBytes      = 256 << 10
	maxDocumentBytes = 64 << 20
)

// codec returns the shared encoder and decoder, which are created on first use.
var codec = sync.OnceValues(func() (*zstd.Encoder, *zstd.Decoder) {
	enc, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true),
		zstd.WithWindowSize(windowBytes))
	if err != nil {
		panic(err) // The options are constants.
	}
	dec, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true),
		zstd.WithDecoderMaxMemory(maxDocumentBytes))
	if err != nil {
		panic(err) // The options are constants.
	}
	return enc, dec
})

// Pack encodes and compresses a document for sending to peers.
func Pack(doc *schema.Document) ([]byte, error) {
	raw, err := json.Marshal(doc)
	if err != nil {
		return nil, errors.Newf("encode document: %w", err)
	}
	enc, _ := codec()
	return enc.EncodeAll(raw, nil), nil
}

// Unpack decodes a document that Pack encoded.
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

// runAction executes an action requested by the configuration watch.
func (p *Peers) runAction(ctx context.Context, a watch.Action) {
	switch a.Kind {
	case watch.ReadVersion:
		p.readVersion(ctx)
	case watch.ReadDocument:
		p.checkLoad(p.readDocument(ctx, a.Version), "failed to read configuration document", a)
	case watch.RequestDocument:
		p.checkLoad(p.requestDocument(ctx, a), "failed to get configuration document from peer", a)
	}
	p.tick()
}

// readVersion reads the version row. The confirmation is dated to before the read was sent.
func (p *Peers) readVersion(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	sent := time.Now()
	v, row, err := p.cfg.Configs.Version(ctx)
	p.mu.Lock()
	if err != nil {
		p.cfg.Log.Debug("failed to read configuration version", "error", err)
		p.watch.VersionReadFailed()
		p.mu.Unlock()
		return
	}
	if p.mayBeRestored(v, row) {
		p.watch.VersionReadFailed()
		p.mu.Unlock()
		return
	}
	p.watch.VersionRead(sent, v)
	own, packed := p.watch.Version(), p.packedDocument
	p.mu.Unlock()
	if v < own {
		p.writeAgain(ctx, row, own, packed)
	}
}

// restoredStartDelay is how long a node that starts on a table that was restored waits for a newer version from its peers.
const restoredStartDelay = 3 * time.Second

// mayBeRestored reports whether a node that has just started may get a newer version than v from its peers: the table has been
// restored since v was accepted. p.mu is held.
func (p *Peers) mayBeRestored(v uint64, row table.Row) bool {
	return p.watch.Version() == 0 && v <= duty.FirstOfEra(row.Revision.Era) && row.Revision.Era > 1 &&
		time.Since(p.base) < restoredStartDelay
}

// writeAgain stores the installed version, which a table that was restored from an older copy has lost. If the table was
// read before the version was accepted, the row has changed, and nothing is written.
func (p *Peers) writeAgain(ctx context.Context, row table.Row, version uint64, packed []byte) {
	doc, err := Unpack(packed)
	if err == nil {
		err = p.cfg.Configs.WriteAgain(ctx, row, version, doc)
	}
	if err != nil {
		p.cfg.Log.Info("configuration version that the table lacks was not written again", "version", version, "error", err)
		return
	}
	p.cfg.Log.Warn("wrote a configuration version again that the table had lost", "version", version)
}

// checkLoad logs and records a failure to get a document.
func (p *Peers) checkLoad(err error, msg string, a watch.Action) {
	if err == nil {
		return
	}
	p.cfg.Log.Debug(msg, "version", a.Version, "peer", a.Peer, "error", err)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.watch.DocumentLoadFailed()
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

func (p *Peers) requestDocument(ctx context.Context, a watch.Action) error {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	reply, err := p.net.Ask(ctx, a.Peer, &frame.ConfigAsk{Ver: int(a.Version)})
	if err != nil {
		return errors.Newf("request document: %w", err)
	}
	m, ok := reply.(*frame.ConfigDocument)
	if !ok || m.Ver < int(a.Version) {
		return errors.Newf("unusable reply %T: %w", reply, peer.ErrRefused)
	}
	return p.installReceived(a.Peer, m)
}

// handleDocument handles a document that a peer sent without a request.
func (p *Peers) handleDocument(from string, m *frame.ConfigDocument) {
	if err := p.installReceived(from, m); err != nil {
		p.cfg.Log.Warn("unusable configuration document from peer", "peer", from, "version", m.Ver, "error", err)
	}
	p.tick()
}

// installReceived installs a document from a peer if it is newer than the installed one.
func (p *Peers) installReceived(from string, m *frame.ConfigDocument) error {
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

// install applies a document if it is newer than the installed one, and forwards it. A node that
// read the document from the table sends it to all neighbours. A node that received it from a peer
// forwards it along the tree and only offers it to other neighbours, because those get it from the
// node that read it.
func (p *Peers) install(version uint64, doc *schema.Document, packed []byte, from string) {
	p.mu.Lock()
	if !p.watch.DocumentLoaded(version) {
		p.mu.Unlock()
		return
	}
	p.packedDocument = packed
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
		// Other data centres get the document from this one if it came from a child.
		toOtherDataCentres := rel == roster.Root && neighbours[from] == roster.Child
		if from == "" || tree || toOtherDataCentres {
			_ = p.net.Send(node, &frame.ConfigDocument{Ver: int(version), Doc: packed})
			continue
		}
		_ = p.net.Send(node, &frame.ConfigOffer{Ver: int(version)})
	}
}

// handleOffer records that a peer offers a version.
func (p *Peers) handleOffer(from peer.Peer, m *frame.ConfigOffer) {
	if m.Ver <= 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.watch.VersionOffered(time.Now(), from.Node, uint64(m.Ver))
}

// answerConfigAsk returns the installed document to a peer, or nil if there is none or it is older
// than the requested version.
func (p *Peers) answerConfigAsk(_ context.Context, _ peer.Peer, m *frame.ConfigAsk) *frame.ConfigDocument {
	p.mu.Lock()
	defer p.mu.Unlock()
	v := p.watch.Version()
	if v == 0 || m.Ver < 0 || v < uint64(m.Ver) {
		return nil
	}
	return &frame.ConfigDocument{Ver: int(v), Doc: p.packedDocument}
}

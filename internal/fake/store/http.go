package store

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strconv"

	"geraniumhollow/internal/core/httpd"
	"geraniumhollow/internal/plat/hosts"
	"geraniumhollow/internal/plat/object"
	"geraniumhollow/internal/plat/table"
	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

// maxBodyBytes bounds a transaction or an object.
const maxBodyBytes = 16 << 20

// Serve answers the protocols of the table, the object store and the live list on ln until ctx ends.
func (s *Store) Serve(ctx context.Context, ln net.Listener) error {
	srv := &fasthttp.Server{
		Handler:            func(rc *fasthttp.RequestCtx) { s.handle(ctx, rc) },
		MaxRequestBodySize: maxBodyBytes,
	}
	if err := httpd.Serve(ctx, srv, ln); err != nil {
		return errors.Newf("serve platform stand-in: %w", err)
	}
	return nil
}

func (s *Store) handle(ctx context.Context, rc *fasthttp.RequestCtx) {
	out, err := s.dispatch(ctx, rc)
	switch {
	case err == nil:
		writeJSON(rc, out)
	case errors.Is(err, table.ErrNotFound), errors.Is(err, object.ErrNotFound):
		rc.SetStatusCode(http.StatusNotFound)
	case errors.Is(err, table.ErrConflict):
		rc.SetStatusCode(http.StatusConflict)
	case errors.Is(err, table.ErrUnknown):
		// The answer is lost: the connection ends without one.
		_ = rc.Conn().Close()
	default:
		rc.SetStatusCode(http.StatusServiceUnavailable)
	}
}

// rawBytes is an answer that is not JSON.
type rawBytes []byte

func (s *Store) dispatch(ctx context.Context, rc *fasthttp.RequestCtx) (any, error) {
	q := rc.QueryArgs()
	key := string(q.Peek("key"))
	switch string(rc.Path()) {
	case table.PathRow:
		return s.Get(ctx, key)
	case table.PathScan:
		limit, err := strconv.Atoi(string(q.Peek("limit")))
		if err != nil {
			return nil, errors.Newf("scan limit: %w", err)
		}
		return s.Scan(ctx, string(q.Peek("prefix")), string(q.Peek("after")), limit)
	case table.PathCommit:
		var txn table.Txn
		if err := json.Unmarshal(rc.PostBody(), &txn); err != nil {
			return nil, errors.Newf("decode transaction: %w", err)
		}
		rev, err := s.Commit(ctx, txn)
		return table.CommitReply{Revision: rev}, err
	case hosts.PathHosts:
		return s.List(ctx)
	case object.PathList:
		return s.Objects().List(ctx, string(q.Peek("prefix")))
	case object.PathObject:
		if rc.IsPut() {
			return rawBytes(nil), s.Objects().Put(ctx, key, rc.PostBody())
		}
		v, err := s.Objects().Get(ctx, key)
		return rawBytes(v), err
	default:
		return nil, table.ErrNotFound
	}
}

func writeJSON(rc *fasthttp.RequestCtx, out any) {
	if raw, ok := out.(rawBytes); ok {
		rc.SetBody(raw)
		return
	}
	body, err := json.Marshal(out)
	if err != nil {
		rc.SetStatusCode(http.StatusInternalServerError)
		return
	}
	rc.SetContentType("application/json")
	rc.SetBody(body)
}

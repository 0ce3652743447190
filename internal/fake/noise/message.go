package noise

import (
	"testing"

	"geraniumhollow/internal/wire/frame"
	"github.com/fasthttp/websocket"
)

// UnfinishedMessage makes a link to a node, under a name, and sends all but the last byte of a message of the largest size. The link stays
// open until the test ends or the node closes it.
func UnfinishedMessage(t testing.TB, address, name string) {
	t.Helper()
	ws, resp, err := websocket.DefaultDialer.DialContext(t.Context(), "ws://"+address+"/v1/peer", nil)
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	t.Cleanup(func() { _ = ws.Close() })
	hello, err := frame.Encode(frame.Header{}, &frame.Hello{Node: name, Inc: "1", Dc: "z0"})
	if err != nil {
		t.Fatal(err)
	}
	if err := ws.WriteMessage(websocket.BinaryMessage, hello); err != nil {
		t.Fatal(err)
	}
	if _, _, err := ws.ReadMessage(); err != nil {
		t.Fatal(err)
	}
	w, err := ws.NextWriter(websocket.BinaryMessage)
	if err != nil {
		t.Fatal(err)
	}
	// The node may close the link meanwhile.
	_, _ = w.Write(make([]byte, frame.MaxBytes-1))
}

package pass_test

import (
	"net/http"
	"testing"
	"time"

	"geraniumhollow/internal/route/match"
	"geraniumhollow/internal/route/retry"
)

// Guards against chunks that HTTP does not have and that reach the caller as a whole body.
func TestMalformedChunks(t *testing.T) {
	t.Parallel()
	const first = "4\r\npage\r\n"
	bodies := map[string]struct {
		body  string
		whole bool
	}{
		"sound":                        {first + "0\r\n\r\n", true},
		"leading zeros":                {"0004\r\npage\r\n000\r\n\r\n", true},
		"extensions":                   {"4;a\r\npage\r\n0 ; b = \"c;\\\"\" ;d=e\r\n\r\n", true},
		"trailer":                      {first + "0\r\nOdd: 1\r\nOdder:\r\n\r\n", true},
		"blank after the size":         {"4 \r\npage\r\n0\r\n\r\n", false},
		"tab after the size":           {"4\t\r\npage\r\n0\r\n\r\n", false},
		"blank before the size":        {" 4\r\npage\r\n0\r\n\r\n", false},
		"sign":                         {"+4\r\npage\r\n0\r\n\r\n", false},
		"prefix":                       {"0x4\r\npage\r\n0\r\n\r\n", false},
		"no size":                      {"\r\npage\r\n0\r\n\r\n", false},
		"too many digits":              {"00000000000000000004\r\npage\r\n0\r\n\r\n", false},
		"control in an extension":      {"4;a\x01\r\npage\r\n0\r\n\r\n", false},
		"extension without a name":     {"4;\r\npage\r\n0\r\n\r\n", false},
		"open quote":                   {"4;a=\"b\r\npage\r\n0\r\n\r\n", false},
		"size line without CR":         {"4\npage\r\n0\r\n\r\n", false},
		"data longer than its size":    {"3\r\npage\r\n0\r\n\r\n", false},
		"data shorter than its size":   {"5\r\npage\r\n0\r\n\r\n", false},
		"data without its end":         {"4\r\npage0\r\n\r\n", false},
		"last chunk without CR":        {first + "0\n\r\n", false},
		"end without CR":               {first + "0\r\n\n", false},
		"no last chunk":                {first, false},
		"no end":                       {first + "0\r\n", false},
		"blank in a trailer's name":    {first + "0\r\nOdd name: 1\r\n\r\n", false},
		"blank before its colon":       {first + "0\r\nOdd : 1\r\n\r\n", false},
		"trailer without a colon":      {first + "0\r\nOdd\r\n\r\n", false},
		"trailer without a name":       {first + "0\r\n: 1\r\n\r\n", false},
		"control in a trailer's value": {first + "0\r\nOdd: \x01\r\n\r\n", false},
		"folded trailer":               {first + "0\r\nOdd: 1\r\n 2\r\n\r\n", false},
	}
	for name, tt := range bodies {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			route := match.Route{Name: "r", Kind: match.Once, MaxAttempts: 2, Timeout: 2 * time.Second}
			message := okHead + "Transfer-Encoding: chunked\r\n\r\n" + tt.body
			status, body, err := get(t, newRelay(t, route, retry.NewBudgetWith(0, 5), writes(message)))
			if whole := status == http.StatusOK && err == nil; whole != tt.whole || whole && body != "page" {
				t.Errorf("got %d %q, %v", status, body, err)
			}
		})
	}
}

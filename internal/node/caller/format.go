package caller

import (
	"encoding/json"
	"math"
	"strconv"

	"geraniumhollow/internal/core/fault"
	"geraniumhollow/internal/node/relay"
	"geraniumhollow/internal/route/stream"
	"github.com/valyala/fasthttp"
)

// responseFormat builds the JSON responses of one API path and validates its requests.
type responseFormat interface {
	chunk(c relay.Completion, f stream.Frame) any
	full(c relay.Completion, text, finish string) any
	// validate checks the fields that the path requires or excludes.
	validate(b completionBody) *fault.Error
}

// completionResponse is the JSON body of a response or of one chunk of a stream.
type completionResponse[C any] struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Model   string `json:"model"`
	Choices []C    `json:"choices"`
}

type textChoice struct {
	Index        int     `json:"index"`
	Text         string  `json:"text"`
	FinishReason *string `json:"finish_reason"`
}

type message struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type messageChoice struct {
	Index        int     `json:"index"`
	Message      message `json:"message"`
	FinishReason *string `json:"finish_reason"`
}

type deltaChoice struct {
	Index        int     `json:"index"`
	Delta        message `json:"delta"`
	FinishReason *string `json:"finish_reason"`
}

// textFormat is the format of /v1/completions.
type textFormat struct{}

func (textFormat) chunk(c relay.Completion, f stream.Frame) any {
	return completionResponse[textChoice]{
		ID: c.ID, Object: "text_completion", Model: c.Model,
		Choices: []textChoice{{Text: f.Text, FinishReason: finishReason(f.FinishReason)}},
	}
}

func (textFormat) full(c relay.Completion, text, finish string) any {
	return completionResponse[textChoice]{
		ID: c.ID, Object: "text_completion", Model: c.Model,
		Choices: []textChoice{{Text: text, FinishReason: finishReason(finish)}},
	}
}

// chatFormat is the format of /v1/chat/completions.
type chatFormat struct{}

func (chatFormat) chunk(c relay.Completion, f stream.Frame) any {
	return completionResponse[deltaChoice]{
		ID: c.ID, Object: "chat.completion.chunk", Model: c.Model,
		Choices: []deltaChoice{{Delta: message{Content: f.Text}, FinishReason: finishReason(f.FinishReason)}},
	}
}

func (chatFormat) full(c relay.Completion, text, finish string) any {
	return completionResponse[messageChoice]{
		ID: c.ID, Object: "chat.completion", Model: c.Model,
		Choices: []messageChoice{{
			Message:      message{Role: "assistant", Content: text},
			FinishReason: finishReason(finish),
		}},
	}
}

// finishReason returns nil for "", which is encoded as null.
func finishReason(s string) *string {
	if s == "" {
		return nil
	}
	return &s
}

// errorBody is the JSON body of all error responses.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Code      fault.Code    `json:"code"`
	Message   string        `json:"message"`
	RequestID string        `json:"request_id"`
	Outcome   fault.Outcome `json:"outcome"`
	// RetryAfter is in seconds; 0 means that a retry does not help.
	RetryAfter float64 `json:"retry_after"`
}

func faultBody(id string, e *fault.Error) errorBody {
	return errorBody{Error: errorDetail{
		Code: e.Code(), Message: e.Message(), RequestID: id, Outcome: e.Outcome(),
		RetryAfter: e.RetryAfter().Seconds(),
	}}
}

// WriteFault responds to the request with the given ID with the JSON form of e.
func WriteFault(rc *fasthttp.RequestCtx, id string, e *fault.Error) { writeFault(rc, id, e) }

func writeFault(rc *fasthttp.RequestCtx, id string, e *fault.Error) {
	if d := e.RetryAfter(); d > 0 {
		rc.Response.Header.Set("Retry-After", strconv.Itoa(int(math.Ceil(d.Seconds()))))
	}
	rc.SetUserValue(endedKey{}, FinishedRequest{RequestID: id, Err: e})
	writeJSON(rc, e.Status(), faultBody(id, e))
}

func writeJSON(rc *fasthttp.RequestCtx, status int, v any) {
	rc.SetStatusCode(status)
	rc.SetContentType("application/json")
	rc.SetBody(encode(v))
}

// encode returns the JSON encoding of v, which cannot fail for the types of this package.
func encode(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		return []byte("{}")
	}
	return b
}

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

// shape is the JSON form of answers on one path.
type shape interface {
	chunk(c relay.Completion, f stream.Frame) any
	whole(c relay.Completion, text, finish string) any
	// check checks the fields that the path needs.
	check(b completionBody) *fault.Error
}

// answer is the JSON body of an answer or of one of its chunks.
type answer[C any] struct {
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

// completionShape is the form of /v1/completions.
type completionShape struct{}

func (completionShape) chunk(c relay.Completion, f stream.Frame) any {
	return answer[textChoice]{
		ID: c.ID, Object: "text_completion", Model: c.Model,
		Choices: []textChoice{{Text: f.Text, FinishReason: finishReason(f.Finish)}},
	}
}

func (completionShape) whole(c relay.Completion, text, finish string) any {
	return answer[textChoice]{
		ID: c.ID, Object: "text_completion", Model: c.Model,
		Choices: []textChoice{{Text: text, FinishReason: finishReason(finish)}},
	}
}

// chatShape is the form of /v1/chat/completions.
type chatShape struct{}

func (chatShape) chunk(c relay.Completion, f stream.Frame) any {
	return answer[deltaChoice]{
		ID: c.ID, Object: "chat.completion.chunk", Model: c.Model,
		Choices: []deltaChoice{{Delta: message{Content: f.Text}, FinishReason: finishReason(f.Finish)}},
	}
}

func (chatShape) whole(c relay.Completion, text, finish string) any {
	return answer[messageChoice]{
		ID: c.ID, Object: "chat.completion", Model: c.Model,
		Choices: []messageChoice{{
			Message:      message{Role: "assistant", Content: text},
			FinishReason: finishReason(finish),
		}},
	}
}

// finishReason returns nil for "", which JSON shows as null.
func finishReason(s string) *string {
	if s == "" {
		return nil
	}
	return &s
}

// errorBody is the one JSON form of errors.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Code      fault.Code    `json:"code"`
	Message   string        `json:"message"`
	RequestID string        `json:"request_id"`
	Outcome   fault.Outcome `json:"outcome"`
	// RetryAfter is in seconds; 0 means that coming back does not help.
	RetryAfter float64 `json:"retry_after"`
}

func faultBody(id string, e *fault.Error) errorBody {
	return errorBody{Error: errorDetail{
		Code: e.Code(), Message: e.Message(), RequestID: id, Outcome: e.Outcome(),
		RetryAfter: e.RetryAfter().Seconds(),
	}}
}

// WriteFault answers the request id with the JSON form of e.
func WriteFault(rc *fasthttp.RequestCtx, id string, e *fault.Error) { writeFault(rc, id, e) }

func writeFault(rc *fasthttp.RequestCtx, id string, e *fault.Error) {
	if d := e.RetryAfter(); d > 0 {
		rc.Response.Header.Set("Retry-After", strconv.Itoa(int(math.Ceil(d.Seconds()))))
	}
	rc.SetUserValue(faultKey{}, Ended{RequestID: id, Err: e})
	writeJSON(rc, e.Status(), faultBody(id, e))
}

func writeJSON(rc *fasthttp.RequestCtx, status int, v any) {
	rc.SetStatusCode(status)
	rc.SetContentType("application/json")
	rc.SetBody(encode(v))
}

// encode returns the JSON form of v. The types of this package always encode.
func encode(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		return []byte("{}")
	}
	return b
}

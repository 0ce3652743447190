package caller

import (
	"encoding/json"
	"fmt"
	"slices"

	"geraniumhollow/internal/conf/schema"
	"geraniumhollow/internal/conf/view"
	"geraniumhollow/internal/core/fault"
	"geraniumhollow/internal/node/relay"
	"github.com/cockroachdb/errors"
)

// defaultMaxTokens is the length of an answer whose request sets none, if the context has room for it.
const defaultMaxTokens = 256

// maxPriority is the highest priority that a request may name.
const maxPriority = 9

// completionBody is the JSON body of a completion or a chat completion. Other fields are ignored.
type completionBody struct {
	Model     string          `json:"model"`
	Prompt    string          `json:"prompt"`
	Messages  json.RawMessage `json:"messages"`
	MaxTokens *int            `json:"max_tokens"`
	Stream    bool            `json:"stream"`
	Seed      int64           `json:"seed"`
	// Priority lowers the priority of the account for this request; 0 is the lowest.
	Priority *int   `json:"priority"`
	Adapter  string `json:"adapter"`
	Version  string `json:"version"`
}

func badRequest(format string, args ...any) *fault.Error {
	return fault.New(fault.BadRequest, fault.NotRun, fmt.Sprintf(format, args...))
}

// parse decodes and checks a body. The messages of its errors hold no text of the caller.
func parse(v *view.View, a schema.Account, sh shape, raw []byte) (relay.Completion, bool, *fault.Error) {
	var b completionBody
	if err := json.Unmarshal(raw, &b); err != nil {
		var typed *json.UnmarshalTypeError
		if errors.As(err, &typed) && typed.Field != "" {
			return relay.Completion{}, false, badRequest("%s has the wrong type or range", typed.Field)
		}
		return relay.Completion{}, false, badRequest("the body is not a valid JSON object")
	}
	m, ok := v.Model(b.Model)
	if !ok {
		return relay.Completion{}, false, fault.New(fault.ModelNotFound, fault.NotRun, "the model is not known")
	}
	if err := sh.check(b); err != nil {
		return relay.Completion{}, false, err
	}
	if err := b.checkChoice(m); err != nil {
		return relay.Completion{}, false, err
	}
	if string(b.Messages) == "null" {
		b.Messages = nil
	}
	tokens, err := b.maxTokens(m.ContextTokens)
	if err != nil {
		return relay.Completion{}, false, err
	}
	return relay.Completion{
		Account: a, Model: b.Model, Version: b.Version, Adapter: b.Adapter, Prompt: b.Prompt, Messages: b.Messages,
		MaxTokens: tokens, Seed: b.Seed, Priority: b.priority(a.Priority),
	}, b.Stream, nil
}

// checkChoice checks the fields that choose among what a model offers.
func (b completionBody) checkChoice(m schema.Model) *fault.Error {
	known := slices.ContainsFunc(m.Versions, func(v schema.Version) bool { return v.Name == b.Version })
	switch {
	case b.Version != "" && !known:
		return badRequest("the model does not have this version")
	case b.Adapter != "" && !slices.Contains(m.Adapters, b.Adapter):
		return badRequest("the model does not have this adapter")
	case b.Priority != nil && (*b.Priority < 0 || *b.Priority > maxPriority):
		return badRequest("priority must be between 0 and %d", maxPriority)
	}
	return nil
}

func (b completionBody) priority(ofAccount int) int {
	if b.Priority == nil {
		return ofAccount
	}
	return min(*b.Priority, ofAccount)
}

// maxTokens returns the longest answer, which has to fit the context together with the prompt.
func (b completionBody) maxTokens(context int) (int, *fault.Error) {
	room := context - relay.PromptTokens(len(b.Prompt)+len(b.Messages))
	switch {
	case room < 1:
		return 0, badRequest("the prompt is longer than the model's context of %d tokens", context)
	case b.MaxTokens == nil:
		return min(defaultMaxTokens, room), nil
	case *b.MaxTokens < 1:
		return 0, badRequest("max_tokens must be positive")
	case *b.MaxTokens > room:
		return 0, badRequest("the prompt and max_tokens exceed the model's context of %d tokens", context)
	}
	return *b.MaxTokens, nil
}

// chatMessage is one element of messages, as far as it is checked here.
type chatMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

func (completionShape) check(b completionBody) *fault.Error {
	if b.Prompt == "" || hasMessages(b) {
		return badRequest("this path needs prompt, and no messages")
	}
	return nil
}

func (chatShape) check(b completionBody) *fault.Error {
	if b.Prompt != "" || !hasMessages(b) {
		return badRequest("this path needs messages, and no prompt")
	}
	var list []chatMessage
	if err := json.Unmarshal(b.Messages, &list); err != nil || len(list) == 0 {
		return badRequest("messages must be a list of messages and not empty")
	}
	for _, m := range list {
		if m.Role == "" || len(m.Content) == 0 {
			return badRequest("each message needs a role and content")
		}
	}
	return nil
}

func hasMessages(b completionBody) bool { return len(b.Messages) > 0 && string(b.Messages) != "null" }

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

// defaultMaxTokens is the max_tokens of a request that does not set it, unless the context has less space.
const defaultMaxTokens = 256

// maxPriority is the highest priority that a request may set.
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

// parseCompletion decodes and validates a body, and reports whether it asks for a stream. Its error messages do not
// contain text of the caller.
func parseCompletion(v *view.View, a schema.Account, format responseFormat, body []byte) (relay.Completion, bool, *fault.Error) {
	var b completionBody
	if err := json.Unmarshal(body, &b); err != nil {
		var typed *json.UnmarshalTypeError
		if errors.As(err, &typed) && typed.Field != "" {
			return relay.Completion{}, false, badRequest("%s has the wrong type or range", typed.Field)
		}
		return relay.Completion{}, false, badRequest("the body is not a valid JSON object")
	}
	m, ok := v.Model(b.Model)
	if !ok {
		return relay.Completion{}, false, fault.New(fault.ModelNotFound, fault.NotRun, "unknown model")
	}
	if err := format.validate(b); err != nil {
		return relay.Completion{}, false, err
	}
	if err := b.validateOptions(m); err != nil {
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

// validateOptions checks version, adapter and priority against the model.
func (b completionBody) validateOptions(m schema.Model) *fault.Error {
	versionKnown := slices.ContainsFunc(m.Versions, func(v schema.Version) bool { return v.Name == b.Version })
	switch {
	case b.Version != "" && !versionKnown:
		return badRequest("the model does not have this version")
	case b.Adapter != "" && !slices.Contains(m.Adapters, b.Adapter):
		return badRequest("the model does not have this adapter")
	case b.Priority != nil && (*b.Priority < 0 || *b.Priority > maxPriority):
		return badRequest("priority must be between 0 and %d", maxPriority)
	}
	return nil
}

func (b completionBody) priority(accountPriority int) int {
	if b.Priority == nil {
		return accountPriority
	}
	return min(*b.Priority, accountPriority)
}

// maxTokens returns the maximum length of the response. Prompt and response share the context of the model.
func (b completionBody) maxTokens(contextTokens int) (int, *fault.Error) {
	available := contextTokens - relay.PromptTokens(len(b.Prompt)+len(b.Messages))
	switch {
	case available < 1:
		return 0, badRequest("the prompt is longer than the model's context of %d tokens", contextTokens)
	case b.MaxTokens == nil:
		return min(defaultMaxTokens, available), nil
	case *b.MaxTokens < 1:
		return 0, badRequest("max_tokens must be positive")
	case *b.MaxTokens > available:
		return 0, badRequest("the prompt and max_tokens exceed the model's context of %d tokens", contextTokens)
	}
	return *b.MaxTokens, nil
}

// chatMessage holds the validated fields of an element of messages.
type chatMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

func (textFormat) validate(b completionBody) *fault.Error {
	if b.Prompt == "" || hasMessages(b) {
		return badRequest("this path requires prompt and does not allow messages")
	}
	return nil
}

func (chatFormat) validate(b completionBody) *fault.Error {
	if b.Prompt != "" || !hasMessages(b) {
		return badRequest("this path requires messages and does not allow prompt")
	}
	var list []chatMessage
	if err := json.Unmarshal(b.Messages, &list); err != nil || len(list) == 0 {
		return badRequest("messages must be a non-empty list of messages")
	}
	for _, m := range list {
		if m.Role == "" || len(m.Content) == 0 {
			return badRequest("each message requires a role and content")
		}
	}
	return nil
}

func hasMessages(b completionBody) bool { return len(b.Messages) > 0 && string(b.Messages) != "null" }

package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"geraniumhollow/internal/bench/load"
	"geraniumhollow/internal/fake/model"
	"geraniumhollow/internal/wire/event"
	"github.com/cockroachdb/errors"
)

// ErrWrongAnswer marks an answer that is not the whole answer to its request.
var ErrWrongAnswer = errors.New("wrong answer")

// checkTokens is the length of the answers that the check asks for.
const checkTokens = 24

// readyTimeout bounds the wait for the first configuration.
const readyTimeout = 10 * time.Second

// Load of the check's trial.
const (
	checkRate   = 60
	checkLength = 12 * time.Second
)

// Check sends requests through every node, compares each answer with the expected one, and then runs
// a small load while a data centre leaves and returns and an engine is killed. The error is marked
// ErrCheckFailed when a bound was broken.
func Check(ctx context.Context, s *System, w io.Writer) error {
	if err := checkNodes(ctx, s, w); err != nil {
		return err
	}
	t := Trial{
		Name: "check",
		Mix: load.Mix{
			Deployment: s.Site.Deployment, Seed: 1, Length: checkLength, Rate: checkRate, Profile: load.Steady,
		},
		EngineKilled:   time.Second,
		DataCentreOut:  2 * time.Second,
		DataCentreBack: 9 * time.Second,
	}
	res, err := t.Run(ctx, s, w)
	if err != nil {
		return err
	}
	if res.Failed() {
		return ErrCheckFailed
	}
	return nil
}

// checkNodes sends a whole and a streamed completion and a plain-service call through every node.
func checkNodes(ctx context.Context, s *System, w io.Writer) error {
	for _, cfg := range s.Nodes {
		if err := waitServing(ctx, s, cfg.CallerAddress); err != nil {
			return err
		}
		if err := checkCall(ctx, s, cfg.CallerAddress); err != nil {
			return errors.Newf("%s, plain service: %w", cfg.NodeName, err)
		}
		for _, streamed := range []bool{false, true} {
			if err := checkOne(ctx, s, cfg.CallerAddress, streamed); err != nil {
				return errors.Newf("%s, streamed %v: %w", cfg.NodeName, streamed, err)
			}
		}
		_, _ = fmt.Fprintf(w, "%s: whole, streamed and plain-service answers are right\n", cfg.NodeName)
	}
	return nil
}

// checkCall sends a call of the plain service.
func checkCall(ctx context.Context, s *System, addr string) error {
	raw, err := send(ctx, s, addr, http.MethodGet, "/v1/services/"+s.Site.Deployment.Service+"/status", nil)
	if err != nil {
		return err
	}
	if !strings.Contains(string(raw), `"path":"/status"`) {
		return errors.Newf("got %s: %w", raw, ErrWrongAnswer)
	}
	return nil
}

// waitServing waits until a node answers a completion. A node serves a model once it knows the load of
// its backend servers.
func waitServing(ctx context.Context, s *System, addr string) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for {
		err := checkOne(ctx, s, addr, false)
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Newf("node at %s does not serve: %w", addr, err)
		case <-time.After(50 * time.Millisecond):
		}
	}
}

type completionRequest struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
}

type completionChunk struct {
	Choices []struct {
		Text string `json:"text"`
	} `json:"choices"`
}

func checkOne(ctx context.Context, s *System, addr string, streamed bool) error {
	prompt := "check " + addr
	got, err := s.complete(ctx, addr, prompt, streamed)
	if err != nil {
		return err
	}
	if want := model.Answer(prompt, checkTokens); got != want {
		return errors.Newf("got %d bytes, want %d: %w", len(got), len(want), ErrWrongAnswer)
	}
	return nil
}

// complete sends a completion to a node and returns the text of its answer.
func (s *System) complete(ctx context.Context, addr, prompt string, streamed bool) (string, error) {
	body, err := json.Marshal(completionRequest{
		Model: s.Site.Deployment.Model, Prompt: prompt, MaxTokens: checkTokens, Stream: streamed,
	})
	if err != nil {
		return "", errors.Newf("encode request: %w", err)
	}
	raw, err := send(ctx, s, addr, http.MethodPost, "/v1/completions", body)
	if err != nil {
		return "", err
	}
	if streamed {
		return streamedText(raw)
	}
	return chunkText(raw)
}

func chunkText(raw []byte) (string, error) {
	var c completionChunk
	if err := json.Unmarshal(raw, &c); err != nil {
		return "", errors.Newf("decode chunk: %w", err)
	}
	if len(c.Choices) != 1 {
		return "", errors.Newf("%d choices: %w", len(c.Choices), ErrWrongAnswer)
	}
	return c.Choices[0].Text, nil
}

func streamedText(raw []byte) (string, error) {
	r := event.NewReader(bytes.NewReader(raw))
	var text strings.Builder
	for {
		ev, err := r.Next()
		if err != nil {
			return "", errors.Newf("stream has no end mark: %w", ErrWrongAnswer)
		}
		if string(ev.Data) == "[DONE]" {
			return text.String(), nil
		}
		part, err := chunkText(ev.Data)
		if err != nil {
			return "", err
		}
		text.WriteString(part)
	}
}

// send makes one call with the key of the first client account.
func send(ctx context.Context, s *System, addr, method, path string, body []byte) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Newf("build request: %w", err)
	}
	req.Header.Set("Authorization", "Bearer "+s.Site.Deployment.AccountKey(0))
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, errors.Newf("call %s: %w", path, err)
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, errors.Newf("read answer: %w", err)
	}
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Newf("%s answered %d: %s", path, resp.StatusCode, raw)
	}
	return raw, nil
}

package demo

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Client is an API client of an entry.
type Client struct {
	URL string
	Key string
	// IdempotencyKey is sent with every request unless it is empty.
	IdempotencyKey string
	// HTTP is the client to use; nil means http.DefaultClient.
	HTTP *http.Client
}

// Completion is a streamed completion.
type Completion struct {
	Text         string
	Tokens       int
	FinishReason string
	// Done is set when the stream ended with [DONE].
	Done bool
	// TimeToFirstToken is the time to the first token, LongestGap the longest time
	// between two tokens.
	TimeToFirstToken, LongestGap time.Duration
}

// ProblemError is an error response of an entry.
type ProblemError struct {
	// Code is the problem's code, or empty if the response has none.
	Code string
	text string
}

// Error implements error.
func (e *ProblemError) Error() string { return e.text }

// NewProblemError returns a ProblemError with the code from the body of an error
// response.
func NewProblemError(prefix string, body []byte) error {
	var problem struct {
		Code string `json:"code"`
	}
	// The code stays empty if the body is not a JSON problem.
	_ = json.Unmarshal(body, &problem)
	return errors.WithStack(&ProblemError{Code: problem.Code, text: prefix + ": " + string(body)})
}

type streamChunk struct {
	Choices []struct {
		Text         string  `json:"text"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
	Error json.RawMessage `json:"error"`
}

func (c *Client) do(ctx context.Context, method, path string, body any) (*http.Response, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.URL+path, bytes.NewReader(data))
	if err != nil {
		return nil, errors.WithStack(err)
	}
	req.Header.Set("Authorization", "Bearer "+c.Key)
	req.Header.Set("Content-Type", "application/json")
	if c.IdempotencyKey != "" {
		req.Header.Set("Idempotency-Key", c.IdempotencyKey)
	}
	client := c.HTTP
	if client == nil {
		client = http.DefaultClient
	}
	resp, err := client.Do(req)
	return resp, errors.WithStack(err)
}

// Complete requests a streamed completion. onToken, which may be nil, is called
// after each token with the number of tokens so far.
func (c *Client) Complete(ctx context.Context, model, prompt string, maxTokens int, onToken func(n int)) (*Completion, error) {
	start := time.Now()
	resp, err := c.do(ctx, http.MethodPost, "/v1/completions", map[string]any{
		"model": model, "prompt": prompt, "max_tokens": maxTokens, "stream": true,
	})
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(resp.Body)
		return nil, NewProblemError("entry answered "+resp.Status, text)
	}
	return readStream(resp.Body, start, onToken)
}

func readStream(body io.Reader, start time.Time, onToken func(n int)) (*Completion, error) {
	answer := &Completion{}
	last := start
	scanner := bufio.NewScanner(body)
	for scanner.Scan() {
		data, found := strings.CutPrefix(scanner.Text(), "data: ")
		if !found {
			continue
		}
		if data == "[DONE]" {
			answer.Done = true
			return answer, nil
		}
		before := answer.Tokens
		if err := answer.addChunk(data); err != nil {
			return answer, err
		}
		if answer.Tokens == before {
			continue
		}
		now := time.Now()
		if answer.Tokens == 1 {
			answer.TimeToFirstToken = now.Sub(start)
		} else {
			answer.LongestGap = max(answer.LongestGap, now.Sub(last))
		}
		last = now
		if onToken != nil {
			onToken(answer.Tokens)
		}
	}
	return answer, errors.WithStack(scanner.Err())
}

func (a *Completion) addChunk(data string) error {
	var chunk streamChunk
	if err := json.Unmarshal([]byte(data), &chunk); err != nil {
		return errors.WithStack(err)
	}
	if chunk.Error != nil {
		return NewProblemError("stream ended with an error", chunk.Error)
	}
	if len(chunk.Choices) == 0 {
		return nil
	}
	choice := chunk.Choices[0]
	if choice.FinishReason != nil {
		a.FinishReason = *choice.FinishReason
		return nil
	}
	a.Text += choice.Text
	a.Tokens++
	return nil
}

// Call sends a JSON request and returns the response's status and body.
func (c *Client) Call(ctx context.Context, method, path string, body any) (int, string, error) {
	resp, err := c.do(ctx, method, path, body)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(text), errors.WithStack(err)
}

package entry

import (
	"encoding/json"
	"io"
	"strings"

	"github.com/pkg/errors"

	"github.com/sapphirefield/sapphirefield/problem"
)

// languageRequest is the body of a completion or chat completion request. The
// sampling parameters are passed to the engine without validation.
type languageRequest struct {
	Model               string          `json:"model"`
	Messages            []chatMessage   `json:"messages"`
	Prompt              *string         `json:"prompt"`
	MaxTokens           *int            `json:"max_tokens"`
	MaxCompletionTokens *int            `json:"max_completion_tokens"`
	Stream              bool            `json:"stream"`
	StreamOptions       *streamOptions  `json:"stream_options"`
	N                   *int            `json:"n"`
	User                string          `json:"user"`
	Temperature         *float64        `json:"temperature"`
	TopP                *float64        `json:"top_p"`
	Seed                *int64          `json:"seed"`
	PresencePenalty     *float64        `json:"presence_penalty"`
	FrequencyPenalty    *float64        `json:"frequency_penalty"`
	Stop                json.RawMessage `json:"stop"`
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

type chatMessage struct {
	Role    string         `json:"role"`
	Content messageContent `json:"content"`
	Name    string         `json:"name"`
}

// messageContent is a string or a list of text parts.
type messageContent string

// UnmarshalJSON accepts both forms.
func (c *messageContent) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err == nil {
		*c = messageContent(text)
		return nil
	}
	var parts []struct {
		Type string `json:"type"`
		Text string `json:"text"`
	}
	if err := json.Unmarshal(data, &parts); err != nil {
		return errors.New("content must be a string or a list of text parts")
	}
	var b strings.Builder
	for _, part := range parts {
		if part.Type != "text" {
			return errors.Errorf("content of type %q is not supported; use \"text\"", part.Type)
		}
		b.WriteString(part.Text)
	}
	*c = messageContent(b.String())
	return nil
}

// decodeLanguage decodes and validates a request body, before anything is sent
// to an engine.
func decodeLanguage(body io.Reader, endpoint languageEndpoint) (*languageRequest, *problem.Problem) {
	decoder := json.NewDecoder(body)
	decoder.DisallowUnknownFields()
	req := new(languageRequest)
	if err := decoder.Decode(req); err != nil {
		return nil, decodeProblem(err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return nil, problem.NotExecuted(problem.InvalidRequest, "the body holds more than one JSON value")
	}
	if message := req.validate(endpoint); message != "" {
		return nil, problem.NotExecuted(problem.InvalidRequest, message)
	}
	return req, nil
}

func decodeProblem(err error) *problem.Problem {
	return problem.NotExecuted(problem.InvalidRequest, "the body is not a valid request: "+strings.TrimPrefix(err.Error(), "json: "))
}

// validate returns what is wrong with the request, or an empty string.
func (req *languageRequest) validate(endpoint languageEndpoint) string {
	switch {
	case req.Model == "":
		return "model is missing"
	case endpoint.chat && len(req.Messages) == 0:
		return "messages is missing or empty"
	case endpoint.chat && req.Prompt != nil:
		return "prompt belongs to /v1/completions; use messages here"
	case !endpoint.chat && len(req.Messages) > 0:
		return "messages belongs to /v1/chat/completions; use prompt here"
	case !endpoint.chat && (req.Prompt == nil || *req.Prompt == ""):
		return "prompt is missing or empty"
	case req.N != nil && *req.N != 1:
		return "n must be 1"
	}
	return req.validateRoles()
}

func (req *languageRequest) validateRoles() string {
	for _, m := range req.Messages {
		switch m.Role {
		case "system", "developer", "user", "assistant":
		default:
			return "role " + strings.TrimSpace(m.Role) + " is not one of system, developer, user, assistant"
		}
	}
	return ""
}

// promptText returns the prompt, or the messages of a chat joined into one text.
// Engines apply the model's chat template; the markers only separate the roles.
func (req *languageRequest) promptText() string {
	if req.Prompt != nil {
		return *req.Prompt
	}
	var b strings.Builder
	for _, m := range req.Messages {
		b.WriteString("<|" + m.Role + "|>\n" + string(m.Content) + "\n")
	}
	b.WriteString("<|assistant|>\n")
	return b.String()
}

type samplingParameters struct {
	Temperature      *float64        `json:"temperature,omitempty"`
	TopP             *float64        `json:"top_p,omitempty"`
	Seed             *int64          `json:"seed,omitempty"`
	PresencePenalty  *float64        `json:"presence_penalty,omitempty"`
	FrequencyPenalty *float64        `json:"frequency_penalty,omitempty"`
	Stop             json.RawMessage `json:"stop,omitempty"`
}

// sampling returns the parameters for the engine as JSON; empty means defaults.
func (req *languageRequest) sampling() string {
	data, err := json.Marshal(samplingParameters{
		Temperature: req.Temperature, TopP: req.TopP, Seed: req.Seed,
		PresencePenalty: req.PresencePenalty, FrequencyPenalty: req.FrequencyPenalty, Stop: req.Stop,
	})
	if err != nil || string(data) == "{}" {
		return ""
	}
	return string(data)
}

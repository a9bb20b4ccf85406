package entry

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strings"

	"github.com/sapphirefield/sapphirefield/wire"
)

// languageResponse writes a response as one JSON object or as server-sent events,
// in the format that clients of these endpoints expect.
type languageResponse struct {
	endpoint     languageEndpoint
	w            http.ResponseWriter
	id           string
	model        string
	created      int64
	stream       bool
	includeUsage bool
	// streamStarted is set once the response header of a stream has been written.
	streamStarted bool
	text          strings.Builder
	// eventPrefix and eventSuffix surround the text of a token in its event.
	eventPrefix, eventSuffix []byte
	buffer                   bytes.Buffer
	encoder                  *json.Encoder
}

type completionChoice struct {
	Index        int          `json:"index"`
	Message      *chatContent `json:"message,omitempty"`
	Delta        *chatContent `json:"delta,omitempty"`
	Text         *string      `json:"text,omitempty"`
	FinishReason *string      `json:"finish_reason"`
}

type chatContent struct {
	Role    string  `json:"role,omitempty"`
	Content *string `json:"content,omitempty"`
}

type tokenUsage struct {
	CompletionTokens int `json:"completion_tokens"`
	PromptTokens     int `json:"prompt_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

type completion struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Created int64              `json:"created"`
	Model   string             `json:"model"`
	Choices []completionChoice `json:"choices"`
	Usage   *tokenUsage        `json:"usage,omitempty"`
}

// writeToken writes the event of one token. Without streaming, the token is
// buffered until the response is complete.
func (r *languageResponse) writeToken(token *wire.Token) error {
	if !r.stream {
		r.text.WriteString(token.Value.GetText())
		return nil
	}
	if !r.streamStarted {
		r.startStream()
	}
	return r.writeTokenEvent(token.Value.GetText())
}

// textPlaceholder stands for the text of a token in the encoded event template.
const textPlaceholder = "TEXT"

// writeTokenEvent writes the event of a token without flushing it. All events of a
// response differ only in the text, so the rest is encoded once.
func (r *languageResponse) writeTokenEvent(text string) error {
	if text == "" {
		return r.writeEvent(r.chunk("", nil))
	}
	if r.encoder == nil {
		if err := r.encodeTemplate(); err != nil {
			return err
		}
	}
	r.buffer.Reset()
	r.buffer.Write(r.eventPrefix)
	if err := r.encoder.Encode(text); err != nil {
		return err
	}
	// The encoder appends a newline to each value.
	r.buffer.Truncate(r.buffer.Len() - 1)
	r.buffer.Write(r.eventSuffix)
	_, err := r.w.Write(r.buffer.Bytes())
	return err
}

func (r *languageResponse) encodeTemplate() error {
	data, err := json.Marshal(r.chunk(textPlaceholder, nil))
	if err != nil {
		return err
	}
	i := bytes.LastIndex(data, []byte(`"`+textPlaceholder+`"`))
	r.eventPrefix = append([]byte("data: "), data[:i]...)
	r.eventSuffix = append(data[i+len(textPlaceholder)+2:], "\n\n"...)
	r.encoder = json.NewEncoder(&r.buffer)
	return nil
}

// flush flushes the events written so far.
func (r *languageResponse) flush() {
	if r.streamStarted {
		_ = http.NewResponseController(r.w).Flush()
	}
}

func (r *languageResponse) startStream() {
	r.streamStarted = true
	header := r.w.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("Cache-Control", "no-cache")
	r.w.WriteHeader(http.StatusOK)
	if r.endpoint.chat {
		empty := ""
		r.sendEvent(r.wrap(completionChoice{Delta: &chatContent{Role: "assistant", Content: &empty}}))
	}
}

func (r *languageResponse) chunk(text string, finish *string) *completion {
	if !r.endpoint.chat {
		return r.wrap(completionChoice{Text: &text, FinishReason: finish})
	}
	delta := &chatContent{}
	if text != "" {
		delta.Content = &text
	}
	return r.wrap(completionChoice{Delta: delta, FinishReason: finish})
}

func (r *languageResponse) wrap(choice completionChoice) *completion {
	return &completion{ID: r.id, Object: r.endpoint.chunkObject, Created: r.created, Model: r.model, Choices: []completionChoice{choice}}
}

// sendEvent writes one server-sent event and flushes it.
func (r *languageResponse) sendEvent(value any) error {
	if err := r.writeEvent(value); err != nil {
		return err
	}
	return http.NewResponseController(r.w).Flush()
}

func (r *languageResponse) writeEvent(value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return err
	}
	_, err = r.w.Write([]byte("data: " + string(data) + "\n\n"))
	return err
}

func (r *languageResponse) sendLine(data string) error {
	if _, err := r.w.Write([]byte("data: " + data + "\n\n")); err != nil {
		return err
	}
	return http.NewResponseController(r.w).Flush()
}

// finish writes the end of a complete response.
func (r *languageResponse) finish(finish string, tokens int) {
	if r.stream {
		r.finishStream(finish, tokens)
		return
	}
	text := r.text.String()
	choice := completionChoice{FinishReason: &finish}
	if r.endpoint.chat {
		choice.Message = &chatContent{Role: "assistant", Content: &text}
	} else {
		choice.Text = &text
	}
	response := r.wrap(choice)
	response.Object = r.endpoint.object
	response.Usage = &tokenUsage{CompletionTokens: tokens, TotalTokens: tokens}
	r.w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(r.w).Encode(response)
}

func (r *languageResponse) finishStream(finish string, tokens int) {
	if !r.streamStarted {
		r.startStream()
	}
	if err := r.sendEvent(r.chunk("", &finish)); err != nil {
		return
	}
	if r.includeUsage {
		last := r.wrap(completionChoice{})
		last.Choices = []completionChoice{}
		last.Usage = &tokenUsage{CompletionTokens: tokens, TotalTokens: tokens}
		if err := r.sendEvent(last); err != nil {
			return
		}
	}
	_ = r.sendLine("[DONE]")
}

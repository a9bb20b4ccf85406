package entry

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strings"

	"github.com/sapphirefield/sapphirefield/wire"
)

// languageAnswer writes an answer as one JSON object or as server-sent events,
// in the shapes that clients of these endpoints expect.
type languageAnswer struct {
	form    languageForm
	w       http.ResponseWriter
	id      string
	model   string
	created int64
	stream  bool
	usage   bool
	// streaming is set once the first event was written.
	streaming bool
	text      strings.Builder
	// prefix and suffix stand around a token's text in its event.
	prefix, suffix []byte
	buffer         bytes.Buffer
	encoder        *json.Encoder
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

// token passes one token on. Without streaming it is kept until the answer is whole.
func (a *languageAnswer) token(token *wire.Token) error {
	if !a.stream {
		a.text.WriteString(token.Value.GetText())
		return nil
	}
	if !a.streaming {
		a.begin()
	}
	return a.tokenEvent(token.Value.GetText())
}

// placeholder marks the place of a token's text in an event.
const placeholder = "TEXT"

// tokenEvent writes the event of a token without sending it yet. All events of
// an answer differ only in the text, so the rest is encoded once.
func (a *languageAnswer) tokenEvent(text string) error {
	if text == "" {
		return a.write(a.chunk("", nil))
	}
	if a.encoder == nil {
		if err := a.makeTemplate(); err != nil {
			return err
		}
	}
	a.buffer.Reset()
	a.buffer.Write(a.prefix)
	if err := a.encoder.Encode(text); err != nil {
		return err
	}
	// The encoder ends each value with a line break.
	a.buffer.Truncate(a.buffer.Len() - 1)
	a.buffer.Write(a.suffix)
	_, err := a.w.Write(a.buffer.Bytes())
	return err
}

func (a *languageAnswer) makeTemplate() error {
	data, err := json.Marshal(a.chunk(placeholder, nil))
	if err != nil {
		return err
	}
	i := bytes.LastIndex(data, []byte(`"`+placeholder+`"`))
	a.prefix = append([]byte("data: "), data[:i]...)
	a.suffix = append(data[i+len(placeholder)+2:], "\n\n"...)
	a.encoder = json.NewEncoder(&a.buffer)
	return nil
}

// flush sends the events that were written.
func (a *languageAnswer) flush() {
	if a.streaming {
		_ = http.NewResponseController(a.w).Flush()
	}
}

func (a *languageAnswer) begin() {
	a.streaming = true
	header := a.w.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("Cache-Control", "no-cache")
	a.w.WriteHeader(http.StatusOK)
	if a.form.chat {
		empty := ""
		a.event(a.wrap(completionChoice{Delta: &chatContent{Role: "assistant", Content: &empty}}))
	}
}

func (a *languageAnswer) chunk(text string, finish *string) *completion {
	if !a.form.chat {
		return a.wrap(completionChoice{Text: &text, FinishReason: finish})
	}
	delta := &chatContent{}
	if text != "" {
		delta.Content = &text
	}
	return a.wrap(completionChoice{Delta: delta, FinishReason: finish})
}

func (a *languageAnswer) wrap(choice completionChoice) *completion {
	return &completion{ID: a.id, Object: a.form.chunkObject, Created: a.created, Model: a.model, Choices: []completionChoice{choice}}
}

// event writes one server-sent event and sends it.
func (a *languageAnswer) event(value any) error {
	if err := a.write(value); err != nil {
		return err
	}
	return http.NewResponseController(a.w).Flush()
}

func (a *languageAnswer) write(value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return err
	}
	_, err = a.w.Write([]byte("data: " + string(data) + "\n\n"))
	return err
}

func (a *languageAnswer) line(data string) error {
	if _, err := a.w.Write([]byte("data: " + data + "\n\n")); err != nil {
		return err
	}
	return http.NewResponseController(a.w).Flush()
}

// end closes a whole answer.
func (a *languageAnswer) end(finish string, tokens int) {
	if a.stream {
		a.endStream(finish, tokens)
		return
	}
	text := a.text.String()
	choice := completionChoice{FinishReason: &finish}
	if a.form.chat {
		choice.Message = &chatContent{Role: "assistant", Content: &text}
	} else {
		choice.Text = &text
	}
	answer := a.wrap(choice)
	answer.Object = a.form.object
	answer.Usage = &tokenUsage{CompletionTokens: tokens, TotalTokens: tokens}
	a.w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(a.w).Encode(answer)
}

func (a *languageAnswer) endStream(finish string, tokens int) {
	if !a.streaming {
		a.begin()
	}
	if err := a.event(a.chunk("", &finish)); err != nil {
		return
	}
	if a.usage {
		last := a.wrap(completionChoice{})
		last.Choices = []completionChoice{}
		last.Usage = &tokenUsage{CompletionTokens: tokens, TotalTokens: tokens}
		if err := a.event(last); err != nil {
			return
		}
	}
	_ = a.line("[DONE]")
}

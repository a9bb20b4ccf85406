// Package answerhead finds heads of answers that are no answer in HTTP/1.1, although the
// parser of net/http accepts them. What follows such a head cannot be trusted: neither its
// fields nor where its body ends.
package answerhead

import (
	"net/http"
	"strings"

	"github.com/pkg/errors"
)

// minStatus is the lowest status. The parser of net/http accepts any three characters that
// it can read as a number of at least 0.
const minStatus = http.StatusContinue

// Check returns why the head of a response is no answer, or nil. A response may be an
// informational one. A status above the known classes passes: clients take it for an error.
func Check(response *http.Response) error {
	switch {
	case response.ProtoMajor == 0:
		return errors.Errorf("answer with the version %.10q", response.Proto)
	case response.StatusCode < minStatus:
		return errors.Errorf("answer with the status %.3q", response.Status)
	case response.StatusCode == http.StatusSwitchingProtocols:
		// No request asks for another protocol.
		return errors.New("server switched protocols")
	}
	for name := range response.Header {
		// The parser of net/http refuses all other bytes that no name may have. It takes a
		// line like "Content-Length : 5" for a field that it does not know.
		if strings.Contains(name, " ") {
			return errors.Errorf("answer with a blank in the field name %.40q", name)
		}
	}
	return nil
}

// Do sends a request by a client's Do or a transport's RoundTrip, and fails if the head of the
// response is no answer.
func Do(send func(*http.Request) (*http.Response, error), request *http.Request) (*http.Response, error) {
	response, err := send(request)
	if err != nil {
		return nil, err
	}
	if err := Check(response); err != nil {
		_ = response.Body.Close() // the answer is dropped
		return nil, err
	}
	return response, nil
}

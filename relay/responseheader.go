package relay

import (
	"bufio"
	"net/http"
	"strings"

	"github.com/pkg/errors"

	"github.com/sapphirefield/sapphirefield/answerhead"
)

// readFinalHeader reads the header of a final (non-1xx) response.
func (x *exchange) readFinalHeader(codec HeaderCodec, request *http.Request) error {
	x.conn.header = &headerLimit{bytesLeft: maxHeaderBytes, timeLeft: headerTimeout}
	for range maxInformational + 1 {
		response, err := readHeader(x.conn.reader, request)
		if err != nil {
			return err
		}
		if response.StatusCode >= http.StatusOK {
			if len(response.TransferEncoding) > 0 && response.Body != http.NoBody {
				response.Body = &chunkReader{reader: x.conn.reader}
			}
			x.response, x.info = response, codec.ParseResponse(response.Header)
			x.conn.header = nil
			return nil
		}
	}
	return errors.New("too many informational responses")
}

const (
	http10 = "HTTP/1.0"
	http11 = "HTTP/1.1"
)

// readHeader reads the header of a response, which may be an informational one.
func readHeader(reader *bufio.Reader, request *http.Request) (*http.Response, error) {
	version, err := reader.Peek(len(http10))
	if err != nil {
		// Another read might find the end of the connection in place of the error.
		return nil, truncated(err)
	}
	isHTTP10 := string(version) == http10
	if isHTTP10 {
		// The parser of net/http drops Transfer-Encoding from a response of HTTP/1.0, so that
		// raw chunks would be its body. The version is replaced in the reader's buffer, so
		// that the field shows.
		copy(version, http11)
	}
	response, err := http.ReadResponse(reader, request)
	if err != nil {
		return nil, err
	}
	if isHTTP10 {
		if len(response.TransferEncoding) > 0 {
			return nil, errors.New("response of HTTP/1.0 with Transfer-Encoding")
		}
		response.Proto, response.ProtoMinor = http10, 0
		response.Close = response.Close || !strings.EqualFold(response.Header.Get("Connection"), "keep-alive")
	}
	return response, answerhead.Check(response)
}

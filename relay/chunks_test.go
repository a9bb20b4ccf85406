package relay

import (
	"bufio"
	"bytes"
	"io"
	"net/http/httputil"
	"strings"
	"testing"
	"testing/iotest"

	"gotest.tools/v3/assert"
)

func readChunked(body string) (string, error) {
	data, err := io.ReadAll(&chunkReader{reader: bufio.NewReader(iotest.OneByteReader(strings.NewReader(body)))})
	return string(data), err
}

// Guards against a chunked body that is read wrongly, or that looks complete though
// it is not.
func TestChunkReader(t *testing.T) {
	for body, want := range map[string]string{
		"0\r\n\r\n": "", "3\r\nabc\r\n0\r\n\r\n": "abc", "3;x=y\r\nabc\r\n1 \r\nd\r\n0\r\nA: b\r\n\r\n": "abcd",
		"a\r\n0123456789\r\n0\r\n\r\n": "0123456789",
	} {
		got, err := readChunked(body)
		assert.NilError(t, err, "%q", body)
		assert.Equal(t, got, want)
	}
	for _, body := range []string{
		"", "3\r\nab", "3\r\nabc", "3\r\nabc\r\n", "3\r\nabcd\r\n0\r\n\r\n", "x\r\n", "-1\r\n", "\r\n", "a\n0123456789\n0\n\n", "1\r\rx\r\n0\r\n\r\n", "ffffffffffffffffff\r\n", "0\r\n", "0\r\nA: b\r\n",
		strings.Repeat("x", 2*maxChunkLine) + "\r\n", "0\r\n" + strings.Repeat("A: "+strings.Repeat("b", 500)+"\r\n", 20) + "\r\n",
		strings.Repeat("1;"+strings.Repeat("x", 500)+"\r\na\r\n", 100) + "0\r\n\r\n",
	} {
		_, err := readChunked(body)
		assert.Assert(t, err != nil, "%.40q", body)
	}
}

// FuzzChunkReader compares the reader with the one of net/http: what it accepts, that
// one accepts with the same data.
func FuzzChunkReader(f *testing.F) {
	for _, seed := range []string{"3\r\nabc\r\n0\r\n\r\n", "3;a=b\r\nabc\r\n0\r\nA: b\r\n\r\n", "0\r\n\r\n", "1\nx\n0\n\n", "3\r\nab"} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		got, err := io.ReadAll(&chunkReader{reader: bufio.NewReader(bytes.NewReader(body))})
		if err != nil {
			return
		}
		want, err := io.ReadAll(httputil.NewChunkedReader(bytes.NewReader(body)))
		assert.NilError(t, err, "%q", body)
		assert.Equal(t, string(got), string(want))
	})
}

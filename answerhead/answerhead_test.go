package answerhead

import (
	"bufio"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// accepts reports whether both net/http and Check take a head for that of an answer.
func accepts(head string) bool {
	response, err := http.ReadResponse(bufio.NewReader(strings.NewReader(head+"\r\n\r\n")), nil)
	return err == nil && Check(response) == nil
}

// Guards against an answer whose status is no status.
func TestStatus(t *testing.T) {
	for status, want := range map[string]bool{
		"100": true, "103": true, "199": true, "200": true, "204": true, "304": true, "404": true, "503": true, "599": true, "600": true, "999": true,
		"101": false, "000": false, "001": false, "010": false, "099": false, "+20": false, "-00": false, "+99": false, "-1": false, "20": false, "2000": false, "": false,
	} {
		assert.Equal(t, accepts("HTTP/1.1 "+status+" X"), want, status)
	}
}

// Guards against an answer with a field whose name is none, and against a sound answer that
// is refused for an odd name.
func TestFieldNames(t *testing.T) {
	for name, want := range map[string]bool{
		"X-Odd": true, "x_odd.1": true, "!#$%&'*+-.^_`|~": true,
		"X-Odd ": false, "X Odd": false, " X-Odd": false, "X-Odd\t": false, "X-\x00": false, "X-\x01": false, "X-\x7f": false, "X-\xe9": false, "X(Odd)": false, "": false,
	} {
		assert.Equal(t, accepts("HTTP/1.1 200 OK\r\n"+name+": 1"), want, name)
	}
}

// Guards against an answer of a version in which answers have no head.
func TestVersions(t *testing.T) {
	for version, want := range map[string]bool{"HTTP/1.0": true, "HTTP/1.1": true, "HTTP/1.2": true, "HTTP/0.9": false, "HTTP/0.0": false, "HTTP/1": false, "http/1.1": false} {
		assert.Equal(t, accepts(version+" 200 OK"), want, version)
	}
}

// Package rawhttp has a stand-in for servers that send bytes of their own as an answer.
package rawhttp

import (
	"fmt"
	"io"
	"net/http"
	"strings"
)

// InvalidHeads returns heads, for Answer, that are no answer although net/http accepts them. A
// body of the given length follows.
func InvalidHeads(length int) []string {
	heads := []string{"HTTP/1.1 200 OK\nTransfer-Encoding : chunked\n\n", fmt.Sprintf("HTTP/1.1 200 OK\nContent-Length : %d\n\n", length)}
	for _, start := range []string{
		"000 X", "099 X", "+20 X", "101 Switching Protocols", "200 OK\nX-Odd : 5", "200 OK\nX Odd: 5",
	} {
		heads = append(heads, fmt.Sprintf("HTTP/1.1 %s\nContent-Length: %d\n\n", start, length))
	}
	return heads
}

// Answer returns a handler that answers each request with a head and a body, whether or not
// they are an answer in HTTP, and closes the connection. Line feeds of the head are sent as line
// ends of HTTP.
func Answer(head, body string) http.HandlerFunc {
	text := strings.ReplaceAll(head, "\n", "\r\n") + body
	return func(w http.ResponseWriter, r *http.Request) {
		// Unread bytes would make the system reset the connection.
		_, _ = io.Copy(io.Discard, r.Body)
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer conn.Close()
		_, _ = io.WriteString(conn, text)
	}
}

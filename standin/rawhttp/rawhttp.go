// Package rawhttp has a stand-in for servers that send bytes of their own as an answer.
package rawhttp

import (
	"io"
	"net/http"
	"strings"
)

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

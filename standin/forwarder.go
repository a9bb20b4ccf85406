package standin

import (
	"fmt"
	"io"
	"net"
	"net/http"
)

// EventLine is one event of a streamed response, in the entry's format.
const EventLine = `data: {"id":"cmpl-0011223344556677-00000001","object":"text_completion","created":1700000000,"model":"sapphire-llm","choices":[{"index":0,"text":" billet","finish_reason":null}]}` + "\n\n"

// Forwarder returns a minimal HTTP proxy as a baseline for benchmarks of the entry.
// Its backend sends the same events.
func Forwarder(client *http.Client, backend string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		req, err := http.NewRequestWithContext(r.Context(), r.Method, backend, r.Body)
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		req.ContentLength = r.ContentLength
		resp, err := client.Do(req)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadGateway)
			return
		}
		defer func() { _ = resp.Body.Close() }()
		w.Header().Set("Content-Type", resp.Header.Get("Content-Type"))
		control := http.NewResponseController(w)
		buffer := make([]byte, 4096)
		for {
			n, err := resp.Body.Read(buffer)
			_, _ = w.Write(buffer[:n])
			_ = control.Flush()
			if err != nil {
				return
			}
		}
	})
}

// EventBackend responds with one event per token and flushes after each.
func EventBackend(tokens int) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set("Content-Type", "text/event-stream")
		control := http.NewResponseController(w)
		for range tokens {
			_, _ = io.WriteString(w, EventLine)
			_ = control.Flush()
		}
	})
}

// ServeIdleStreams sends one event on each connection to the listener and keeps the
// connection open, without a goroutine for it, until the listener is closed.
func ServeIdleStreams(listener net.Listener) {
	buffer := make([]byte, 4096)
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		// Each connection stays open until the function returns.
		defer func() { _ = conn.Close() }()
		_, _ = conn.Read(buffer)
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(EventLine), EventLine)
	}
}

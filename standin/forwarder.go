package standin

import (
	"fmt"
	"io"
	"net"
	"net/http"
)

// EventLine is one event of an answer as the entry writes it.
const EventLine = `data: {"id":"cmpl-0011223344556677-00000001","object":"text_completion","created":1700000000,"model":"sapphire-llm","choices":[{"index":0,"text":" billet","finish_reason":null}]}` + "\n\n"

// Forwarder is a bare HTTP forwarder to compare the entry with. It passes requests on to a backend that gives the same events.
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

// EventBackend answers with a number of events, each sent at once.
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

// ServeIdleStreams answers each connection to a listener with one event and keeps
// it open without a goroutine, until the listener is closed.
func ServeIdleStreams(listener net.Listener) {
	buffer := make([]byte, 4096)
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		// It lasts as long as this function.
		defer func() { _ = conn.Close() }()
		_, _ = conn.Read(buffer)
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(EventLine), EventLine)
	}
}

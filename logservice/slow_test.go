package logservice

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a checkpoint that an instance on a thin link can never read, because the
// time limit of a read covers the whole transfer.
func TestLargeReadArrivesOverThinLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			size           = 2 << 20 // a checkpoint at the target size
			bytesPerSecond = 128 << 10
		)
		body, err := json.Marshal(Batch{NextOffset: 1, Records: []Record{{Data: make([]byte, size)}}})
		assert.NilError(t, err)
		transport := &http.Transport{DialContext: func(context.Context, string, string) (net.Conn, error) {
			local, remote := net.Pipe()
			go func() {
				_, _ = remote.Read(make([]byte, 4<<10))
				_, _ = fmt.Fprintf(remote, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", len(body))
				const part = 16 << 10
				for rest := body; len(rest) > 0; rest = rest[min(part, len(rest)):] {
					time.Sleep(part * time.Second / bytesPerSecond)
					if _, err := remote.Write(rest[:min(part, len(rest))]); err != nil {
						return
					}
				}
			}()
			return local, nil
		}}
		defer transport.CloseIdleConnections()
		batch, err := NewLog("http://127.0.0.1:1", &http.Client{Transport: transport}).Read(t.Context(), "s", 0, 0)
		assert.NilError(t, err)
		assert.Equal(t, len(batch.Records[0].Data), size)
	})
}

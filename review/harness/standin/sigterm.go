package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// requestText returns a request as sent on a channel.
func requestText(path, id string) string {
	return fmt.Sprintf("GET %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Key: %s\r\nX-Deadline-Ms: 1500\r\n\r\n", path, routeHost, id, apiKey)
}

// pipelinedStop sends two requests at once on kept channels, and stops the entry while
// the second one runs.
func pipelinedStop(ctx context.Context, w *world, o caseOptions) (broken []string, err error) {
	var mu sync.Mutex
	runs := map[string]bool{}
	w.onEvent = func(e event) {
		mu.Lock()
		defer mu.Unlock()
		runs[e.Request] = runs[e.Request] || e.Kind == "runs"
	}
	if err := w.small(ctx, o, 4, "-gap", "400ms"); err != nil {
		return nil, err
	}
	var clients sync.WaitGroup
	for n := range 5 {
		clients.Go(func() {
			conn, err := net.Dial("tcp4", w.entries[0].address)
			if err != nil {
				return
			}
			defer conn.Close()
			first, second := attemptID(2*n), attemptID(2*n+1)
			w.record.write("client sends %s and %s", first, second)
			fmt.Fprint(conn, requestText(readPath+"slot", first)+requestText(readPath+"slot", second))
			reader := bufio.NewReader(conn)
			for _, id := range []string{first, second} {
				response, err := http.ReadResponse(reader, nil)
				status := 0
				if err == nil {
					status = response.StatusCode
					_, err = io.Copy(io.Discard, response.Body)
				}
				w.record.write("client of %s gets %d, error %v", id, status, err)
				if err != nil {
					mu.Lock()
					defer mu.Unlock()
					if runs[id] {
						broken = append(broken, fmt.Sprintf("LOST: %s was passed on to a server, and its channel ends without an answer: %v", id, err))
					}
					return
				}
			}
		})
	}
	sleep(ctx, 600*time.Millisecond)
	if o.trouble {
		w.record.write("SIGTERM to %s", w.entries[0].name)
		w.entries[0].signal(syscall.SIGTERM)
	}
	clients.Wait()
	return broken, nil
}

// small starts a deployment with three servers and a number of entries.
func (w *world) small(ctx context.Context, o caseOptions, entries int, options ...string) error {
	if err := w.publish(4); err != nil {
		return err
	}
	for range 3 {
		if _, err := w.startServer(appName, options...); err != nil {
			return err
		}
	}
	for range entries {
		if err := w.startEntry(o.program); err != nil {
			return err
		}
	}
	if err := w.awaitReady(ctx); err != nil {
		return err
	}
	sleep(ctx, 2*time.Second)
	return ctx.Err()
}

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/sapphirefield/sapphirefield/platform/platformtest"
)

const (
	// streamTimeout is the timeout of the route of streams.
	streamTimeout = 20 * time.Second
	// Limits of the configuration.
	maxHeaderBytes = 16 << 10
	maxBodyBytes   = 4 << 20
	headerTimeout  = 3 * time.Second
	idleTimeout    = 15 * time.Second
	// Each client of the crowd states a body of statedBytes and sends sentBytes of it. Those
	// of the small crowd state and send as much as an ordinary caller, but for the last byte.
	largeCrowd, smallCrowd = 620, 200
	statedBytes, sentBytes = 60_000, 17_000
	bookingBytes           = 600
	// smallCrowdDelay is how long after the others the small crowd comes.
	smallCrowdDelay = 2 * time.Second
	redialDelay     = 50 * time.Millisecond
	// crowdTime is how long bookings are judged beside the crowd, from crowdSettle on.
	crowdSettle, crowdTime = 3 * time.Second, 15 * time.Second
)

// stalledBodies lets a crowd of clients begin requests with bodies that do not come to their end, each far
// inside the limits, and counts the bookings of ordinary callers that are served meanwhile.
func stalledBodies(w *world, trouble bool) (bool, error) {
	configuration, err := deploymentConfiguration()
	if err != nil {
		return false, err
	}
	w.store.PutConfiguration(configuration)
	for _, zone := range zones {
		if _, err := w.fleet.StartApp(platformtest.ServiceA, zone, w.random(), sameAddress); err != nil {
			return false, err
		}
		if _, err := w.fleet.StartEngine(platformtest.ModelService, zone, platformtest.Accelerators[0], w.random(), sameAddress); err != nil {
			return false, err
		}
	}
	if err := w.startEntries(1); err != nil {
		return false, err
	}
	time.Sleep(5 * time.Second)
	e := w.entries[0]
	before := w.book(e, "before", 5*time.Second)
	w.log("before the crowd: %d of %d bookings served", before.served, before.sent)
	stop := make(chan struct{})
	var crowd sync.WaitGroup
	if trouble {
		w.log("%d clients state bodies of %d bytes and send %d, %d state %d and send %d", largeCrowd, statedBytes, sentBytes, smallCrowd, bookingBytes, bookingBytes-1)
		for i := range largeCrowd {
			crowd.Go(func() { w.stall(stop, e, fmt.Sprintf("large-%d", i), statedBytes, sentBytes) })
		}
		time.Sleep(smallCrowdDelay)
		for i := range smallCrowd {
			crowd.Go(func() { w.stall(stop, e, fmt.Sprintf("small-%d", i), bookingBytes, bookingBytes-1) })
		}
	}
	time.Sleep(crowdSettle)
	beside := w.book(e, "beside", crowdTime)
	w.log("beside the crowd: %d of %d bookings served", beside.served, beside.sent)
	close(stop)
	crowd.Wait()
	time.Sleep(time.Second)
	after := w.book(e, "after", 3*time.Second)
	w.log("after the crowd: %d of %d bookings served", after.served, after.sent)
	if before.share() < 0.9 {
		return false, fmt.Errorf("bookings were not served before the crowd")
	}
	return beside.share() >= before.share()/4, nil
}

// deploymentConfiguration returns a configuration with the limits and the timeouts of a small deployment.
func deploymentConfiguration() ([]byte, error) {
	var document map[string]any
	text := platformtest.VariedConfiguration(1, zones, platformtest.ConfigurationVariant{
		RouteTimeout: routeTimeout, HeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, HeaderBytes: maxHeaderBytes, BodyBytes: maxBodyBytes,
	})
	if err := json.Unmarshal(text, &document); err != nil {
		return nil, err
	}
	for _, r := range document["routes"].([]any) {
		if route := r.(map[string]any); route["route-type"] == "streaming" {
			route["timeout-ms"] = streamTimeout.Milliseconds()
		}
	}
	return json.Marshal(document)
}

// book sends bookings for a time and counts those that are served.
func (w *world) book(e *entry, name string, d time.Duration) tally {
	var mu sync.Mutex
	var t tally
	statuses := map[string]int{}
	stop := make(chan struct{})
	time.AfterFunc(d, func() { close(stop) })
	w.sendEvery(stop, bookingInterval, func(n int) {
		request := platformtest.ClientRequest{
			ID: fmt.Sprintf("%s-%d", name, n), Method: http.MethodPost, Target: platformtest.PathAtMostOnce + "slot",
			Body: strings.Repeat("x", bookingBytes), Timeout: 1500 * time.Millisecond,
		}
		a := w.send(e, request, unchanged)
		mu.Lock()
		defer mu.Unlock()
		t.sent++
		if a.err == nil && a.status == http.StatusOK && a.body == platformtest.AppResponseBody(request.ID) {
			t.served++
		}
		w.logRequest("booking", request.ID, e, a, len(w.fleet.Executions(request.ID)))
		statuses[fmt.Sprintf("status %d %s", a.status, problemDetail(a))]++
	})
	for status, n := range statuses {
		w.log("bookings %s: %d times %s", name, n, status)
	}
	return t
}

// problemDetail returns what a refusal says.
func problemDetail(a answer) string {
	var p struct {
		Detail string `json:"detail"`
	}
	if a.err != nil {
		return "no answer"
	}
	_ = json.Unmarshal([]byte(a.body), &p) // other answers have no detail
	return p.Detail
}

// stall begins requests whose bodies do not come to their end, until stop is closed. It holds each
// connection until the entry closes it.
func (w *world) stall(stop chan struct{}, e *entry, name string, stated, sent int) {
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(redialDelay):
		}
		conn, err := net.DialTimeout("tcp4", e.settings.ClientAddr(), time.Second)
		if err != nil {
			continue
		}
		ended := make(chan struct{})
		go func() {
			select {
			case <-stop:
			case <-ended:
			}
			conn.Close()
		}()
		_, err = fmt.Fprintf(conn, "POST %squote HTTP/1.1\r\nHost: soak.example\r\nX-Attempt-Id: %s-%d\r\nX-Key: soak-key\r\nX-Deadline-Ms: %d\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s",
			platformtest.PathStream, name, n, streamTimeout.Milliseconds(), stated, strings.Repeat("x", sent))
		if err == nil {
			_, _ = io.Copy(io.Discard, conn) // ends with the connection
		}
		close(ended)
	}
}

package main

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	appBudget = 1500 * time.Millisecond
	// crashTime is how long a crashed server is down: srv_crash, for_s = 4.5.
	crashTime = 4500 * time.Millisecond
	crashes   = 3
	// answerSize is the largest answer of the small deployment's plain service.
	answerSize = 4800
)

// crashMidAnswer kills a server while it sends an answer that has neither a length nor
// chunks. Its system closes the channel then, as it does for a server that has finished.
func crashMidAnswer(ctx context.Context, w *world, o caseOptions) (broken []string, err error) {
	if err := w.publish(4); err != nil {
		return nil, err
	}
	sending := make(chan event, 1000)
	w.onEvent = func(e event) {
		if e.Kind == "has sent" {
			select {
			case sending <- e:
			default:
			}
		}
	}
	for range 3 {
		// 6 parts of 800 bytes, 40 ms of work for each: 240 ms an answer.
		if _, err := w.startServer(appName, "-unframed", "-answer-bytes", fmt.Sprint(answerSize), "-pieces", "6", "-gap", "40ms"); err != nil {
			return nil, err
		}
	}
	for range 4 {
		if err := w.startEntry(o.program); err != nil {
			return nil, err
		}
	}
	if err := w.awaitReady(ctx); err != nil {
		return nil, err
	}
	time.Sleep(2 * time.Second)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var mu sync.Mutex
	var clients sync.WaitGroup
	complete := 0
	judge := func(out outcome) {
		mu.Lock()
		defer mu.Unlock()
		if out.err != nil || out.status != http.StatusOK {
			return
		}
		if out.signed && bytes.Equal(out.body, wholeBody(out.id, answerSize)) {
			complete++
			return
		}
		broken = append(broken, fmt.Sprintf("MIXED: the client of %s got 200 (signed: %v) from %s with %d bytes; the server's whole body has %d",
			out.id, out.signed, out.entry, len(out.body), answerSize))
	}
	clients.Go(func() {
		// 5.44 bookings and 3 reads a second.
		for n := 0; ctx.Err() == nil; n++ {
			method, path := http.MethodPost, bookPath+"slot"
			if n%14 >= 9 {
				method, path = http.MethodGet, readPath+"slot"
			}
			clients.Go(func() {
				judge(w.send(context.WithoutCancel(ctx), newClient(appBudget), w.entries[n%len(w.entries)], method, path, attemptID(n), appBudget))
			})
			sleep(ctx, 118*time.Millisecond)
		}
	})
	for range crashes {
		sleep(ctx, 3*time.Second)
		if !o.trouble {
			sleep(ctx, crashTime)
			continue
		}
		if err := w.crashWhileSending(ctx, sending); err != nil {
			return nil, err
		}
	}
	sleep(ctx, 2*time.Second)
	cancel()
	clients.Wait()
	w.record.write("%d answers were whole", complete)
	if complete == 0 {
		return nil, fmt.Errorf("no request was served")
	}
	return broken, nil
}

// crashWhileSending kills the server that has sent the second part of an answer, and
// starts it again later.
func (w *world) crashWhileSending(ctx context.Context, sending chan event) error {
	for len(sending) > 0 {
		<-sending
	}
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(10 * time.Second):
			return fmt.Errorf("no server sends an answer")
		case e := <-sending:
			if e.Detail != "part 2 of 6" {
				continue
			}
			for _, p := range w.servers {
				if p.name != e.Server {
					continue
				}
				w.record.write("server %s crashes", p.name)
				p.kill()
				old := p.name
				sleep(ctx, 3600*time.Millisecond)
				// Its record is removed after three heartbeats of silence.
				if err := putRecord(ctx, w.storeURL, "keyed.servers", old, nil); err != nil {
					return err
				}
				sleep(ctx, crashTime-3600*time.Millisecond)
				return w.restartServer(p)
			}
		}
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

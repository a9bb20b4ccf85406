package sidecar

import (
	"fmt"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sapphirefield/sapphirefield/link"
	"github.com/sapphirefield/sapphirefield/standin/rawhttp"
	"github.com/sapphirefield/sapphirefield/wire"
)

// Guards against an answer that an entry takes for complete although its server stopped
// in the middle of its head or body.
func TestAnswerCutInItsHeadIsNotComplete(t *testing.T) {
	const body = "the whole body"
	const head = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n"
	for framing, answer := range map[string]string{
		"length":            fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(body), body),
		"chunks":            fmt.Sprintf("%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", head, len(body), body),
		"end of connection": head + "\r\n" + body,
	} {
		for beforeName, before := range map[string]string{
			"nothing": "", "103": "HTTP/1.1 103 Early Hints\r\nLink: <a>\r\n\r\n", "100": "HTTP/1.1 100 Continue\r\n\r\n",
		} {
			t.Run(framing+"/"+beforeName+" before", func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { testCutAnswer(t, before+answer) })
			})
		}
	}
}

func testCutAnswer(t *testing.T, text string) {
	var cut int
	s := startPlainSidecar(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { rawhttp.Answer("", text[:cut])(w, r) }))
	queue := link.NewQueue[*wire.WorkDown](1 << 16)
	s.attachEntry(&wire.Hello{Id: "entry-0", Incarnation: "i"}, queue)
	for cut = range len(text) {
		s.call(5 * cut) // of entry-0
		synctest.Wait()
		frames, _ := queue.Take()
		complete, failed := false, false
		for _, frame := range frames {
			complete = complete || frame.GetCallEnd() != nil
			failed = failed || frame.GetFailed() != nil
		}
		assert.Assert(t, !complete, "cut at %d of %d: the answer is complete", cut, len(text))
		assert.Assert(t, failed, "cut at %d of %d: no failure", cut, len(text))
	}
}

// Guards against a call that is failed because its server, which is sound, falls silent in
// the middle of its answer.
func TestPlainCallOutlastsPauseOfItsServer(t *testing.T) {
	const body = "the whole body"
	const head = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n"
	const earlyHints = "HTTP/1.1 103 Early Hints\r\nLink: <a>\r\n\r\n"
	for framing, answer := range map[string]string{
		"length": fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(body), body),
		"chunks": fmt.Sprintf("%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", head, len(body), body),
	} {
		for _, text := range []string{answer, earlyHints + answer} {
			t.Run(framing, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { testPausingAnswer(t, text) })
			})
		}
	}
}

// testPausingAnswer pauses before each byte of an answer.
func testPausingAnswer(t *testing.T, text string) {
	const pause = 2500 * time.Millisecond
	var at int
	s := startPlainSidecar(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer conn.Close()
		_, _ = io.WriteString(conn, text[:at])
		time.Sleep(pause)
		_, _ = io.WriteString(conn, text[at:])
	}))
	queue := link.NewQueue[*wire.WorkDown](1 << 16)
	s.attachEntry(&wire.Hello{Id: "entry-0", Incarnation: "i"}, queue)
	for at = range len(text) {
		s.call(5 * at) // of entry-0
		time.Sleep(2 * pause)
		synctest.Wait()
		frames, _ := queue.Take()
		complete := false
		for _, frame := range frames {
			complete = complete || frame.GetCallEnd() != nil
		}
		assert.Assert(t, complete, "a pause at %d of %d: no complete answer", at, len(text))
	}
}

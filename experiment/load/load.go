// Package load sends requests to a running entry at a constant rate, reports
// latencies and error codes, and checks every answer.
package load

import (
	"context"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"os"
	"os/signal"
	"slices"
	"strings"
	"sync"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"
	"golang.org/x/time/rate"

	"github.com/sapphirefield/sapphirefield/demo"
	"github.com/sapphirefield/sapphirefield/standin"
)

// Options configures the load.
type Options struct {
	URL, Key, Model, Service string
	// Rate is the number of requests per second; Concurrency limits the requests in progress.
	Rate        float64
	Concurrency int
	// Duration and Requests limit the run, whichever is reached first.
	Duration time.Duration
	Requests int
	// PromptMin and PromptMax bound the length of a prompt in bytes.
	PromptMin, PromptMax int
	Tokens               int
	// KeyedFraction is the fraction of requests that are bookings with an idempotency key.
	KeyedFraction float64
	// Layers is the number of layers of the stand-in model, from which the expected
	// text is computed; 0 disables the check of the text.
	Layers int
	Seed   uint64
}

const (
	maxRate        = 10_000
	maxConcurrency = 1000
	maxDuration    = 10 * time.Minute
	maxRequests    = 1_000_000
	maxPromptBytes = 1 << 20
	maxTokens      = 100_000
	// requestTimeout limits each request, so that a run ends soon after sending its last one.
	requestTimeout = time.Minute
	// maxLatencyMicros is the upper limit of the histograms in microseconds.
	maxLatencyMicros = int64(2 * requestTimeout / time.Microsecond)
)

// Command returns the subcommand "load".
func Command() *ffcli.Command {
	var o Options
	flags := flag.NewFlagSet("sapphiredev load", flag.ContinueOnError)
	flags.StringVar(&o.URL, "url", "http://127.84.0.2:8443", "address of the entry for clients; loopback only")
	flags.StringVar(&o.Key, "key", demo.Key, "bearer key of the team")
	flags.StringVar(&o.Model, "model", demo.Model, "model of the prompts")
	flags.StringVar(&o.Service, "service", demo.Service, "service of the bookings")
	flags.Float64Var(&o.Rate, "rate", 10, "requests per second")
	flags.IntVar(&o.Concurrency, "concurrency", 32, "most requests in progress")
	flags.DurationVar(&o.Duration, "duration", 10*time.Second, "time for which requests are sent")
	flags.IntVar(&o.Requests, "requests", 10_000, "most requests to send")
	flags.IntVar(&o.PromptMin, "prompt-min", 20, "fewest bytes of a prompt")
	flags.IntVar(&o.PromptMax, "prompt-max", 200, "most bytes of a prompt")
	flags.IntVar(&o.Tokens, "tokens", 50, "most tokens of an answer")
	flags.Float64Var(&o.KeyedFraction, "keyed", 0.1, "share of bookings with an idempotency key, from 0 to 1")
	flags.IntVar(&o.Layers, "layers", demo.Layers, "layers of the stand-in model, to check every token; 0 turns the check off")
	flags.Uint64Var(&o.Seed, "seed", 1, "seed of the prompts and of their order")
	return &ffcli.Command{
		Name:       "load",
		ShortUsage: "sapphiredev load [-url URL] [-rate N] [-concurrency N] [-duration D] [-requests N] [-keyed SHARE] ...",
		ShortHelp:  "load a running entry on loopback and report latencies and errors",
		FlagSet:    flags,
		Exec: func(ctx context.Context, _ []string) error {
			ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
			defer stop()
			return Run(ctx, os.Stdout, o)
		},
	}
}

func (o Options) validate() error {
	target, err := url.Parse(o.URL)
	if err != nil {
		return errors.WithStack(err)
	}
	ip := net.ParseIP(target.Hostname())
	switch {
	case target.Scheme != "http" && target.Scheme != "https":
		return errors.Errorf("-url %s is neither http nor https", o.URL)
	case ip == nil || !ip.IsLoopback():
		return errors.Errorf("-url %s is not a loopback address", o.URL)
	case !(o.Rate > 0 && o.Rate <= maxRate):
		return errors.Errorf("-rate must be above 0 and at most %d", maxRate)
	case o.Concurrency < 1 || o.Concurrency > maxConcurrency:
		return errors.Errorf("-concurrency must be from 1 to %d", maxConcurrency)
	case o.Duration <= 0 || o.Duration > maxDuration:
		return errors.Errorf("-duration must be above 0 and at most %s", maxDuration)
	case o.Requests < 1 || o.Requests > maxRequests:
		return errors.Errorf("-requests must be from 1 to %d", maxRequests)
	case o.PromptMin < 1 || o.PromptMax < o.PromptMin || o.PromptMax > maxPromptBytes:
		return errors.Errorf("-prompt-min and -prompt-max must be in order and from 1 to %d", maxPromptBytes)
	case o.Tokens < 1 || o.Tokens > maxTokens:
		return errors.Errorf("-tokens must be from 1 to %d", maxTokens)
	case !(o.KeyedFraction >= 0 && o.KeyedFraction <= 1):
		return errors.New("-keyed must be from 0 to 1")
	case o.Layers < 0:
		return errors.New("-layers must be at least 0")
	}
	return nil
}

// result collects the outcomes of all requests.
type result struct {
	mu                                       sync.Mutex
	prompts, bookings, tokens, delayedStarts int
	firstTokenLatency, interToken, booking   *hdrhistogram.Histogram
	// errorCounts is keyed by error code; badAnswers describes incomplete or wrong answers.
	errorCounts map[string]int
	badAnswers  []string
}

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxLatencyMicros, 3) }

func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), 1), maxLatencyMicros))
}

// Run sends the load and writes the report. It returns an error if any answer was
// incomplete or wrong.
func Run(ctx context.Context, out io.Writer, o Options) error {
	if err := o.validate(); err != nil {
		return err
	}
	transport := &http.Transport{MaxIdleConnsPerHost: o.Concurrency}
	defer transport.CloseIdleConnections()
	client := &demo.Client{URL: o.URL, Key: o.Key, HTTP: &http.Client{Transport: transport, Timeout: requestTimeout}}
	r := &result{firstTokenLatency: newHistogram(), interToken: newHistogram(), booking: newHistogram(), errorCounts: map[string]int{}}
	start := time.Now()
	o.send(ctx, client, r)
	if err := r.write(out, time.Since(start)); err != nil {
		return err
	}
	if len(r.badAnswers) > 0 {
		return errors.Errorf("%d answers were incomplete or wrong, the first: %s", len(r.badAnswers), r.badAnswers[0])
	}
	return nil
}

// send starts requests at the configured rate and waits for all of them to finish.
// A request that has to wait for a free concurrency slot counts as a delayed start.
func (o Options) send(ctx context.Context, client *demo.Client, r *result) {
	sendCtx, cancel := context.WithTimeout(ctx, o.Duration)
	defer cancel()
	random := rand.New(rand.NewPCG(o.Seed, o.Seed))
	limiter := rate.NewLimiter(rate.Limit(o.Rate), 1)
	slots := make(chan struct{}, o.Concurrency)
	var requests sync.WaitGroup
	defer requests.Wait()
	// The run ID keeps idempotency keys from colliding with those of earlier runs.
	runID := time.Now().UnixNano()
	for i := range o.Requests {
		if limiter.Wait(sendCtx) != nil {
			return
		}
		select {
		case slots <- struct{}{}:
		default:
			r.delayedStarts++
			select {
			case slots <- struct{}{}:
			case <-sendCtx.Done():
				return
			}
		}
		send := o.promptRequest(random)
		if random.Float64() < o.KeyedFraction {
			send = o.bookingRequest(fmt.Sprintf("load-%d-%d", runID, i))
		}
		requests.Go(func() {
			defer func() { <-slots }()
			send(ctx, client, r)
		})
	}
}

type sendFunc func(ctx context.Context, client *demo.Client, r *result)

func (o Options) promptRequest(random *rand.Rand) sendFunc {
	length := o.PromptMin + random.IntN(o.PromptMax-o.PromptMin+1)
	var b strings.Builder
	for b.Len() < length {
		fmt.Fprintf(&b, "%x ", random.Uint64())
	}
	prompt := b.String()[:length]
	return func(ctx context.Context, client *demo.Client, r *result) {
		last := time.Now()
		answer, err := client.Complete(ctx, o.Model, prompt, o.Tokens, func(n int) {
			now := time.Now()
			r.recordToken(n, now.Sub(last))
			last = now
		})
		r.mu.Lock()
		defer r.mu.Unlock()
		r.prompts++
		switch {
		case err != nil:
			r.recordError(err)
		case !answer.Done || answer.FinishReason == "":
			r.badAnswers = append(r.badAnswers, fmt.Sprintf("answer to prompt %q is incomplete", prompt))
		case o.Layers > 0 && !o.matchesExpected(prompt, answer):
			r.badAnswers = append(r.badAnswers, fmt.Sprintf("answer to prompt %q has the wrong text", prompt))
		}
	}
}

func (o Options) matchesExpected(prompt string, answer *demo.Completion) bool {
	texts, finish := standin.Generate(o.Layers, prompt, uint32(o.Tokens))
	return answer.Text == strings.Join(texts, "") && answer.FinishReason == finish
}

func (o Options) bookingRequest(key string) sendFunc {
	return func(ctx context.Context, client *demo.Client, r *result) {
		keyed := *client
		keyed.IdempotencyKey = key
		start := time.Now()
		status, body, err := keyed.Call(ctx, http.MethodPost, "/"+o.Service+"/bookings", map[string]string{"reference": key})
		took := time.Since(start)
		r.mu.Lock()
		defer r.mu.Unlock()
		r.bookings++
		switch {
		case err != nil:
			r.recordError(err)
		case status >= http.StatusBadRequest:
			r.recordError(demo.NewProblemError(fmt.Sprintf("status %d", status), []byte(body)))
		case !strings.Contains(body, key):
			r.badAnswers = append(r.badAnswers, fmt.Sprintf("booking %s has the wrong answer %q", key, body))
		default:
			record(r.booking, took)
		}
	}
}

func (r *result) recordToken(n int, elapsed time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tokens++
	if n == 1 {
		record(r.firstTokenLatency, elapsed)
		return
	}
	record(r.interToken, elapsed)
}

// recordError counts an error by its code. The caller must hold r.mu.
func (r *result) recordError(err error) {
	var problem *demo.ProblemError
	code := "connection"
	if errors.As(err, &problem) {
		code = problem.Code
	}
	r.errorCounts[code]++
}

func (r *result) write(out io.Writer, took time.Duration) error {
	fmt.Fprintf(out, "%d prompts, %d bookings and %d tokens in %s; %d requests started late for want of a slot\n",
		r.prompts, r.bookings, r.tokens, took.Round(time.Millisecond), r.delayedStarts)
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "latency\tcount\tp50 ms\tp95 ms\tp99 ms\tmax ms")
	for _, row := range []struct {
		name string
		h    *hdrhistogram.Histogram
	}{{"first token", r.firstTokenLatency}, {"between tokens", r.interToken}, {"keyed booking", r.booking}} {
		millis := func(p float64) float64 { return float64(row.h.ValueAtQuantile(p)) / 1000 }
		fmt.Fprintf(w, "%s\t%d\t%.2f\t%.2f\t%.2f\t%.2f\n", row.name, row.h.TotalCount(), millis(50), millis(95), millis(99), float64(row.h.Max())/1000)
	}
	codes := make([]string, 0, len(r.errorCounts))
	for code := range r.errorCounts {
		codes = append(codes, code)
	}
	slices.Sort(codes)
	for _, code := range codes {
		fmt.Fprintf(w, "error %s\t%d\n", code, r.errorCounts[code])
	}
	fmt.Fprintf(w, "answers not whole\t%d\n", len(r.badAnswers))
	return errors.WithStack(w.Flush())
}

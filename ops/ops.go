// Package ops serves the operators' listener: health, readiness, status,
// metrics and profiles, and handlers that other packages mount on it.
package ops

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/pprof"

	"github.com/rcrowley/go-metrics"

	"github.com/sapphirefield/sapphirefield/settings"
)

// Status describes a process to operators.
type Status struct {
	ID          string `json:"id"`
	Role        string `json:"role"`
	Zone        string `json:"zone"`
	Incarnation string `json:"incarnation"`
	Service     string `json:"service,omitempty"`
	// Revision and Digest name the configuration in force.
	Revision int64  `json:"revision"`
	Digest   string `json:"digest"`
	Draining bool   `json:"draining"`
	// InProgress counts the requests in progress.
	InProgress int `json:"running"`
	// NewerSchemaOffset is the offset of the first record that this program version
	// cannot judge, or 0.
	NewerSchemaOffset int64 `json:"unjudged"`
}

// Options are what a Handler shows.
type Options struct {
	Registry metrics.Registry
	Status   func() Status
	// Ready returns nil when the process accepts work, otherwise the reason.
	Ready func() error
	// Password protects everything but health and readiness, which the
	// platform's load balancer asks for without a password. The zero value
	// leaves all open and suits a loopback address.
	Password settings.PasswordHash
}

// Handler is the handler of the operators' listener.
type Handler struct {
	options   Options
	open      *http.ServeMux
	protected *http.ServeMux
}

// New makes a handler. Mount adds to it.
func New(options Options) *Handler {
	h := &Handler{options: options, open: http.NewServeMux(), protected: http.NewServeMux()}
	h.open.HandleFunc("GET /healthz", h.health)
	h.open.HandleFunc("GET /readyz", h.ready)
	h.open.Handle("/", newGuard(options.Password, h.protected))
	h.protected.HandleFunc("GET /status", h.status)
	h.protected.HandleFunc("GET /metrics", h.metrics)
	h.protected.HandleFunc("GET /debug/pprof/", pprof.Index)
	h.protected.HandleFunc("GET /debug/pprof/cmdline", pprof.Cmdline)
	h.protected.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
	h.protected.HandleFunc("GET /debug/pprof/symbol", pprof.Symbol)
	h.protected.HandleFunc("GET /debug/pprof/trace", pprof.Trace)
	return h
}

// Mount adds a handler behind the password, under a pattern of http.ServeMux.
// It must not be called once the handler serves requests.
func (h *Handler) Mount(pattern string, handler http.Handler) {
	h.protected.Handle(pattern, handler)
}

// MountWithOwnAuth adds a handler that signs operators in itself, such as the
// console, so that they are not asked for the password twice.
func (h *Handler) MountWithOwnAuth(pattern string, handler http.Handler) {
	h.open.Handle(pattern, handler)
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Content-Type-Options", "nosniff")
	w.Header().Set("Cache-Control", "no-store")
	h.open.ServeHTTP(w, r)
}

// health answers as long as the process can answer at all; a process that
// drains or waits for a revision is healthy.
func (h *Handler) health(w http.ResponseWriter, _ *http.Request) {
	writeText(w, http.StatusOK, "ok\n")
}

func (h *Handler) ready(w http.ResponseWriter, _ *http.Request) {
	if err := h.options.Ready(); err != nil {
		writeText(w, http.StatusServiceUnavailable, err.Error()+"\n")
		return
	}
	writeText(w, http.StatusOK, "ready\n")
}

func (h *Handler) status(w http.ResponseWriter, _ *http.Request) {
	WriteJSON(w, h.options.Status())
}

func (h *Handler) metrics(w http.ResponseWriter, _ *http.Request) {
	WriteJSON(w, h.options.Registry.GetAll())
}

// WriteJSON answers with the value in JSON. The value is encoded first, so that
// a value without a JSON form gives an error status and not a truncated answer.
func WriteJSON(w http.ResponseWriter, value any) {
	var encoded bytes.Buffer
	encoder := json.NewEncoder(&encoded)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(value); err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(encoded.Bytes())
}

func writeText(w http.ResponseWriter, status int, text string) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(status)
	_, _ = w.Write([]byte(text))
}

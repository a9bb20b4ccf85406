// Package ops serves the operator listener: health, readiness, status, metrics
// and profiles, and handlers that other packages mount on it.
package ops

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/pprof"

	"github.com/rcrowley/go-metrics"

	"github.com/sapphirefield/sapphirefield/settings"
)

// Status is the state of a process, served at /status.
type Status struct {
	ID          string `json:"id"`
	Role        string `json:"role"`
	Zone        string `json:"zone"`
	Incarnation string `json:"incarnation"`
	Service     string `json:"service,omitempty"`
	// Revision and Digest identify the active configuration.
	Revision int64  `json:"revision"`
	Digest   string `json:"digest"`
	Draining bool   `json:"draining"`
	// InProgress counts the requests in progress.
	InProgress int `json:"running"`
	// NewerSchemaOffset is the offset of the first configuration record with a
	// newer schema than this program version supports, or 0.
	NewerSchemaOffset int64 `json:"unjudged"`
}

// Options configure a Handler.
type Options struct {
	Registry metrics.Registry
	Status   func() Status
	// Ready returns nil when the process accepts work, otherwise the reason.
	Ready func() error
	// Password protects everything but health and readiness, which the
	// platform's load balancer probes without a password. The zero value
	// disables authentication and suits a loopback address.
	Password settings.PasswordHash
}

// Handler is the HTTP handler of the operator listener.
type Handler struct {
	options   Options
	public    *http.ServeMux
	protected *http.ServeMux
}

// New returns a Handler; further handlers are added by Mount and MountWithOwnAuth.
func New(options Options) *Handler {
	h := &Handler{options: options, public: http.NewServeMux(), protected: http.NewServeMux()}
	h.public.HandleFunc("GET /healthz", h.health)
	h.public.HandleFunc("GET /readyz", h.ready)
	h.public.Handle("/", newBasicAuth(options.Password, h.protected))
	h.protected.HandleFunc("GET /status", h.status)
	h.protected.HandleFunc("GET /metrics", h.metrics)
	h.protected.HandleFunc("GET /debug/pprof/", pprof.Index)
	h.protected.HandleFunc("GET /debug/pprof/cmdline", pprof.Cmdline)
	h.protected.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
	h.protected.HandleFunc("GET /debug/pprof/symbol", pprof.Symbol)
	h.protected.HandleFunc("GET /debug/pprof/trace", pprof.Trace)
	return h
}

// Mount adds a handler that requires the password, under a pattern of
// http.ServeMux. It must not be called once h serves requests.
func (h *Handler) Mount(pattern string, handler http.Handler) {
	h.protected.Handle(pattern, handler)
}

// MountWithOwnAuth adds a handler that authenticates operators itself, such as the
// console, so that they are not asked for the password twice.
func (h *Handler) MountWithOwnAuth(pattern string, handler http.Handler) {
	h.public.Handle(pattern, handler)
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Content-Type-Options", "nosniff")
	w.Header().Set("Cache-Control", "no-store")
	h.public.ServeHTTP(w, r)
}

// health reports success whenever the process can respond; a process that is
// draining or has no configuration revision yet is healthy.
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

// WriteJSON responds with the value as JSON. The value is encoded first, so that
// an encoding error results in status 500 and not in a truncated response.
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

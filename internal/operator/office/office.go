// Package office is the operators' HTTP API on each node, and its client.
//
// Operators publish documents, withdraw keys, take availability zones out of service
// and return them, and query the state, the events and the error budgets of the fleet.
// Every node serves the same API.
//
// # Usage
//
// A node serves the API on its operators' address:
//
//	handler := office.New(office.Config{
//		Credentials: settings.Operators().Credentials(),
//		Publisher:   follower,
//		Documents:   follower.Ledger(),
//		...
//	})
//	server := &http.Server{Handler: handler}
//
// A program calls it:
//
//	c := office.NewClient([]string{"10.0.0.7:9000"}, token)
//	accepted, err := c.ZoneOut(ctx, ledger.NewID(), "north")
//
// Every route except /live and /ready needs an operator's token, sent as
// "Authorization: Bearer TOKEN". The settings hold only the SHA-256 of the tokens.
package office

import (
	"context"
	"net/http"

	"github.com/ansel1/merry/v2"
	"github.com/gorilla/mux"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.uber.org/zap"

	"chestnutbay.dev/chestnutbay/internal/base/settings"
	"chestnutbay.dev/chestnutbay/internal/contract/contract"
	"chestnutbay.dev/chestnutbay/internal/contract/ledger"
	"chestnutbay.dev/chestnutbay/internal/report/burn"
	"chestnutbay.dev/chestnutbay/internal/report/event"
)

// Errors that both a Publisher and Client return.
var (
	// ErrUnknown reports a change that may have been accepted. The same change can be
	// sent again with the same ID.
	ErrUnknown = merry.Sentinel("outcome of the change is unknown")
	// ErrUnavailable reports a change that was not accepted because the log or
	// a quorum of nodes cannot be reached. Nothing was changed.
	ErrUnavailable = merry.Sentinel("no change can be accepted now")
)

// Receipt is the version of an accepted change and the nodes on which it is in force.
type Receipt struct {
	version   ledger.Version
	confirmed []string
	missing   []string
}

// NewReceipt returns a receipt. confirmed names the nodes on which the change
// is in force, missing the listed nodes that have not confirmed it yet.
func NewReceipt(version ledger.Version, confirmed, missing []string) Receipt {
	return Receipt{version: version, confirmed: confirmed, missing: missing}
}

// Version returns the document's version with the change.
func (r Receipt) Version() ledger.Version { return r.version }

// Confirmed names the nodes on which the change is in force.
func (r Receipt) Confirmed() []string { return r.confirmed }

// Missing names the listed nodes that have not confirmed the change.
func (r Receipt) Missing() []string { return r.missing }

// Publisher publishes changes of the configuration. Its errors match ledger.ErrConflict,
// ledger.ErrKeyTaken, contract.ErrInvalid, ErrUnknown or ErrUnavailable.
type Publisher interface {
	Publish(ctx context.Context, c ledger.Change) (Receipt, error)
}

// Documents returns the documents in force. *ledger.Ledger implements it.
type Documents interface {
	Contract(account string) (*contract.Contract, ledger.Version, bool)
	Contracts() []*contract.Contract
	Service(name string) (*contract.Service, ledger.Version, bool)
	Services() []*contract.Service
}

// Events collects events from all nodes.
type Events interface {
	// Events returns at most limit events about a subject, the oldest first, and
	// the nodes that did not reply.
	Events(ctx context.Context, subject string, limit int) (found []event.Report, missing []string, err error)
}

// Burn collects the request counters of all nodes.
type Burn interface {
	// Burn returns the merged counters and the nodes that did not reply.
	Burn(ctx context.Context, q burn.Query) (merged burn.Snapshot, missing []string, err error)
}

// Status returns the state of the fleet as this node sees it.
type Status interface {
	Status(ctx context.Context) (FleetState, error)
}

// Config holds the dependencies of the API. If Publisher, Documents, Events, Burn, Status
// or Ready is nil, the routes that need it respond with 503. Metrics, Ring and Logger may
// be nil.
type Config struct {
	// Credentials are the operators and the hashes of their tokens.
	Credentials []settings.Credential
	Publisher   Publisher
	Documents   Documents
	Events      Events
	Burn        Burn
	Status      Status
	// Ready returns nil, or an error that says why the node accepts no new requests.
	Ready func() error
	// Metrics are exported at /metrics.
	Metrics prometheus.Gatherer
	// Ring records operators' changes.
	Ring   *event.Ring
	Logger *zap.Logger
}

// Handler serves the operators' API of one node. It implements http.Handler.
type Handler struct {
	config Config
	router *mux.Router
}

// New returns the handler for the API of one node.
func New(c Config) *Handler {
	if c.Logger == nil {
		c.Logger = zap.NewNop()
	}
	if c.Metrics == nil {
		c.Metrics = prometheus.NewRegistry()
	}
	h := &Handler{config: c, router: mux.NewRouter()}
	h.routes()
	return h
}

// ServeHTTP serves a request of an operator.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.router.ServeHTTP(w, r)
}

func (h *Handler) routes() {
	h.router.HandleFunc("/live", h.live).Methods(http.MethodGet)
	h.router.HandleFunc("/ready", h.ready).Methods(http.MethodGet)
	authorized := h.router.NewRoute().Subrouter()
	authorized.Use(h.authorize)
	metrics := promhttp.HandlerFor(h.config.Metrics, promhttp.HandlerOpts{})
	authorized.Handle("/metrics", metrics).Methods(http.MethodGet)
	v1 := authorized.PathPrefix("/v1").Subrouter()
	v1.HandleFunc("/documents", h.publishDocument).Methods(http.MethodPost)
	v1.HandleFunc("/keys/{hash}", h.withdrawKey).Methods(http.MethodDelete)
	v1.HandleFunc("/zones/{zone}/out", h.zoneOut).Methods(http.MethodPost)
	v1.HandleFunc("/zones/{zone}/in", h.zoneIn).Methods(http.MethodPost)
	v1.HandleFunc("/status", h.status).Methods(http.MethodGet)
	v1.HandleFunc("/contracts", h.contracts).Methods(http.MethodGet)
	v1.HandleFunc("/contracts/{name}", h.contract).Methods(http.MethodGet)
	v1.HandleFunc("/services", h.services).Methods(http.MethodGet)
	v1.HandleFunc("/services/{name}", h.service).Methods(http.MethodGet)
	v1.HandleFunc("/events", h.events).Methods(http.MethodGet)
	v1.HandleFunc("/burn", h.burn).Methods(http.MethodGet)
}

func (h *Handler) live(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusOK)
}

func (h *Handler) ready(w http.ResponseWriter, _ *http.Request) {
	if h.config.Ready == nil {
		h.writeError(w, ErrUnavailable)
		return
	}
	if err := h.config.Ready(); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

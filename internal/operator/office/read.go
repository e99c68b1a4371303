package office

import (
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/gorilla/mux"

	"chestnutbay.dev/chestnutbay/internal/contract/contract"
	"chestnutbay.dev/chestnutbay/internal/contract/ledger"
	"chestnutbay.dev/chestnutbay/internal/report/burn"
	"chestnutbay.dev/chestnutbay/internal/report/event"
)

// Limits of the number of events in a response.
const (
	// DefaultEvents is the limit if the request names none.
	DefaultEvents = 100
	// MaxEvents is the highest limit that a request can name.
	MaxEvents = event.RingSize
)

// FleetState is the state of the fleet as one node sees it.
type FleetState struct {
	Node string `json:"node"`
	Zone string `json:"zone"`
	// Software is the version of the node's program.
	Software string `json:"software"`
	// Ready is empty, or says why the node accepts no new requests.
	Ready string `json:"ready"`
	// Position is the first log offset that is not applied yet.
	Position int64 `json:"position"`
	// Log is empty, or the error of a read of the log.
	Log string `json:"log"`
	// VMs is the declared fleet size, and Quorum how many nodes must apply a change so
	// that it is accepted.
	VMs    int         `json:"vms"`
	Quorum int         `json:"quorum"`
	Nodes  []NodeState `json:"nodes"`
	Zones  []ZoneState `json:"zones"`
}

// NodeState is the state of a listed node as another node last saw it.
type NodeState struct {
	ID       string `json:"id"`
	Zone     string `json:"zone"`
	Leaving  bool   `json:"leaving"`
	Serving  bool   `json:"serving"`
	Position int64  `json:"position"`
	// LastSeen is when the node last answered a heartbeat, or zero if it never did.
	LastSeen time.Time `json:"last_seen,omitzero"`
}

// ZoneState is the state of an availability zone.
type ZoneState struct {
	Zone string `json:"zone"`
	// Out is true while the zone is taken out of service.
	Out bool `json:"out"`
	// Version is the base for the change that returns the zone to service, or
	// ledger.NoVersion if the zone was never taken out.
	Version ledger.Version `json:"version"`
}

// EventList holds the events that were found on all nodes.
type EventList struct {
	Events []event.Report `json:"events"`
	// Missing are the IDs of the nodes that did not reply.
	Missing []string `json:"missing,omitempty"`
}

// nameList holds the names of client accounts or services.
type nameList struct {
	Names []string `json:"names"`
}

func (h *Handler) status(w http.ResponseWriter, r *http.Request) {
	if h.config.Status == nil {
		h.writeError(w, ErrUnavailable)
		return
	}
	s, err := h.config.Status.Status(r.Context())
	if err != nil {
		h.writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, s)
}

func (h *Handler) contracts(w http.ResponseWriter, _ *http.Request) {
	if h.config.Documents == nil {
		h.writeError(w, ErrUnavailable)
		return
	}
	var list nameList
	for _, c := range h.config.Documents.Contracts() {
		list.Names = append(list.Names, c.Account())
	}
	writeJSON(w, http.StatusOK, list)
}

func (h *Handler) services(w http.ResponseWriter, _ *http.Request) {
	if h.config.Documents == nil {
		h.writeError(w, ErrUnavailable)
		return
	}
	var list nameList
	for _, s := range h.config.Documents.Services() {
		list.Names = append(list.Names, s.Name())
	}
	writeJSON(w, http.StatusOK, list)
}

func (h *Handler) contract(w http.ResponseWriter, r *http.Request) {
	if h.config.Documents == nil {
		h.writeError(w, ErrUnavailable)
		return
	}
	c, version, ok := h.config.Documents.Contract(mux.Vars(r)["name"])
	if !ok {
		h.writeError(w, ErrNotFound)
		return
	}
	h.document(w, c, version)
}

func (h *Handler) service(w http.ResponseWriter, r *http.Request) {
	if h.config.Documents == nil {
		h.writeError(w, ErrUnavailable)
		return
	}
	s, version, ok := h.config.Documents.Service(mux.Vars(r)["name"])
	if !ok {
		h.writeError(w, ErrNotFound)
		return
	}
	h.document(w, s, version)
}

// versionHeader is the response header with the document's version, which is the base
// for its next change.
const versionHeader = "Chestnutbay-Version"

// document writes a document as YAML, with its version in a header.
func (h *Handler) document(w http.ResponseWriter, d contract.Document, version ledger.Version) {
	text, err := contract.Encode(d)
	if err != nil {
		h.writeError(w, err)
		return
	}
	w.Header().Set("Content-Type", "application/yaml")
	w.Header().Set(versionHeader, strconv.FormatInt(int64(version), 10))
	_, _ = w.Write(text)
}

func (h *Handler) events(w http.ResponseWriter, r *http.Request) {
	if h.config.Events == nil {
		h.writeError(w, ErrUnavailable)
		return
	}
	limit, err := parseLimit(r, DefaultEvents, MaxEvents)
	if err != nil {
		h.writeError(w, err)
		return
	}
	found, missing, err := h.config.Events.Events(r.Context(), r.URL.Query().Get("subject"), limit)
	if err != nil {
		h.writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, EventList{Events: found, Missing: missing})
}

func (h *Handler) burn(w http.ResponseWriter, r *http.Request) {
	if h.config.Burn == nil {
		h.writeError(w, ErrUnavailable)
		return
	}
	limit, err := parseLimit(r, burn.DefaultLimit, burn.MaxPairs)
	if err != nil {
		h.writeError(w, err)
		return
	}
	q := burn.Query{Account: r.URL.Query().Get("account"), Limit: limit}
	merged, missing, err := h.config.Burn.Burn(r.Context(), q)
	if err != nil {
		h.writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, burn.NewReport(merged, missing, h.config.Documents))
}

// parseLimit returns the limit in the request, or defaultLimit if it names none.
func parseLimit(r *http.Request, defaultLimit, maxLimit int) (int, error) {
	text := r.URL.Query().Get("limit")
	if text == "" {
		return defaultLimit, nil
	}
	n, err := strconv.Atoi(text)
	if err != nil || n < 1 || n > maxLimit {
		return 0, invalidParameter("limit", fmt.Sprintf("must be from 1 to %d", maxLimit))
	}
	return n, nil
}

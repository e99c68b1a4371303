package office

import (
	"net/http"
	"strconv"

	"github.com/gorilla/mux"
	"go.uber.org/zap"

	"chestnutbay.dev/chestnutbay/internal/contract/contract"
	"chestnutbay.dev/chestnutbay/internal/contract/ledger"
	"chestnutbay.dev/chestnutbay/internal/report/event"
)

// MaxDocumentBytes is the largest size of a document. It is about twice the size of a
// contract with the most keys, or of a service with a few hundred routes.
const MaxDocumentBytes = 1 << 18

// maxIDBytes is the largest length of the ID of a change.
const maxIDBytes = 64

// wireReceipt is the JSON form of an accepted change.
type wireReceipt struct {
	ID        string         `json:"id"`
	Subject   string         `json:"subject"`
	Version   ledger.Version `json:"version"`
	Confirmed []string       `json:"confirmed"`
	Missing   []string       `json:"missing,omitempty"`
}

func (h *Handler) publishDocument(w http.ResponseWriter, r *http.Request) {
	id, err := changeID(r)
	if err != nil {
		h.writeError(w, err)
		return
	}
	base, err := baseVersion(r, ledger.NoVersion)
	if err != nil {
		h.writeChangeError(w, err, id)
		return
	}
	d, err := contract.Decode(http.MaxBytesReader(w, r.Body, MaxDocumentBytes))
	if err != nil {
		h.writeChangeError(w, err, id)
		return
	}
	switch d := d.(type) {
	case *contract.Contract:
		h.publishChange(w, r, ledger.NewPublishContract(id, base, d), "contract/"+d.Account())
	case *contract.Service:
		h.publishChange(w, r, ledger.NewPublishService(id, base, d), "service/"+d.Name())
	}
}

func (h *Handler) withdrawKey(w http.ResponseWriter, r *http.Request) {
	id, err := changeID(r)
	if err != nil {
		h.writeError(w, err)
		return
	}
	hash, err := contract.ParseKeyHash(mux.Vars(r)["hash"])
	if err != nil {
		h.writeChangeError(w, err, id)
		return
	}
	h.publishChange(w, r, ledger.NewWithdrawKey(id, hash), "key/"+hash.String())
}

func (h *Handler) zoneOut(w http.ResponseWriter, r *http.Request) {
	id, err := changeID(r)
	if err != nil {
		h.writeError(w, err)
		return
	}
	zone := mux.Vars(r)["zone"]
	h.publishChange(w, r, ledger.NewZoneOut(id, zone), "zone/"+zone)
}

func (h *Handler) zoneIn(w http.ResponseWriter, r *http.Request) {
	id, err := changeID(r)
	if err != nil {
		h.writeError(w, err)
		return
	}
	base, err := baseVersion(r, ledger.NoVersion)
	if err != nil {
		h.writeChangeError(w, err, id)
		return
	}
	zone := mux.Vars(r)["zone"]
	h.publishChange(w, r, ledger.NewZoneIn(id, base, zone), "zone/"+zone)
}

// publishChange publishes a change, records it with the operator and the outcome, and
// writes the response.
func (h *Handler) publishChange(w http.ResponseWriter, r *http.Request, c ledger.Change, subject string) {
	if h.config.Publisher == nil {
		h.writeChangeError(w, ErrUnavailable, c.ID())
		return
	}
	receipt, err := h.config.Publisher.Publish(r.Context(), c)
	h.recordChange(operatorOf(r.Context()), c.ID(), subject, receipt, err)
	if err != nil {
		h.writeChangeError(w, err, c.ID())
		return
	}
	writeJSON(w, http.StatusOK, wireReceipt{
		ID:        c.ID(),
		Subject:   subject,
		Version:   receipt.Version(),
		Confirmed: receipt.Confirmed(),
		Missing:   receipt.Missing(),
	})
}

// recordChange records a change and its outcome as an event and in the log.
func (h *Handler) recordChange(operator, id, subject string, receipt Receipt, err error) {
	e := event.OperatorChange{Operator: operator, ID: id, Subject: subject, Outcome: "accepted", Version: int64(receipt.Version())}
	if err != nil {
		k, _ := kindOf(err)
		e.Outcome, e.Version = string(k), int64(ledger.NoVersion)
	}
	h.config.Ring.Record(e)
	h.config.Logger.Info("operator requested a change",
		zap.String("operator", operator), zap.String("id", id), zap.String("subject", subject),
		zap.String("outcome", e.Outcome), zap.Error(err))
}

// changeID returns the ID that the request gives to the change, or a new one if it gives
// none.
func changeID(r *http.Request) (string, error) {
	id := r.URL.Query().Get("id")
	if id == "" {
		return ledger.NewID(), nil
	}
	if len(id) > maxIDBytes {
		return "", invalidParameter("id", "must be at most 64 bytes")
	}
	return id, nil
}

// baseVersion returns the version that the change is based on, or defaultVersion if the
// request names none.
func baseVersion(r *http.Request, defaultVersion ledger.Version) (ledger.Version, error) {
	text := r.URL.Query().Get("base")
	if text == "" {
		return defaultVersion, nil
	}
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil || n < int64(ledger.NoVersion) {
		return defaultVersion, invalidParameter("base", "must be a version")
	}
	return ledger.Version(n), nil
}

// invalidParameter returns an error that matches contract.ErrInvalid and names the query
// parameter.
func invalidParameter(key, text string) error {
	return contract.NewProblems([]contract.Problem{contract.NewProblem(0, key, text)})
}

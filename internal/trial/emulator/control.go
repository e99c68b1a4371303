package emulator

import (
	"encoding/json"
	"net/http"

	"github.com/gorilla/mux"
)

// Paths of the control API.
const (
	BehaviourPath = "/behaviour"
	RestartPath   = "/restart"
	HistoryPath   = "/history"
)

// maxBehaviourBytes limits the body of a POST to BehaviourPath.
const maxBehaviourBytes = 64 << 10

// Control returns the handler of the control API.
func (t *Target) Control() http.Handler {
	m := mux.NewRouter()
	m.HandleFunc(BehaviourPath, t.showBehaviour).Methods(http.MethodGet)
	m.HandleFunc(BehaviourPath, t.changeBehaviour).Methods(http.MethodPost)
	m.HandleFunc(RestartPath, t.restart).Methods(http.MethodPost)
	m.HandleFunc(HistoryPath, t.showHistory).Methods(http.MethodGet)
	return m
}

func (t *Target) showBehaviour(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, t.Behaviour())
}

// changeBehaviour sets the fields that the JSON body names and keeps the others.
func (t *Target) changeBehaviour(w http.ResponseWriter, r *http.Request) {
	b := t.Behaviour()
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBehaviourBytes))
	d.DisallowUnknownFields()
	err := d.Decode(&b)
	if err == nil {
		err = t.SetBehaviour(b)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	writeJSON(w, b)
}

func (t *Target) restart(w http.ResponseWriter, _ *http.Request) {
	t.Restart()
	w.WriteHeader(http.StatusNoContent)
}

func (t *Target) showHistory(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, t.recorder.Record(t.name))
}

package heartbeat

import (
	"slices"

	"chestnutbay.dev/chestnutbay/internal/contract/follower"
	"chestnutbay.dev/chestnutbay/internal/fleet/lease"
)

// Most of a heartbeat equals the one before it. What has not changed is left out
// and identified by a number instead: with 48 nodes this halves the bytes between
// them. A receiver that does not hold the numbered state, for
// example after a restart, asks for it.

// state is what a node reports about itself. The position names the process's
// incarnation, under which it also claims leases.
type state struct {
	Position follower.Position `json:"pos"`
	Claims   lease.Claims      `json:"claims,omitzero"`
}

func (s state) equal(o state) bool {
	return s.Position == o.Position && s.Claims.Sequence == o.Claims.Sequence && slices.Equal(s.Claims.Names, o.Claims.Names)
}

// payload is the content of a reply, without the records.
type payload struct {
	Position follower.Position `json:"pos"`
	Votes    lease.Votes       `json:"votes,omitzero"`
}

func (p payload) equal(o payload) bool {
	return p.Position == o.Position && p.Votes.Sequence == o.Votes.Sequence && slices.Equal(p.Votes.Denied, o.Votes.Denied)
}

// request is the heartbeat message.
type request struct {
	// Number identifies the sender's state. State is left out if the receiver is
	// known to hold it.
	Number uint64 `json:"n"`
	State  *state `json:"s,omitempty"`
	// Have is the number of the last complete payload that the sender holds, or
	// 0.
	Have    uint64            `json:"h,omitempty"`
	Records []follower.Record `json:"rec,omitempty"`
}

// reply is the reply to a heartbeat.
type reply struct {
	// Resend asks the sender of the heartbeat for its complete state, because
	// the replying node does not hold the state with the request's number. The
	// other fields are then empty.
	Resend bool `json:"resend,omitempty"`
	// Number identifies the payload. Payload is left out if it equals the one
	// that the sender holds under this number.
	Number  uint64            `json:"n,omitempty"`
	Payload *payload          `json:"a,omitempty"`
	Records []follower.Record `json:"rec,omitempty"`
}

// numberedState is a state that has a number. Number 0 means that there is none.
type numberedState struct {
	number uint64
	state  state
}

// numberedPayload is a payload that has a number. Number 0 means that there is
// none.
type numberedPayload struct {
	number  uint64
	payload payload
}

// senderState is what this node holds of a node that sends it heartbeats: the
// last state received from it and the last payload sent to it.
type senderState struct {
	received numberedState
	sent     numberedPayload
}

// request builds the next heartbeat to a peer and returns the number of its
// state. The caller must hold the mutex.
func (p *peerState) request(current state) (request, uint64) {
	r := request{Number: p.confirmed.number, Have: p.received.number}
	if p.confirmed.number == 0 || !p.confirmed.state.equal(current) {
		p.stateNumber++
		r.Number, r.State = p.stateNumber, &current
	}
	return r, r.Number
}

// accept handles a reply and returns its complete payload. It returns false if
// the next heartbeat must be complete. The caller must hold the mutex.
func (p *peerState) accept(sent state, number uint64, response reply) (payload, bool) {
	if response.Payload != nil {
		p.received = numberedPayload{number: response.Number, payload: *response.Payload}
	}
	if response.Resend || response.Number == 0 || response.Number != p.received.number {
		p.confirmed, p.received = numberedState{}, numberedPayload{}
		return payload{}, false
	}
	p.confirmed = numberedState{number: number, state: sent}
	return p.received.payload, true
}

// resolveState stores the state that a request carries, if any. It returns the
// state that the request is about, and whether this node holds it.
func (h *Heartbeat) resolveState(from string, r request) (state, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.senders[from]
	if s == nil {
		s = new(senderState)
		h.senders[from] = s
	}
	if r.State != nil {
		s.received = numberedState{number: r.Number, state: *r.State}
	}
	return s.received.state, s.received.number != 0 && s.received.number == r.Number
}

// replyTo builds the reply to a sender. It leaves the payload out if the sender
// holds an equal one.
func (h *Heartbeat) replyTo(from string, have uint64, current payload) reply {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.senders[from]
	if s.sent.number != 0 && s.sent.number == have && s.sent.payload.equal(current) {
		return reply{Number: have}
	}
	h.replyNumber++
	s.sent = numberedPayload{number: h.replyNumber, payload: current}
	return reply{Number: h.replyNumber, Payload: &current}
}

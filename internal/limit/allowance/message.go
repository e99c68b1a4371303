package allowance

import "math"

// Names of the methods that nodes call on each other.
const (
	methodTake   = "allowance.take"
	methodReturn = "allowance.return"
	methodRelay  = "allowance.relay"
)

// heldGrant is the grant that a node holds when it sends a report.
type heldGrant struct {
	Epoch           uint64  `json:"e"`
	Number          uint64  `json:"n"`
	Rate            float64 `json:"r"`
	Capacity        float64 `json:"b"`
	Tokens          float64 `json:"t,omitempty"`
	RemainingMillis int64   `json:"ms"`
	// ContractRate and ContractBurst are the rate and burst of the contract
	// under which the grant was issued.
	ContractRate  float64 `json:"ir"`
	ContractBurst float64 `json:"ib"`
}

// report lists what a node holds of an account. Report numbers increase, and a
// node ignores the reply to any report but its last one, so the owner knows from
// a report exactly what the node can use.
type report struct {
	Account     string     `json:"a"`
	Node        string     `json:"node"`
	Incarnation string     `json:"inc"`
	Number      uint64     `json:"n"`
	Held        *heldGrant `json:"held,omitempty"`
	// ReturnedTokens are unused tokens that the node gives back to the owner.
	// The node has also given up the capacity that held them.
	ReturnedTokens float64 `json:"back,omitempty"`
}

// takeRequest reports what the node holds and asks for tokens and a grant.
type takeRequest struct {
	report
	// Waiting is the number of requests that wait for a token.
	Waiting int `json:"need,omitempty"`
	// Demand is the rate of requests that arrive at the node, in requests per
	// second.
	Demand float64 `json:"d,omitempty"`
}

// takeReply is the reply to a takeRequest.
type takeReply struct {
	// NotOwner is set if the node that replies does not own the partition. Owner
	// is then the node that it believes to be the owner, or "".
	NotOwner bool   `json:"nothome,omitempty"`
	Owner    string `json:"home,omitempty"`

	Epoch         uint64  `json:"e,omitempty"`
	Rate          float64 `json:"r,omitempty"`
	Capacity      float64 `json:"b,omitempty"`
	Tokens        float64 `json:"t,omitempty"`
	ValidMillis   int64   `json:"ms,omitempty"`
	ContractRate  float64 `json:"ir,omitempty"`
	ContractBurst float64 `json:"ib,omitempty"`
	// Loan is the number of tokens lent to the waiting requests. They must be
	// used within LoanMillis, counted from the sending of the request.
	Loan       int   `json:"loan,omitempty"`
	LoanMillis int64 `json:"lms,omitempty"`
	// ReportSoon asks the node to send another report soon.
	ReportSoon bool `json:"confirm,omitempty"`
	// RetryMillis is the time until a token may be available; 0 if the loan
	// covers all waiting requests.
	RetryMillis int64 `json:"retry,omitempty"`
}

// returnRequest carries reports without asking for tokens.
type returnRequest struct {
	Reports []report `json:"s"`
}

// relayRequest asks a third node to pass a request on to the owner.
type relayRequest struct {
	Owner string      `json:"home,omitempty"`
	Take  takeRequest `json:"take"`
}

// roundDown rounds down to thousandths, so that numbers stay short in messages,
// and returns 0 for negative numbers. Both nodes count with the rounded number.
func roundDown(x float64) float64 {
	return math.Floor(max(x, 0)*1000) / 1000
}

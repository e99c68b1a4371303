package entry

import (
	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"chestnutbay.dev/chestnutbay/internal/fleet/feed"
	"chestnutbay.dev/chestnutbay/internal/fleet/gossip"
	"chestnutbay.dev/chestnutbay/internal/fleet/rollout"
	"chestnutbay.dev/chestnutbay/internal/limit/quota"
	"chestnutbay.dev/chestnutbay/internal/target/balancer"
	"chestnutbay.dev/chestnutbay/internal/target/departure"
	"chestnutbay.dev/chestnutbay/internal/traffic/retry"
)

// payload is the content of one datagram between VMs. Integer keys keep it small.
type payload struct {
	Instances     []balancer.Report   `cbor:"1,keyasint,omitempty"`
	Accounts      []quota.Report      `cbor:"2,keyasint,omitempty"`
	Services      []retry.Report      `cbor:"3,keyasint,omitempty"`
	Announcements []feed.Announcement `cbor:"4,keyasint,omitempty"`
	Departures    []departure.Notice  `cbor:"5,keyasint,omitempty"`
	Running       *rollout.Running    `cbor:"6,keyasint,omitempty"`
}

// maxReportBytes is an upper bound for the encoded size of one report without its name.
const maxReportBytes = 32

// size returns an upper bound for the encoded size of the payload in bytes.
func (p *payload) size() int {
	n := 16
	for _, r := range p.Instances {
		n += len(r.Instance) + maxReportBytes
	}
	for _, r := range p.Accounts {
		n += len(r.Account) + maxReportBytes
	}
	for _, r := range p.Services {
		n += len(r.Service) + maxReportBytes
	}
	for _, a := range p.Announcements {
		n += announcementSize(a)
	}
	for _, d := range p.Departures {
		n += len(d.Instance) + maxReportBytes
	}
	if p.Running != nil {
		n += len(p.Running.Settings) + maxReportBytes
	}
	return n
}

// announcementSize returns an upper bound for the encoded size of an announcement in
// bytes.
func announcementSize(a feed.Announcement) int {
	n := 48
	for _, r := range a.Records {
		n += len(r.Key) + len(r.Value) + maxReportBytes
	}
	return n
}

// composer distributes reports and announcements over payloads that fit a datagram.
type composer struct {
	payloads []payload
}

// payloadFor returns the payload to which an element of the given size is to be added:
// the last one, or a new one if the last has no room for it.
func (c *composer) payloadFor(size int) *payload {
	if len(c.payloads) == 0 || c.payloads[len(c.payloads)-1].size()+size > gossip.PayloadBytes {
		c.payloads = append(c.payloads, payload{})
	}
	return &c.payloads[len(c.payloads)-1]
}

// compose returns the encoded payloads with the pending announcements and reports, at
// least one. It requests a further datagram if reports remain.
func (v *VM) compose() [][]byte {
	var c composer
	for _, a := range v.outbox.take() {
		p := c.payloadFor(announcementSize(a))
		p.Announcements = append(p.Announcements, a)
	}
	for _, d := range v.departures.Reports() {
		p := c.payloadFor(len(d.Instance) + maxReportBytes)
		p.Departures = append(p.Departures, d)
	}
	for _, r := range v.balancer.Reports() {
		p := c.payloadFor(len(r.Instance) + maxReportBytes)
		p.Instances = append(p.Instances, r)
	}
	for _, r := range v.quota.Reports() {
		p := c.payloadFor(len(r.Account) + maxReportBytes)
		p.Accounts = append(p.Accounts, r)
	}
	for _, r := range v.budget.Reports() {
		p := c.payloadFor(len(r.Service) + maxReportBytes)
		p.Services = append(p.Services, r)
	}
	if r, ok := v.rollout.Report(); ok {
		c.payloadFor(len(r.Settings) + maxReportBytes).Running = &r
	}
	if len(c.payloads) == 0 {
		c.payloads = append(c.payloads, payload{})
	}
	if v.departures.Dirty() || v.balancer.Dirty() || v.quota.Dirty() {
		v.gossip.RequestSend(false)
	}
	var encoded [][]byte
	for i := range c.payloads {
		b, err := cbor.Marshal(&c.payloads[i])
		if err != nil {
			v.config.Logger.Error("report could not be encoded", zap.Error(err))
			continue
		}
		encoded = append(encoded, b)
	}
	return encoded
}

// receive merges the announcements and reports in a payload of another VM.
func (v *VM) receive(from gossip.Sender, b []byte) {
	if len(b) == 0 {
		return
	}
	var p payload
	if err := cbor.Unmarshal(b, &p); err != nil {
		v.config.Logger.Warn("report of another VM could not be decoded", zap.String("other", from.Name), zap.Error(err))
		return
	}
	for _, a := range p.Announcements {
		v.feed.HandleAnnouncement(from.Name, a)
	}
	if p.Running != nil {
		v.rollout.Observe(from.Name, *p.Running)
	}
	v.departures.Observe(p.Departures)
	v.balancer.Observe(from.Name, from.Incarnation, p.Instances, from.Baseline)
	v.quota.Observe(from.Name, from.Incarnation, p.Accounts, v.limits, from.Baseline)
	v.budget.Observe(from.Name, from.Incarnation, p.Services, from.Baseline)
}

// limits returns the rate and burst of a client account. ok is false if the account is
// unknown or has no rate.
func (v *VM) limits(account string) (rate, burst float64, ok bool) {
	t := v.table.Load()
	if t == nil {
		return 0, 0, false
	}
	a, ok := t.Account(account)
	if !ok || !a.Limited() {
		return 0, 0, false
	}
	return a.Rate(), a.Burst(), true
}

// memberTimedOut discards the reports of a VM that is no longer a member, and queues
// the VM for removal from the store's list.
func (v *VM) memberTimedOut(vm string) {
	v.balancer.ForgetVM(vm)
	v.quota.ForgetVM(vm)
	v.budget.ForgetVM(vm)
	v.rollout.ForgetVM(vm)
	select {
	case v.silentVMs <- vm:
	default:
		// The queue is full. Either another VM removes the silent VM from the list, or
		// the next read of the list makes the silent VM a member again, and it is queued
		// after its next timeout.
	}
}

package entry

import (
	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"chestnutbay.dev/chestnutbay/internal/fleet/feed"
	"chestnutbay.dev/chestnutbay/internal/fleet/gossip"
	"chestnutbay.dev/chestnutbay/internal/limit/quota"
	"chestnutbay.dev/chestnutbay/internal/target/balancer"
	"chestnutbay.dev/chestnutbay/internal/traffic/retry"
)

// payload is what one datagram carries between VMs. Short names keep it small.
type payload struct {
	Instances     []balancer.Report   `cbor:"1,keyasint,omitempty"`
	Accounts      []quota.Report      `cbor:"2,keyasint,omitempty"`
	Services      []retry.Report      `cbor:"3,keyasint,omitempty"`
	Announcements []feed.Announcement `cbor:"4,keyasint,omitempty"`
}

// reportBytes is what the counts and markers of one report take at most, beside its
// name.
const reportBytes = 32

// size returns about how many bytes the payload takes, from above.
func (p *payload) size() int {
	n := 16
	for _, r := range p.Instances {
		n += len(r.Instance) + reportBytes
	}
	for _, r := range p.Accounts {
		n += len(r.Account) + reportBytes
	}
	for _, r := range p.Services {
		n += len(r.Service) + reportBytes
	}
	for _, a := range p.Announcements {
		n += announcementSize(a)
	}
	return n
}

func announcementSize(a feed.Announcement) int {
	n := 48
	for _, r := range a.Records {
		n += len(r.Key) + len(r.Value) + reportBytes
	}
	return n
}

// composer splits what is to be sent into payloads that fit a datagram.
type composer struct {
	list []payload
}

func (c *composer) next(size int) *payload {
	if len(c.list) == 0 || c.list[len(c.list)-1].size()+size > gossip.PayloadBytes {
		c.list = append(c.list, payload{})
	}
	return &c.list[len(c.list)-1]
}

// compose returns what the other VMs should know now.
func (v *VM) compose() [][]byte {
	var c composer
	for _, a := range v.outbox.take() {
		p := c.next(announcementSize(a))
		p.Announcements = append(p.Announcements, a)
	}
	for _, r := range v.balancer.Reports() {
		p := c.next(len(r.Instance) + reportBytes)
		p.Instances = append(p.Instances, r)
	}
	for _, r := range v.quota.Reports() {
		p := c.next(len(r.Account) + reportBytes)
		p.Accounts = append(p.Accounts, r)
	}
	for _, r := range v.budget.Reports() {
		p := c.next(len(r.Service) + reportBytes)
		p.Services = append(p.Services, r)
	}
	if len(c.list) == 0 {
		c.list = append(c.list, payload{})
	}
	if v.balancer.Dirty() || v.quota.Dirty() {
		v.gossip.Changed(false)
	}
	var out [][]byte
	for i := range c.list {
		b, err := cbor.Marshal(&c.list[i])
		if err != nil {
			v.config.Logger.Error("report could not be encoded", zap.Error(err))
			continue
		}
		out = append(out, b)
	}
	return out
}

// receive takes in what another VM reports.
func (v *VM) receive(from gossip.Sender, b []byte) {
	if len(b) == 0 {
		return
	}
	var p payload
	if err := cbor.Unmarshal(b, &p); err != nil {
		v.config.Logger.Warn("report of another VM cannot be read", zap.String("other", from.Name), zap.Error(err))
		return
	}
	for _, a := range p.Announcements {
		v.feed.Heard(from.Name, a)
	}
	v.balancer.Observe(from.Name, from.Incarnation, p.Instances, from.Baseline)
	v.quota.Observe(from.Name, from.Incarnation, p.Accounts, v.limits, from.Baseline)
	v.budget.Observe(from.Name, from.Incarnation, p.Services, from.Baseline)
}

// limits returns an account's rate and burst.
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

// forgotten drops what a VM reported that is no longer a member.
func (v *VM) forgotten(vm string) {
	v.balancer.ForgetVM(vm)
	v.quota.ForgetVM(vm)
	v.budget.ForgetVM(vm)
	select {
	case v.silent <- vm:
	default: // Another VM, or the next reading of the list, sees to it.
	}
}

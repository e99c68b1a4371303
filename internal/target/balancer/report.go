package balancer

import "time"

// Report is one VM's report of an instance to the other VMs. Counts are cumulative
// since the VM first saw the instance, so that the next report makes up for a lost
// one.
type Report struct {
	_         struct{} `cbor:",toarray"`
	Instance  string
	InFlight  int
	Started   uint32
	Succeeded uint32
	Failed    uint32
	// Late counts requests that were not answered in time.
	Late uint32
	// Unreached counts failed connections. Absent counts responses which show that
	// another instance listens at the address.
	Unreached uint32
	Absent    uint32
}

// Reports returns the counts that changed since the last call. Reports may get lost,
// so each change is returned by more than one call.
func (b *Balancer) Reports() []Report {
	b.mu.Lock()
	defer b.mu.Unlock()
	var list []Report
	for _, id := range b.changed.Take() {
		if rec := b.instances[id]; rec != nil {
			list = append(list, rec.counts)
		}
	}
	return list
}

// Dirty reports whether Reports would return anything.
func (b *Balancer) Dirty() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.changed.Len() > 0
}

// Observe merges the reports of another VM. An incarnation is one start of that VM's
// process, whose counts begin at 0. If baseline is set, this VM has just started, and
// the first counts of each instance only serve as the starting point for later ones.
func (b *Balancer) Observe(vm string, incarnation uint64, reports []Report, baseline bool) {
	now := time.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, r := range reports {
		i, ok := b.config.Directory.Get(r.Instance)
		if !ok {
			continue
		}
		b.record(i).observe(vm, peer{at: now, incarnation: incarnation, report: r}, baseline)
	}
}

func (r *record) observe(vm string, p peer, baseline bool) {
	if r.peers == nil {
		r.peers = make(map[string]peer)
	}
	last, known := r.peers[vm]
	r.peers[vm] = p
	r.setPeerInFlight(vm, p.at, max(p.report.InFlight, 0))
	switch {
	case !known && baseline:
		return
	case last.incarnation != p.incarnation:
		last = peer{}
	}
	increase := p.report.since(last.report)
	if increase.Started > 0 {
		r.recentRequests.add(p.at, float64(increase.Started))
		r.lastRequest = p.at
	}
	if increase.Unreached > 0 {
		r.observeUnreached(vm, p.at)
	}
	if increase.Absent > 0 {
		r.absentUntil = p.at.Add(absentTime)
	}
	if increase.Succeeded > 0 {
		r.observeSuccess(p.at, increase.Succeeded)
	}
	if increase.Failed > 0 {
		r.observeFailure(p.at, failed, increase.Failed)
	}
	if increase.Late > 0 {
		r.observeFailure(p.at, late, increase.Late)
	}
}

// since returns a report with the increase of each count since an earlier report.
func (r Report) since(earlier Report) Report {
	r.Started = since(earlier.Started, r.Started)
	r.Succeeded = since(earlier.Succeeded, r.Succeeded)
	r.Failed = since(earlier.Failed, r.Failed)
	r.Late = since(earlier.Late, r.Late)
	r.Unreached = since(earlier.Unreached, r.Unreached)
	r.Absent = since(earlier.Absent, r.Absent)
	return r
}

// since returns the increase of a cumulative count. A count that decreased comes from
// a record that the other VM started again from 0.
func since(previous, current uint32) uint32 {
	if current < previous {
		return current
	}
	return current - previous
}

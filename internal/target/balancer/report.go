package balancer

import "time"

// Report is what one VM tells the others of an instance. Counts run since the VM
// first saw the instance, so a lost report is made up for by the next one.
type Report struct {
	_         struct{} `cbor:",toarray"`
	Instance  string
	InFlight  int
	Started   uint32
	Succeeded uint32
	Failed    uint32
	// Late counts requests that were not answered in time.
	Late uint32
	// Unreached counts failed connections, and Absent answers of another instance
	// at the address.
	Unreached uint32
	Absent    uint32
}

// Reports returns what has changed since the last reports, each change a few times.
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

// Observe takes in what another VM reports. An incarnation is one start of that
// VM's process, whose counts begin at 0.
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
	r.setBusy(vm, p.at, max(p.report.InFlight, 0))
	switch {
	case !known && baseline:
		return
	case last.incarnation != p.incarnation:
		last = peer{}
	}
	news := p.report.since(last.report)
	if news.Started > 0 {
		r.recent.add(p.at, float64(news.Started))
		r.lastStart = p.at
	}
	if news.Unreached > 0 {
		r.notReached(vm, p.at)
	}
	if news.Absent > 0 {
		r.absentUntil = p.at.Add(absentTime)
	}
	if news.Succeeded > 0 {
		r.success(p.at, news.Succeeded)
	}
	if news.Failed > 0 {
		r.failure(p.at, failed, news.Failed)
	}
	if news.Late > 0 {
		r.failure(p.at, late, news.Late)
	}
}

// since returns what a report counts beyond an earlier one.
func (r Report) since(before Report) Report {
	r.Started = since(before.Started, r.Started)
	r.Succeeded = since(before.Succeeded, r.Succeeded)
	r.Failed = since(before.Failed, r.Failed)
	r.Late = since(before.Late, r.Late)
	r.Unreached = since(before.Unreached, r.Unreached)
	r.Absent = since(before.Absent, r.Absent)
	return r
}

// since returns how far a running count has come. A count that went back belongs
// to a record that the other VM started anew.
func since(before, now uint32) uint32 {
	if now < before {
		return now
	}
	return now - before
}

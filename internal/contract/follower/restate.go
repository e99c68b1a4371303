package follower

import (
	"context"
	"hash/fnv"
	"io"
	"time"

	"go.uber.org/zap"

	"chestnutbay.dev/chestnutbay/internal/contract/ledger"
	"chestnutbay.dev/chestnutbay/internal/report/event"
)

const (
	// restateRoundsPerRetention is how often the ledger is searched for entries to
	// restate within one retention time.
	restateRoundsPerRetention = 256
	// maxRestateInterval is the longest time between two searches.
	// minRestateInterval is the shortest, so that a short retention does not load
	// the node.
	maxRestateInterval = 10 * time.Second
	minRestateInterval = 250 * time.Millisecond
	// restatePerRound limits a node's restatements in one round, so that after a
	// large import the log still has capacity for changes.
	restatePerRound = 100
	// restateStrictAfter is the age at which a strict change is restated for the first
	// time. Certifying the change in a replay needs the record of the version that it is
	// based on, and that record may expire before the record of the change.
	restateStrictAfter = 30 * time.Second
)

func restateInterval(retention time.Duration) time.Duration {
	return min(max(retention/restateRoundsPerRetention, minRestateInterval), maxRestateInterval)
}

// restate appends restatements of the entries that are due and that this node is
// responsible for. Only a fresh node does so.
func (f *Follower) restate(ctx context.Context) {
	if f.Fresh() != nil {
		return
	}
	nodes := f.servingNodes()
	now := time.Now()
	due, asOf := f.ledger.FindEntries(func(subject string, e *ledger.Entry) bool {
		return dueForRestatement(e, now, f.config.Retention) && responsibleNode(nodes, subject) == f.config.Self
	}, restatePerRound)
	for _, e := range due {
		payload, err := ledger.Encode(ledger.NewRestatement(e, asOf))
		if err == nil {
			err = f.appendOnce(ctx, payload)
		}
		if err != nil {
			// The next round tries again. If this restatement took effect despite the
			// error, a second one does no harm.
			f.config.Logger.Info("restatement failed", zap.String("document", e.Subject()), zap.Error(err))
			return
		}
		f.config.Events.Record(event.DocumentRestated{
			Document: e.Subject(), Version: int64(e.Version), Age: now.Sub(e.Written()),
		})
	}
	if len(due) > 0 {
		f.readNow()
	}
}

// appendOnce appends a record without retries.
func (f *Follower) appendOnce(ctx context.Context, payload []byte) error {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	_, err := f.config.Log.Append(ctx, payload)
	return err
}

// dueForRestatement reports whether the record of an entry is older than half the
// retention, or older than restateStrictAfter if the entry is a strict change that was
// never restated.
func dueForRestatement(e *ledger.Entry, now time.Time, retention time.Duration) bool {
	limit := retention / 2
	if e.Certified() {
		limit = min(limit, restateStrictAfter)
	}
	return now.Sub(e.Written()) > limit
}

// servingNodes returns this node and the serving peers that replied within
// EvidenceLifetime. It does not use the VM list, which is updated late: the entries
// assigned to a dead node would expire.
func (f *Follower) servingNodes() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	nodes := []string{f.config.Self}
	for id, p := range f.peers {
		if p.repliedRecently() && p.position.Serving {
			nodes = append(nodes, id)
		}
	}
	return nodes
}

// responsibleNode returns the node that is responsible for restating a subject, by
// rendezvous hashing.
func responsibleNode(nodes []string, subject string) string {
	var best string
	var bestWeight uint64
	for _, node := range nodes {
		h := fnv.New64a()
		io.WriteString(h, subject+"\x00"+node) //nolint:errcheck // A hash never fails.
		if weight := mixBits(h.Sum64()); best == "" || weight > bestWeight || weight == bestWeight && node < best {
			best, bestWeight = node, weight
		}
	}
	return best
}

// mixBits distributes the influence of a name's last bytes over all bits of an FNV hash,
// with the finalizer of MurmurHash3. FNV alone gives names such as vm-1 and vm-2 almost
// equal hashes.
func mixBits(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

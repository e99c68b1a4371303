package feed

// How a record that is too large for an announcement spreads in a zone: its first
// ZoneReaders VMs, by rank, read it from the store, and each VM passes it on to up to
// spreadFanOut others, which ask for it. With the ranks as a tree, no VM serves many
// others, and a zone of 275 VMs needs three steps.
const (
	// ZoneReaders is the number of VMs in each zone that read such a record from the
	// store.
	ZoneReaders = 2
	// spreadFanOut is the number of VMs that ask one VM first.
	spreadFanOut = 6
)

// Ancestors returns the ranks of the VMs that the VM of a rank in its zone asks for a
// large record: its parent first, and if that does not answer, the parent's own parent,
// and so on. Each ranks before the one that asks, so that no VMs wait for each other. A
// reader has none.
func Ancestors(rank int) []int {
	var list []int
	for rank >= ZoneReaders {
		rank = (rank - ZoneReaders) / spreadFanOut
		list = append(list, rank)
	}
	return list
}

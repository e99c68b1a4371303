package settings

import "net/netip"

// Listen holds the addresses that the node listens on.
type Listen struct {
	callers   netip.AddrPort
	peers     netip.AddrPort
	operators netip.AddrPort
	file      listenFile
}

type listenFile struct {
	Callers   string `yaml:"callers" doc:"Address for callers, as IP number and port."`
	Peers     string `yaml:"peers" doc:"Address for the other nodes of the fleet. The list of VMs must name the same one."`
	Operators string `yaml:"operators" doc:"Address for operators, health checks and metrics."`
}

func (l *Listen) key() string { return "listen" }

func (*Listen) about() string {
	return "The addresses of this node. They are IP numbers; names are not looked up."
}

func (l *Listen) yamlFields() any { return &l.file }

func (l *Listen) load(c *checks) {
	l.callers = c.parseAddress("callers", l.file.Callers)
	l.peers = c.parseAddress("peers", l.file.Peers)
	l.operators = c.parseAddress("operators", l.file.Operators)
	l.checkDistinct(c)
}

// checkDistinct reports an address that is used twice. Port 0 stands for any free
// port and may be used again.
func (l *Listen) checkDistinct(c *checks) {
	seen := make(map[netip.AddrPort]string, 3)
	for _, entry := range []struct {
		key     string
		address netip.AddrPort
	}{{"callers", l.callers}, {"peers", l.peers}, {"operators", l.operators}} {
		if !entry.address.IsValid() || entry.address.Port() == 0 {
			continue
		}
		if first, ok := seen[entry.address]; ok {
			c.addf(entry.key, "is the same address as listen.%s", first)
		}
		seen[entry.address] = entry.key
	}
}

// Callers returns the address for callers.
func (l Listen) Callers() netip.AddrPort { return l.callers }

// Peers returns the address for the other nodes.
func (l Listen) Peers() netip.AddrPort { return l.peers }

// Operators returns the address for operators, health checks and metrics.
func (l Listen) Operators() netip.AddrPort { return l.operators }

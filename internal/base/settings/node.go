package settings

// Node holds the name and the availability zone of the node.
type Node struct {
	id   string
	zone string
	file nodeFile
}

type nodeFile struct {
	ID   string `yaml:"id" doc:"Name of this node, unique in the fleet."`
	Zone string `yaml:"zone" doc:"Availability zone that this node runs in."`
}

func (n *Node) key() string { return "node" }

func (*Node) about() string {
	return "The identity of this node."
}

func (n *Node) yamlFields() any { return &n.file }

func (n *Node) load(c *checks) {
	n.id, n.zone = n.file.ID, n.file.Zone
	c.checkName("id", n.id)
	c.checkName("zone", n.zone)
}

// ID returns the node's name in the fleet.
func (n Node) ID() string { return n.id }

// Zone returns the availability zone that the node runs in.
func (n Node) Zone() string { return n.zone }

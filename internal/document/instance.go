package document

import "net/netip"

// Instance is one entry of the platform's list of instances. Each instance writes its own entry when it starts.
type Instance struct {
	// Name of the instance. It equals the name of the object. Required.
	Name string
	// Region and Zone are the region and the availability zone of the instance. Required.
	Region, Zone string
	// PeerAddress is the IP address and port for messages from other instances. Required.
	PeerAddress string
	// OperationsAddress is the IP address and port of the operators' endpoints. It is empty when the platform wrote the
	// entry and does not know the address; the command-line tool then skips the instance.
	OperationsAddress string
	// Incarnation is different after each start of the process, so that a process does not mistake the entry of an
	// earlier incarnation for its own. Zero when the platform wrote the entry.
	Incarnation uint64
	// Leaving is true when the platform is about to stop the instance. Default false.
	Leaving bool
}

// Check returns the faults of an entry of the list of instances.
func (i *Instance) Check() []Problem {
	c := &checker{}
	c.checkName("instance", i.Name)
	c.checkName("region", i.Region)
	c.checkName("zone", i.Zone)
	_, err := netip.ParseAddrPort(i.PeerAddress)
	c.require(err == nil, "peer_address", `write an IP address and a port, such as "10.0.0.7:7000"`, "address "+quote(i.PeerAddress)+" is not valid")
	if i.OperationsAddress != "" {
		_, err := netip.ParseAddrPort(i.OperationsAddress)
		c.require(err == nil, "operations_address", `write an IP address and a port, such as "10.0.0.7:8082"`, "address "+quote(i.OperationsAddress)+" is not valid")
	}
	return c.problems
}

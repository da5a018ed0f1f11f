package document

import "net/netip"

// Instance is one entry of the platform's list of instances. Each instance writes its own when it starts.
type Instance struct {
	// Name of the instance; equal to the name of the object. Required.
	Name string
	// Region and Zone are where the instance runs. Required.
	Region, Zone string
	// PeerAddress is the IP address and port where it answers peers. Required.
	PeerAddress string
	// OperationsAddress is the IP address and port where it shows its state to operators. Empty when the platform wrote
	// the entry and does not know it; the tool then passes the instance over.
	OperationsAddress string
	// Incarnation differs for each start of the process, so that a process does not take the entry of an earlier one
	// for its own. Zero when the platform wrote the entry.
	Incarnation uint64
	// Leaving is true when the platform is about to stop the instance. Default false.
	Leaving bool
}

// Check returns the faults of an entry.
func (i *Instance) Check() []Problem {
	c := &checker{}
	c.name("instance", i.Name)
	c.name("region", i.Region)
	c.name("zone", i.Zone)
	_, err := netip.ParseAddrPort(i.PeerAddress)
	c.require(err == nil, "peer_address", `write an IP address and a port, such as "10.0.0.7:7000"`, "address "+quote(i.PeerAddress)+" is not valid")
	if i.OperationsAddress != "" {
		_, err := netip.ParseAddrPort(i.OperationsAddress)
		c.require(err == nil, "operations_address", `write an IP address and a port, such as "10.0.0.7:8082"`, "address "+quote(i.OperationsAddress)+" is not valid")
	}
	return c.problems
}

package peer

import (
	"fuchsiahub.example/fuchsiahub/internal/fault"
	"fuchsiahub.example/fuchsiahub/internal/peerpb"
)

// maxNameBytes bounds each name of a message's sender.
const maxNameBytes = 128

// checkSender returns an error for a message of an unknown protocol version or without a valid sender.
func checkSender(s *peerpb.Sender) error {
	if v := s.GetProtocol(); v != ProtocolVersion {
		return fault.New(fault.BadPeer, "bring all instances to versions that share a protocol",
			"message has protocol version %d, this instance knows %d", v, ProtocolVersion)
	}
	name := s.GetInstance()
	if name == "" || len(name) > maxNameBytes || len(s.GetRegion()) > maxNameBytes || len(s.GetZone()) > maxNameBytes {
		return fault.New(fault.BadPeer, "check the settings of the sender", "message names no valid sender")
	}
	return nil
}

// Package peer carries messages between instances: drpc over TCP.
//
// It decides nothing. A message that is too large, malformed or of an unknown protocol version is refused with a
// counted error of kind fault.BadPeer and changes no state. A peer that does not answer in time gives an error of kind
// fault.PeerUnavailable.
package peer

// Package peer carries messages between instances: drpc over TCP.
//
// The package is transport only and makes no decisions. A message that is too large, malformed or of an unknown protocol
// version is rejected with an error of kind fault.BadPeer, is counted, and changes no state. A call to a peer that does
// not answer within its timeout fails with an error of kind fault.PeerUnavailable.
package peer

// Package node implements the tasks of a running instance and the messages between them.
//
// Each task owns its state and is reached through its mailbox only. The packages under internal/decide make the
// decisions; the tasks supply the time, the randomness and the messages.
package node

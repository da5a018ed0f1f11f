// Package daemon builds the tasks of one instance from its settings, runs them and stops them.
//
// It makes no decisions: it connects the tasks of package node with the front end, the operations endpoints, the peer
// transport and the object API. A graceful stop follows charts/instance.toml and interrupts no request before its time
// limit.
package daemon

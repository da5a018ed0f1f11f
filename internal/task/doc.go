// Package task provides what tasks need to talk to each other: bounded mailboxes, a request-and-reply helper and
// groups that start and stop tasks together.
//
// A task is one goroutine that owns its state. Others reach it only through its mailbox. The package does not
// restart tasks and does not queue without bound: a sender learns that a mailbox is full.
package task

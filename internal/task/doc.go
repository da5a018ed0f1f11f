// Package task provides message passing between tasks: bounded mailboxes, request and reply, and groups of tasks that
// start and stop together.
//
// A task is one goroutine that owns its state. Other goroutines reach it only through its mailbox. The package does not
// restart tasks. Mailboxes are bounded: when one is full, Offer fails and Send blocks.
package task

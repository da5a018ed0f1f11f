// Package node holds the tasks of a running instance and their wiring: one file per task.
//
// Each task owns its state and is reached through its mailbox. Decisions come from the packages under
// internal/decide; the tasks add time, randomness and messages.
package node

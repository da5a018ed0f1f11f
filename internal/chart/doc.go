// Package chart compiles, checks and interprets state charts.
//
// A chart describes one lifecycle: nested states, the events that each state handles, guards, actions and timeouts.
// Compile rejects a chart with a missing target, an unreachable state or an event that a state neither handles nor
// ignores. Bind rejects a chart whose guards and actions are not exactly those that the code provides.
//
// A Machine is owned by one task. It does not start timers: the owner reads Deadline and calls Tick when it has passed.
package chart

package chart

import (
	"slices"

	"fuchsiahub.example/fuchsiahub/internal/fault"
)

// Bindings maps the guard and action names of a chart to code. C is the context that guards read and actions modify.
type Bindings[C any] struct {
	Guards  map[string]func(C) bool
	Actions map[string]func(C)
	// Observe, if not nil, is called after each change to another state and before the actions of the transition.
	Observe func(c C, from, event, to string)
}

// Bound is a chart with its guards and actions. It is immutable and may be shared between tasks.
type Bound[C any] struct {
	chart  *Chart
	states []boundState[C]
	// entry holds the entry actions of the initial state and its ancestors, outermost first.
	entry   []func(C)
	observe func(c C, from, event, to string)
}

type boundState[C any] struct {
	transitions [][]boundTransition[C]
}

type boundTransition[C any] struct {
	guard        func(C) bool
	target       int
	do           []func(C)
	changesState bool
}

// Bind connects a chart with code. Every guard and action of the chart must be bound, and every binding must be used.
func Bind[C any](ch *Chart, b Bindings[C]) (*Bound[C], error) {
	if err := checkNames(ch, b); err != nil {
		return nil, err
	}
	bound := &Bound[C]{chart: ch, states: make([]boundState[C], len(ch.states)), observe: b.Observe}
	for i, st := range ch.states {
		bound.states[i].transitions = make([][]boundTransition[C], len(st.transitions))
		for event, transitions := range st.transitions {
			for _, t := range transitions {
				target, names := ch.resolveTransition(i, t)
				bound.states[i].transitions[event] = append(bound.states[i].transitions[event], boundTransition[C]{
					guard: b.Guards[t.guard], target: target, do: actionFuncs(b, names), changesState: t.target != noState,
				})
			}
		}
	}
	for s := ch.initial; s != noState; s = ch.states[s].parent {
		bound.entry = append(actionFuncs(b, ch.states[s].entry), bound.entry...)
	}
	return bound, nil
}

func actionFuncs[C any](b Bindings[C], names []string) []func(C) {
	var list []func(C)
	for _, name := range names {
		list = append(list, b.Actions[name])
	}
	return list
}

func checkNames[C any](ch *Chart, b Bindings[C]) error {
	guards, actions := ch.usedNames()
	for _, g := range guards {
		if b.Guards[g] == nil {
			return unboundError(ch, "guard", g)
		}
	}
	for _, a := range actions {
		if b.Actions[a] == nil {
			return unboundError(ch, "action", a)
		}
	}
	for g := range b.Guards {
		if !slices.Contains(guards, g) {
			return unusedError(ch, "guard", g)
		}
	}
	for a := range b.Actions {
		if !slices.Contains(actions, a) {
			return unusedError(ch, "action", a)
		}
	}
	return nil
}

func unboundError(ch *Chart, what, name string) error {
	return fault.New(fault.Invalid, "bind it in code or correct the name in the chart", "%s: %s %q is not bound", ch.file, what, name)
}

func unusedError(ch *Chart, what, name string) error {
	return fault.New(fault.Invalid, "use it in the chart or remove the binding", "%s: bound %s %q is not used", ch.file, what, name)
}

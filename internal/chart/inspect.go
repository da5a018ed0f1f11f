package chart

// Name returns the name of the chart.
func (ch *Chart) Name() string { return ch.name }

// States returns the names of the states that a machine can be in.
func (ch *Chart) States() []string {
	var names []string
	for _, st := range ch.states {
		if !st.composite {
			names = append(names, st.name)
		}
	}
	return names
}

// Events returns the names of all events, timeouts included.
func (ch *Chart) Events() []string { return append([]string(nil), ch.eventNames...) }

// Final reports whether the state is final: no transition leaves it.
func (ch *Chart) Final(name string) bool {
	i, ok := ch.stateIndex[name]
	return ok && ch.states[i].final
}

// Step is one transition as Walk reports it.
type Step struct {
	From, Event, Guard, To string
	// Actions holds the exit actions, the transition's actions and the entry actions, in the order of execution.
	Actions []string
}

// Walk visits every transition of every state that a machine can be in, inherited ones included. An internal
// transition, which keeps the state, is reported with To equal to From.
func (ch *Chart) Walk(visit func(Step)) {
	for i, st := range ch.states {
		if st.composite {
			continue
		}
		for event, transitions := range st.transitions {
			for _, t := range transitions {
				to, actions := ch.resolveTransition(i, t)
				visit(Step{From: st.name, Event: ch.eventNames[event], Guard: t.guard, To: ch.states[to].name, Actions: actions})
			}
		}
	}
}

// resolveTransition returns the state after a transition and the actions that the transition runs, in order.
func (ch *Chart) resolveTransition(from int, t transition) (int, []string) {
	if t.target == noState {
		return from, t.do
	}
	common := ch.commonAncestor(from, t.target)
	var actions []string
	for s := from; s != common; s = ch.states[s].parent {
		actions = append(actions, ch.states[s].exit...)
	}
	actions = append(actions, t.do...)
	var entered []int
	for s := t.target; s != common; s = ch.states[s].parent {
		entered = append(entered, s)
	}
	for i := len(entered) - 1; i >= 0; i-- {
		actions = append(actions, ch.states[entered[i]].entry...)
	}
	return t.target, actions
}

// commonAncestor returns the innermost state that encloses both states, or noState. A state does not enclose itself, so a
// transition from a state to itself exits and re-enters it.
func (ch *Chart) commonAncestor(a, b int) int {
	for p := ch.states[a].parent; p != noState; p = ch.states[p].parent {
		for q := ch.states[b].parent; q != noState; q = ch.states[q].parent {
			if p == q {
				return p
			}
		}
	}
	return noState
}

// usedNames returns the guards and actions that the chart uses.
func (ch *Chart) usedNames() (guards, actions []string) {
	seenGuard, seenAction := map[string]bool{"": true}, map[string]bool{}
	addActions := func(names []string) {
		for _, a := range names {
			if !seenAction[a] {
				seenAction[a] = true
				actions = append(actions, a)
			}
		}
	}
	for _, st := range ch.states {
		addActions(st.entry)
		addActions(st.exit)
		for _, transitions := range st.transitions {
			for _, t := range transitions {
				addActions(t.do)
				if !seenGuard[t.guard] {
					seenGuard[t.guard] = true
					guards = append(guards, t.guard)
				}
			}
		}
	}
	return guards, actions
}

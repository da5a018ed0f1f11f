package chart

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"fuchsiahub.example/fuchsiahub/internal/fault"
)

// Chart is a compiled state chart. It is immutable and may be shared between tasks.
type Chart struct {
	name       string
	file       string
	initial    int
	states     []state
	stateIndex map[string]int
	eventIndex map[string]int
	eventNames []string // event names by index
}

type state struct {
	name        string
	parent      int // noState at the top level
	entry, exit []string
	final       bool
	composite   bool // encloses other states; a machine is never in it directly
	// transitions holds, by event, the transitions of this state and then those of its ancestors, in the order in which
	// they are tried.
	transitions [][]transition
	ignored     []bool
	timeouts    []timeout
}

type transition struct {
	guard  string
	target int // noState for an internal transition, which keeps the state
	do     []string
}

type timeout struct {
	delay time.Duration
	event int
}

// noState is the index that stands for "no state".
const noState = -1

// Compile validates a chart and resolves its names. Params holds the values of "$name" delays.
func Compile(spec Spec, params map[string]time.Duration) (*Chart, error) {
	c := &compiler{spec: spec, params: params}
	steps := []func() error{c.indexStates, c.indexEvents, c.resolveParents, c.resolveTransitions, c.checkHandled, c.checkReachable}
	for _, step := range steps {
		if err := step(); err != nil {
			return nil, err
		}
	}
	return c.chart, nil
}

type compiler struct {
	spec   Spec
	params map[string]time.Duration
	chart  *Chart
}

func (c *compiler) fail(line int, remedy, format string, args ...any) error {
	args = append([]any{c.spec.File, line}, args...)
	return fault.New(fault.Invalid, remedy, "%s:%d: "+format, args...)
}

func (c *compiler) indexStates() error {
	c.chart = &Chart{name: c.spec.Name, file: c.spec.File, stateIndex: map[string]int{}, eventIndex: map[string]int{}}
	for i, s := range c.spec.States {
		if s.Name == "" {
			return c.fail(s.Line, "give the state a name", "state without a name")
		}
		if _, duplicate := c.chart.stateIndex[s.Name]; duplicate {
			return c.fail(s.Line, "rename one of the states", "state %q is defined twice", s.Name)
		}
		c.chart.stateIndex[s.Name] = i
		c.chart.states = append(c.chart.states, state{
			name: s.Name, parent: noState, entry: s.Entry, exit: s.Exit, final: s.Final,
		})
	}
	initial, ok := c.chart.stateIndex[c.spec.Initial]
	if !ok {
		return c.fail(c.spec.Line, "set initial to a state of the chart", "initial state %q does not exist", c.spec.Initial)
	}
	c.chart.initial = initial
	return nil
}

func (c *compiler) indexEvents() error {
	for _, e := range c.spec.Events {
		if _, duplicate := c.chart.eventIndex[e]; duplicate {
			return c.fail(c.spec.Line, "list each event once", "event %q is listed twice", e)
		}
		c.addEvent(e)
	}
	for _, s := range c.spec.States {
		for _, a := range s.After {
			if _, known := c.chart.eventIndex[a.Event]; !known {
				c.addEvent(a.Event)
			}
		}
	}
	return nil
}

func (c *compiler) addEvent(name string) {
	c.chart.eventIndex[name] = len(c.chart.eventNames)
	c.chart.eventNames = append(c.chart.eventNames, name)
}

func (c *compiler) resolveParents() error {
	for i, s := range c.spec.States {
		if s.Parent == "" {
			continue
		}
		p, ok := c.chart.stateIndex[s.Parent]
		if !ok {
			return c.fail(s.Line, "define the parent state", "parent %q of state %q does not exist", s.Parent, s.Name)
		}
		c.chart.states[i].parent = p
		c.chart.states[p].composite = true
	}
	for i, s := range c.spec.States {
		depth := 0
		for p := i; p != noState; p = c.chart.states[p].parent {
			if depth++; depth > len(c.spec.States) {
				return c.fail(s.Line, "remove the cycle of parents", "state %q is its own ancestor", s.Name)
			}
		}
	}
	if c.chart.states[c.chart.initial].composite {
		return c.fail(c.spec.Line, "use one of its inner states", "initial state %q has inner states", c.spec.Initial)
	}
	return nil
}

func (c *compiler) resolveTransitions() error {
	ownTransitions := make([][][]transition, len(c.spec.States))
	for i, s := range c.spec.States {
		ownTransitions[i] = make([][]transition, len(c.chart.eventNames))
		if err := c.compileTransitions(s, ownTransitions[i]); err != nil {
			return err
		}
		if err := c.compileTimeouts(i, s); err != nil {
			return err
		}
	}
	for i := range c.chart.states {
		if err := c.inherit(i, ownTransitions); err != nil {
			return err
		}
	}
	return nil
}

func (c *compiler) compileTransitions(s StateSpec, transitions [][]transition) error {
	if s.Final && len(s.On) > 0 {
		return c.fail(s.Line, "remove the transitions or final = true", "final state %q has transitions", s.Name)
	}
	for _, t := range s.On {
		event, ok := c.chart.eventIndex[t.Event]
		if !ok {
			return c.fail(t.Line, "add it to events or correct the name", "event %q is not listed", t.Event)
		}
		if n := len(transitions[event]); n > 0 && transitions[event][n-1].guard == "" {
			return c.fail(t.Line, "put the transition without a guard last", "transition for event %q is never tried", t.Event)
		}
		target := noState
		if t.Target != "" {
			if target, ok = c.chart.stateIndex[t.Target]; !ok {
				return c.fail(t.Line, "define the state or correct the name", "target %q does not exist", t.Target)
			}
			if c.chart.states[target].composite {
				return c.fail(t.Line, "use one of its inner states", "target %q has inner states", t.Target)
			}
		}
		transitions[event] = append(transitions[event], transition{guard: t.Guard, target: target, do: t.Do})
	}
	return nil
}

func (c *compiler) compileTimeouts(i int, s StateSpec) error {
	for _, a := range s.After {
		delay, err := c.delay(a)
		if err != nil {
			return err
		}
		c.chart.states[i].timeouts = append(c.chart.states[i].timeouts, timeout{delay: delay, event: c.chart.eventIndex[a.Event]})
	}
	slices.SortFunc(c.chart.states[i].timeouts, func(a, b timeout) int { return cmp.Compare(a.delay, b.delay) })
	return nil
}

func (c *compiler) delay(a TimeoutSpec) (time.Duration, error) {
	if name, ok := strings.CutPrefix(a.Delay, "$"); ok {
		delay, known := c.params[name]
		if !known {
			return 0, c.fail(a.Line, "define the parameter or write a duration", "parameter %q is not known", name)
		}
		return delay, nil
	}
	delay, err := time.ParseDuration(a.Delay)
	if err != nil || delay <= 0 {
		return 0, c.fail(a.Line, `write a positive duration with its unit, such as "2s"`, "delay %q is not a duration", a.Delay)
	}
	return delay, nil
}

// inherit collects the transitions of one state: its own and then those of its ancestors. For an event that one of these
// states ignores, it adds no transitions of the states above.
func (c *compiler) inherit(i int, ownTransitions [][][]transition) error {
	st := &c.chart.states[i]
	st.transitions = make([][]transition, len(c.chart.eventNames))
	st.ignored = make([]bool, len(c.chart.eventNames))
	for p := i; p != noState; p = c.chart.states[p].parent {
		for event := range c.chart.eventNames {
			if !st.ignored[event] {
				st.transitions[event] = append(st.transitions[event], ownTransitions[p][event]...)
			}
		}
		for _, name := range c.spec.States[p].Ignore {
			event, ok := c.chart.eventIndex[name]
			if !ok {
				return c.fail(c.spec.States[p].Line, "add it to events or correct the name", "ignored event %q is not listed", name)
			}
			st.ignored[event] = true
		}
		if c.spec.States[p].Final {
			for event := range st.ignored {
				st.ignored[event] = true
			}
		}
	}
	return nil
}

func (c *compiler) checkHandled() error {
	for i, st := range c.chart.states {
		if st.composite {
			continue
		}
		for event, transitions := range st.transitions {
			unguarded := slices.ContainsFunc(transitions, func(t transition) bool { return t.guard == "" })
			if !unguarded && !st.ignored[event] {
				return c.fail(c.spec.States[i].Line, "add a transition without a guard, or list the event under ignore",
					"state %q does not always handle event %q", st.name, c.chart.eventNames[event])
			}
		}
	}
	return nil
}

func (c *compiler) checkReachable() error {
	reached := make([]bool, len(c.chart.states))
	queue := []int{c.chart.initial}
	for len(queue) > 0 {
		i := queue[0]
		queue = queue[1:]
		if reached[i] {
			continue
		}
		reached[i] = true
		for _, transitions := range c.chart.states[i].transitions {
			for _, t := range transitions {
				if t.target != noState {
					queue = append(queue, t.target)
				}
			}
		}
	}
	for i, st := range c.chart.states {
		if !reached[i] && !st.composite {
			return c.fail(c.spec.States[i].Line, "add a transition to it or remove it", "state %q is unreachable", st.name)
		}
	}
	return nil
}

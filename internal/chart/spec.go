package chart

// Spec is the decoded content of a chart file, before validation.
type Spec struct {
	// Name is the name of the chart.
	Name string
	// File is the file name that errors report.
	File string
	// Initial is the initial state of a machine.
	Initial string
	// Events lists the events that the owner of a machine may fire. Compile adds the events of timeouts.
	Events []string
	// States lists the states in the order of the file.
	States []StateSpec
	// Line is the line number that errors report for the chart as a whole.
	Line int
}

// StateSpec is one state.
type StateSpec struct {
	Name string
	// Parent is the enclosing state; empty at the top.
	Parent string
	// Doc describes the state.
	Doc string
	// Entry and Exit list the actions that run when the state is entered and left.
	Entry, Exit []string
	// Ignore lists the events that have no effect in the state.
	Ignore []string
	// Final marks a state that no transition leaves.
	Final bool
	On    []TransitionSpec
	After []TimeoutSpec
	Line  int
}

// TransitionSpec is one transition of a state.
type TransitionSpec struct {
	Event string
	// Guard names the condition of the transition. Empty means no condition.
	Guard string
	// Target is the next state. Empty means an internal transition, which keeps the state and only runs the actions.
	Target string
	// Do lists the actions of the transition in order.
	Do   []string
	Line int
}

// TimeoutSpec fires an event when a state has been active for the delay.
type TimeoutSpec struct {
	// Delay is a duration with its unit ("2s"), or "$name" for a parameter.
	Delay string
	Event string
	Line  int
}

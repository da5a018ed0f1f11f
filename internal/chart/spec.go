package chart

// Spec is a chart as it stands in its file, before it is checked.
type Spec struct {
	// Name is the name of the lifecycle.
	Name string
	// File is the file name that errors report.
	File string
	// Initial is the state of a new machine.
	Initial string
	// Events are all events that a machine may receive from outside. Events of timeouts are added by Compile.
	Events []string
	// States are the states in the order of the file.
	States []StateSpec
	// Line is the line of the chart's head.
	Line int
}

// StateSpec is one state.
type StateSpec struct {
	Name string
	// Parent is the enclosing state; empty at the top.
	Parent string
	// Doc says what the state means.
	Doc string
	// Entry and Exit are the actions on entering and leaving the state.
	Entry, Exit []string
	// Ignore lists the events that the state handles by doing nothing.
	Ignore []string
	// Final marks a state that no transition leaves.
	Final bool
	On    []TransitionSpec
	After []TimeoutSpec
	Line  int
}

// TransitionSpec is one row that handles an event.
type TransitionSpec struct {
	Event string
	// Guard must hold for the row to apply; empty always holds.
	Guard string
	// Target is the next state; empty keeps the state and runs only the actions.
	Target string
	// Do lists the actions in order.
	Do   []string
	Line int
}

// TimeoutSpec raises an event after a state was entered and not left for a time.
type TimeoutSpec struct {
	// Delay is a duration with its unit ("2s"), or "$name" for a parameter.
	Delay string
	Event string
	Line  int
}

package chart_test

import (
	"errors"
	"slices"
	"strings"
	"testing"
	"time"

	"fuchsiahub.example/fuchsiahub/internal/chart"
	"fuchsiahub.example/fuchsiahub/internal/chartfile"
	"fuchsiahub.example/fuchsiahub/internal/fault"
)

const door = `name = "door"
initial = "closed"
events = ["open", "close", "lock", "break"]

[[state]]
name = "intact"
entry = ["enter_intact"]
exit = ["leave_intact"]

[[state.on]]
event = "break"
target = "broken"
do = ["report"]

[[state]]
name = "closed"
parent = "intact"
entry = ["enter_closed"]
exit = ["leave_closed"]
ignore = ["close"]

[[state.on]]
event = "open"
guard = "unlocked"
target = "opened"

[[state.on]]
event = "open"
do = ["report"]

[[state.on]]
event = "lock"
do = ["report"]

[[state]]
name = "opened"
parent = "intact"
ignore = ["open", "lock"]

[[state.on]]
event = "close"
target = "closed"

[[state.on]]
event = "timeout"
target = "closed"

[[state.after]]
delay = "$open_time"
event = "timeout"

[[state]]
name = "broken"
final = true
`

// valid also makes state "closed" ignore the event of the timeout, so that the chart compiles.
var valid = strings.Replace(door, `ignore = ["close"]`, `ignore = ["close", "timeout"]`, 1)

func compile(t *testing.T, text string) (*chart.Chart, error) {
	t.Helper()
	spec, err := chartfile.Read("door.toml", []byte(text))
	if err != nil {
		return nil, err
	}
	return chart.Compile(spec, map[string]time.Duration{"open_time": 2 * time.Second})
}

type actionLog struct {
	unlocked bool
	log      []string
}

func bindings() chart.Bindings[*actionLog] {
	b := chart.Bindings[*actionLog]{
		Guards:  map[string]func(*actionLog) bool{"unlocked": func(r *actionLog) bool { return r.unlocked }},
		Actions: map[string]func(*actionLog){},
	}
	for _, name := range []string{"enter_intact", "leave_intact", "enter_closed", "leave_closed", "report"} {
		b.Actions[name] = func(r *actionLog) { r.log = append(r.log, name) }
	}
	return b
}

// Guards against wrong order of entry, exit and transition actions, guards that are not consulted, and timeouts that
// fire early, twice or not at all.
func TestMachineFollowsChart(t *testing.T) {
	ch, err := compile(t, valid)
	if err != nil {
		t.Fatal(err)
	}
	b := bindings()
	var observed []string
	b.Observe = func(_ *actionLog, from, event, to string) { observed = append(observed, from+" "+event+" "+to) }
	bound, err := chart.Bind(ch, b)
	if err != nil {
		t.Fatal(err)
	}
	start := time.Unix(0, 0)
	r := &actionLog{}
	m := bound.New(start, r)
	fire := func(event string) {
		if err := m.Fire(start, event); err != nil {
			t.Fatal(err)
		}
	}
	fire("open")
	r.unlocked = true
	fire("open")
	if m.State() != "opened" || !m.In("intact") {
		t.Fatalf("state %s", m.State())
	}
	if due, ok := m.Deadline(); !ok || due != start.Add(2*time.Second) {
		t.Fatalf("deadline %v %v", due, ok)
	}
	m.Tick(start.Add(1999 * time.Millisecond))
	if m.State() != "opened" {
		t.Fatal("timeout fired early")
	}
	m.Tick(start.Add(2 * time.Second))
	fire("break")
	want := []string{"enter_intact", "enter_closed", "report", "leave_closed", "enter_closed", "leave_closed", "leave_intact", "report"}
	if !slices.Equal(r.log, want) || !m.Final() {
		t.Fatalf("actions %v in state %s, want %v", r.log, m.State(), want)
	}
	if want := []string{"closed open opened", "opened timeout closed", "closed break broken"}; !slices.Equal(observed, want) {
		t.Fatalf("observed %v, want %v", observed, want)
	}
	fire("open")
	if err := m.Fire(start, "paint"); !fault.Is(err, fault.UnexpectedEvent) || m.State() != "broken" {
		t.Fatalf("unknown event: %v in state %s", err, m.State())
	}
}

// Guards against a faulty chart that compiles, and against an error without file, line or remedy.
func TestCompileRejectsFaultyCharts(t *testing.T) {
	cases := []struct{ name, old, new, message string }{
		{"missing target", `target = "broken"`, `target = "brokn"`, `door.toml:10: target "brokn" does not exist`},
		{"unhandled event", `ignore = ["close", "timeout"]`, `ignore = ["close"]`, `does not always handle event "timeout"`},
		{"guard without alternative", "[[state.on]]\nevent = \"open\"\ndo = [\"report\"]\n\n", "", `does not always handle event "open"`},
		{"unlisted event", `event = "lock"`, `event = "bolt"`, `event "bolt" is not listed`},
		{"unreachable state", `guard = "unlocked"` + "\n" + `target = "opened"`, `guard = "unlocked"`, `state "opened" is unreachable`},
		{"unknown parameter", `"$open_time"`, `"$opening_time"`, `parameter "opening_time" is not known`},
		{"delay without unit", `"$open_time"`, `"2"`, `delay "2" is not a duration`},
		{"missing initial", `initial = "closed"`, `initial = "shut"`, `initial state "shut" does not exist`},
		{"initial with inner states", `initial = "closed"`, `initial = "intact"`, `has inner states`},
		{"unknown key", `final = true`, `finally = true`, `unknown key`},
		{"transition from a final state", `final = true`, "final = true\n[[state.on]]\nevent = \"open\"", `final state "broken" has transitions`},
		{"transition after an unguarded transition", "[[state.on]]\nevent = \"lock\"", "[[state.on]]\nevent = \"open\"\n\n[[state.on]]\nevent = \"lock\"", `is never tried`},
		{"missing parent", `parent = "intact"`, `parent = "intakt"`, `parent "intakt" of state "closed" does not exist`},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			text := strings.Replace(valid, c.old, c.new, 1)
			if text == valid {
				t.Fatal("the replacement does not change the chart")
			}
			_, err := compile(t, text)
			var e *fault.Error
			if !errors.As(err, &e) || !strings.Contains(e.Message, c.message) {
				t.Fatalf("got %v, want %q", err, c.message)
			}
			if e.Remedy == "" || !strings.HasPrefix(e.Message, "door.toml:") {
				t.Errorf("error has no file or remedy: %v", err)
			}
		})
	}
}

// Guards against an action or guard that is not bound to code, and against a binding that the chart does not use.
func TestBindChecksNames(t *testing.T) {
	ch, err := compile(t, valid)
	if err != nil {
		t.Fatal(err)
	}
	missing := bindings()
	delete(missing.Actions, "report")
	if _, err := chart.Bind(ch, missing); err == nil || !strings.Contains(err.Error(), `action "report" is not bound`) {
		t.Errorf("missing action: %v", err)
	}
	extra := bindings()
	extra.Guards["painted"] = func(*actionLog) bool { return true }
	if _, err := chart.Bind(ch, extra); err == nil || !strings.Contains(err.Error(), `guard "painted" is not used`) {
		t.Errorf("extra guard: %v", err)
	}
}

func BenchmarkFire(b *testing.B) {
	spec, err := chartfile.Read("door.toml", []byte(valid))
	if err != nil {
		b.Fatal(err)
	}
	ch, err := chart.Compile(spec, map[string]time.Duration{"open_time": time.Second})
	if err != nil {
		b.Fatal(err)
	}
	noops := bindings()
	for name := range noops.Actions {
		noops.Actions[name] = func(*actionLog) {}
	}
	bound, err := chart.Bind(ch, noops)
	if err != nil {
		b.Fatal(err)
	}
	m := bound.New(time.Unix(0, 0), &actionLog{unlocked: true})
	b.ReportAllocs()
	for b.Loop() {
		_ = m.Fire(time.Unix(0, 0), "open")
		_ = m.Fire(time.Unix(0, 0), "close")
	}
}

package chartfile

import (
	"bytes"
	"errors"
	"strings"

	"github.com/pelletier/go-toml/v2"

	"fuchsiahub.example/fuchsiahub/internal/chart"
	"fuchsiahub.example/fuchsiahub/internal/fault"
)

type file struct {
	Name    string   `toml:"name"`
	Initial string   `toml:"initial"`
	Events  []string `toml:"events"`
	States  []state  `toml:"state"`
}

type state struct {
	Name   string       `toml:"name"`
	Parent string       `toml:"parent"`
	Doc    string       `toml:"doc"`
	Entry  []string     `toml:"entry"`
	Exit   []string     `toml:"exit"`
	Ignore []string     `toml:"ignore"`
	Final  bool         `toml:"final"`
	On     []transition `toml:"on"`
	After  []timeout    `toml:"after"`
}

type transition struct {
	Event  string   `toml:"event"`
	Guard  string   `toml:"guard"`
	Target string   `toml:"target"`
	Do     []string `toml:"do"`
}

type timeout struct {
	Delay string `toml:"delay"`
	Event string `toml:"event"`
}

// Read decodes a chart file. It rejects unknown keys. Errors contain the given name of the file.
func Read(name string, text []byte) (chart.Spec, error) {
	var f file
	decoder := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields()
	if err := decoder.Decode(&f); err != nil {
		return chart.Spec{}, decodeError(name, err)
	}
	return f.spec(name, headerLines(text)), nil
}

func decodeError(name string, err error) error {
	const remedy = "correct the line; charts/README.md lists the keys of a chart"
	var unknown *toml.StrictMissingError
	if errors.As(err, &unknown) && len(unknown.Errors) > 0 {
		first := unknown.Errors[0]
		line, _ := first.Position()
		return fault.New(fault.Invalid, remedy, "%s:%d: unknown key %q", name, line, strings.Join(first.Key(), "."))
	}
	var syntax *toml.DecodeError
	if errors.As(err, &syntax) {
		line, _ := syntax.Position()
		return fault.New(fault.Invalid, remedy, "%s:%d: %s", name, line, syntax.Error())
	}
	return fault.Wrap(err, fault.Invalid, remedy, "%s", name)
}

// headers holds, by table name, the line numbers of the array-table headers in the order of the file. A table without a
// header, such as an inline table, has line 0.
type headers map[string][]int

func headerLines(text []byte) headers {
	lines := headers{}
	for i, line := range strings.Split(string(text), "\n") {
		line = strings.TrimSpace(line)
		if name, ok := strings.CutPrefix(line, "[["); ok {
			name, _, _ = strings.Cut(name, "]]")
			lines[name] = append(lines[name], i+1)
		}
	}
	return lines
}

func (h headers) nextLine(table string) int {
	if len(h[table]) == 0 {
		return 0
	}
	line := h[table][0]
	h[table] = h[table][1:]
	return line
}

func (f file) spec(name string, lines headers) chart.Spec {
	spec := chart.Spec{Name: f.Name, File: name, Initial: f.Initial, Events: f.Events, Line: 1}
	for _, s := range f.States {
		out := chart.StateSpec{
			Name: s.Name, Parent: s.Parent, Doc: s.Doc, Entry: s.Entry, Exit: s.Exit,
			Ignore: s.Ignore, Final: s.Final, Line: lines.nextLine("state"),
		}
		for _, t := range s.On {
			out.On = append(out.On, chart.TransitionSpec{
				Event: t.Event, Guard: t.Guard, Target: t.Target, Do: t.Do, Line: lines.nextLine("state.on"),
			})
		}
		for _, a := range s.After {
			out.After = append(out.After, chart.TimeoutSpec{Delay: a.Delay, Event: a.Event, Line: lines.nextLine("state.after")})
		}
		spec.States = append(spec.States, out)
	}
	return spec
}

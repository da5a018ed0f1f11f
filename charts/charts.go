// Package charts contains the state charts of fuchsiahub: one embedded TOML file for each lifecycle.
//
// README.md in this folder explains the format. The code that owns a lifecycle loads its chart with Load and binds the
// chart's guards and actions to functions.
package charts

import (
	"embed"
	"path"
	"strings"
	"time"

	"fuchsiahub.example/fuchsiahub/internal/chart"
	"fuchsiahub.example/fuchsiahub/internal/chartfile"
	"fuchsiahub.example/fuchsiahub/internal/fault"
)

//go:embed *.toml
var files embed.FS

// Params maps the name of a "$name" delay to its value.
type Params map[string]time.Duration

// Load reads, checks and compiles the chart of one lifecycle. Params override the values of DefaultParams.
func Load(name string, params Params) (*chart.Chart, error) {
	file := name + ".toml"
	text, err := files.ReadFile(file)
	if err != nil {
		return nil, fault.New(fault.NotFound, "use a name that Names returns", "chart %q does not exist", name)
	}
	spec, err := chartfile.Read(path.Join("charts", file), text)
	if err != nil {
		return nil, err
	}
	merged := DefaultParams()
	for key, value := range params {
		merged[key] = value
	}
	return chart.Compile(spec, merged)
}

// Names returns the names of all charts.
func Names() []string {
	entries, err := files.ReadDir(".")
	if err != nil {
		return nil
	}
	var names []string
	for _, entry := range entries {
		names = append(names, strings.TrimSuffix(entry.Name(), ".toml"))
	}
	return names
}

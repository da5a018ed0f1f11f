package charts

import "testing"

// Guards against a chart file that does not load: a wrong target, an unreachable state or an unhandled event.
func TestEveryChartLoads(t *testing.T) {
	for _, name := range Names() {
		ch, err := Load(name, nil)
		if err != nil {
			t.Errorf("%s: %v", name, err)
			continue
		}
		if ch.Name() != name {
			t.Errorf("file %s.toml names its chart %q", name, ch.Name())
		}
	}
}

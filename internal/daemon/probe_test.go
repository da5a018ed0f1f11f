package daemon

import (
	"testing"
	"time"

	"fuchsiahub.example/fuchsiahub/internal/settings"
)

// Guards against a probe setting that lowers only the budget of an instance and not the rate for each server: an instance
// with few servers would then probe each of them once a second.
func TestProbeSettingBoundsRateOfServer(t *testing.T) {
	for perSecond, want := range map[float64]time.Duration{1: time.Second, 0.1: 10 * time.Second, 0: 0} {
		d := &Daemon{settings: &settings.Daemon{Probe: settings.Probe{PerSecond: perSecond}}}
		if got := d.probeInterval(); got != want {
			t.Errorf("%v a second: %v between probes, want %v", perSecond, got, want)
		}
	}
	tiny := &Daemon{settings: &settings.Daemon{Probe: settings.Probe{PerSecond: 1e-300}}}
	if got := tiny.probeInterval(); got < 24*time.Hour {
		t.Errorf("rate close to zero: %v between probes", got)
	}
}

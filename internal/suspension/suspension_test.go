package suspension

import (
	"testing"
	"time"
)

// Guards against a total that grows without a suspension: store updates would then appear older than they are.
func TestTotalIsConstantWithoutSuspension(t *testing.T) {
	first := Total()
	for range 1000 {
		if grown := Total() - first; grown > 100*time.Millisecond || grown < -100*time.Millisecond {
			t.Skipf("the machine was suspended for %s during the test", grown)
		}
	}
	if first < 0 && first < -time.Millisecond {
		t.Errorf("the total time of suspensions is %s", first)
	}
}

package expiry

import (
	"testing"
	"time"
)

// Guards against an expired value that stays in its table: the timer of its owner would stay due.
func TestExpiredValuesLeaveTable(t *testing.T) {
	start := time.Unix(100, 0)
	table := NewTable[string, int]()
	table.Set("b", 2, start.Add(2*time.Second))
	table.Set("a", 1, start.Add(time.Second))
	table.Set("c", 3, start.Add(9*time.Second))
	table.Set("c", 4, start.Add(3*time.Second))
	table.Set("taken", 5, start)
	if v, has := table.Take("taken"); v != 5 || !has || table.Has("taken") {
		t.Errorf("taken value: %d, %t", v, has)
	}
	if next, ok := table.Next(); !ok || !next.Equal(start.Add(time.Second)) {
		t.Errorf("next expiry %s, %t", next, ok)
	}
	if expired := table.TakeExpired(start); len(expired) > 0 {
		t.Errorf("%v expired too early", expired)
	}
	now := start.Add(2 * time.Second)
	if expired := table.TakeExpired(now); len(expired) != 2 || expired[0] != (Expired[string, int]{"a", 1}) ||
		expired[1] != (Expired[string, int]{"b", 2}) {
		t.Errorf("expired: %v", expired)
	}
	if next, ok := table.Next(); !ok || !next.After(now) {
		t.Errorf("after values were taken the next expiry is %s, %t", next, ok)
	}
	if expired := table.TakeExpired(start.Add(time.Hour)); len(expired) != 1 || expired[0].Value != 4 {
		t.Errorf("expired: %v", expired)
	}
	if _, ok := table.Next(); ok || table.Has("c") {
		t.Error("the table is not empty")
	}
}

package gateway

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"fuchsiahub.example/fuchsiahub/internal/fleet"
	"fuchsiahub.example/fuchsiahub/internal/objectapi"
)

// eraStep is one step of a model of a store and a fleet.
type eraStep struct {
	what string
	// name is that of the object, instance the number of the instance that the step concerns.
	name     string
	instance int
	pause    time.Duration
}

func drawEraSteps(t *rapid.T) []eraStep {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) eraStep {
		return eraStep{
			what: rapid.SampledFrom([]string{"configure", "evacuate", "bring back", "register", "drain", "remove", "strike", "withdraw",
				"copy", "copy", "return", "return", "lose answers", "late answers", "answers in time"}).Draw(t, "what"),
			name:     rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name"),
			instance: rapid.IntRange(0, 3).Draw(t, "instance"),
			pause: rapid.SampledFrom([]time.Duration{0, 0, 3 * time.Millisecond, 90 * time.Millisecond, 700 * time.Millisecond,
				2 * time.Second, 6 * time.Second}).Draw(t, "pause"),
		}
	}), 5, 40).Draw(t, "steps")
}

// eraModel plays steps on a fleet.
type eraModel struct {
	f        *fleetTest
	copy     storeCopy
	version  uint64
	sequence uint64
}

func (m *eraModel) play(s eraStep) {
	store, i := m.f.store, m.f.instances[s.instance]
	switch s.what {
	case "configure":
		m.version++
		store.put(objectapi.Configuration, configObject, fleet.Config{Version: fleet.Version(m.version)})
	case "evacuate":
		store.put(objectapi.Evacuations, s.name, struct{}{})
	case "bring back":
		store.remove(objectapi.Evacuations, s.name)
	case "register", "drain":
		m.sequence++
		store.put(objectapi.Backends, s.name, fleet.Backend{Service: "s", StartedAtMs: 1, Sequence: m.sequence, Draining: s.what == "drain"})
	case "remove":
		store.remove(objectapi.Backends, s.name)
	case "strike":
		store.put(objectapi.Strikes, s.name, map[string]int{})
	case "withdraw":
		store.remove(objectapi.Strikes, s.name)
	case "copy":
		m.copy = store.takeCopy()
	case "return":
		store.returnFrom(m.copy)
	case "lose answers":
		i.store.silence(3, followedKinds...)
	case "late answers":
		i.store.late.Store(int64(s.pause))
	case "answers in time":
		i.store.late.Store(0)
	}
	time.Sleep(s.pause)
}

// compare returns how the instances differ from the store.
func (m *eraModel) compare() (problem string) {
	stored := map[objectapi.Kind][]string{}
	for _, kind := range followedKinds {
		objects, _, err := m.f.store.List(context.Background(), kind)
		if err != nil {
			return err.Error()
		}
		for _, o := range objects {
			stored[kind] = append(stored[kind], o.Name)
		}
		slices.Sort(stored[kind])
	}
	for _, i := range m.f.instances {
		b := i.board
		for _, kind := range followedKinds {
			if era := b.cache.ofKind(kind).position.Era; era != m.f.store.era.Load() {
				return fmt.Sprintf("%s knows %s of era %d, the store is in era %d", i.self.Name, kind, era, m.f.store.era.Load())
			}
		}
		for kind, known := range map[objectapi.Kind][]string{
			objectapi.Evacuations: slices.Sorted(maps.Keys(b.evacuatedZones)), objectapi.Backends: slices.Sorted(maps.Keys(b.backends)),
			objectapi.Strikes: slices.Sorted(maps.Keys(b.strikes)), objectapi.Instances: slices.Sorted(maps.Keys(b.instances)),
		} {
			if !slices.Equal(known, stored[kind]) {
				return fmt.Sprintf("%s knows %s %v, the store holds %v", i.self.Name, kind, known, stored[kind])
			}
		}
		if versionOf(i.snapshots.Newest()) != m.version {
			return fmt.Sprintf("%s has version %d, want %d", i.self.Name, versionOf(i.snapshots.Newest()), m.version)
		}
	}
	return ""
}

func playEras(t *testing.T, steps []eraStep) (problem string) {
	inFleetWithEras(t, func(f *fleetTest) {
		m := &eraModel{f: f, copy: f.store.takeCopy(), version: 1}
		newest := map[*fleetInstance]uint64{}
		for _, s := range steps {
			m.play(s)
			synctest.Wait()
			for _, i := range f.instances {
				if v := versionOf(i.snapshots.Newest()); v < newest[i] {
					problem = fmt.Sprintf("%s goes back from version %d to %d", i.self.Name, newest[i], v)
					return
				} else {
					newest[i] = v
				}
			}
		}
		for _, i := range f.instances {
			i.store.late.Store(0)
			i.store.silent.Store(nil)
		}
		m.version++
		f.store.put(objectapi.Configuration, configObject, fleet.Config{Version: fleet.Version(m.version)})
		time.Sleep(2 * time.Minute)
		synctest.Wait()
		problem = m.compare()
	})
	return problem
}

// Guards against instances that differ for good after any order of writes, copies, returns, lost and late answers, and against a
// configuration that goes back.
func TestFleetEqualsStoreAfterReturns(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		if problem := playEras(t, drawEraSteps(rt)); problem != "" {
			rt.Fatal(problem)
		}
	})
}

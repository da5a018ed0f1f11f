package node_test

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"fuchsiahub.example/fuchsiahub/internal/node"
	"fuchsiahub.example/fuchsiahub/internal/objectapi"
)

// inForceTime is the required maximum time until a change is in force at all instances.
const inForceTime = 9 * time.Second

const intake = "services/intake"

// Guards against a change that does not reach an instance because one of its sources is broken: a watch is cut, its version
// is too old to resume, the replica lags behind, or the object API is down for one instance.
func TestChangeReachesInstance(t *testing.T) {
	faults := map[string]func(c *cluster, victim *instance){
		"none":         func(*cluster, *instance) {},
		"watch cut":    func(c *cluster, v *instance) { c.isolate(v.name, true); v.api.fail(false, 0, true) },
		"too old":      func(c *cluster, v *instance) { c.isolate(v.name, true); c.store.compact(); v.api.fail(false, 0, true) },
		"API down":     func(_ *cluster, v *instance) { v.api.fail(true, 0, true) },
		"replica lags": func(_ *cluster, v *instance) { v.api.fail(false, 3, true) },
	}
	for name, injectFault := range faults {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, 31)
				defer c.stopAll()
				c.mustWrite(objectapi.Fleet, "fleet", 0, fleetDocument())
				v := c.mustWrite(objectapi.Services, "intake", 0, serviceDocument("intake", 1))
				for i := range 4 {
					c.start(i)
				}
				victim := c.instances[address(3)]
				time.Sleep(5 * time.Second)
				if got := victim.versions()[intake]; got != v || !victim.config.Status().Ready {
					t.Fatalf("version %d is in force before the fault, want %d", got, v)
				}
				injectFault(c, victim)
				v = c.mustWrite(objectapi.Services, "intake", v, serviceDocument("intake", 2))
				time.Sleep(inForceTime)
				for _, in := range c.instances {
					if got := in.versions()[intake]; got != v {
						t.Errorf("instance %s has version %d after %v, want %d", in.name, got, inForceTime, v)
					}
				}
			})
		})
	}
}

// Guards against an instance that cannot start from its peers while the object API is down, and against an instance that
// is ready without a configuration.
func TestStartWhileStoreIsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 32)
		defer c.stopAll()
		c.mustWrite(objectapi.Fleet, "fleet", 0, fleetDocument())
		v := c.mustWrite(objectapi.Services, "intake", 0, serviceDocument("intake", 1))
		for i := range 2 {
			c.start(i)
		}
		time.Sleep(5 * time.Second)
		c.storeDown = true
		c.isolate(address(2), true)
		alone, late := c.start(2), c.start(3)
		time.Sleep(inForceTime)
		if got := late.versions()[intake]; got != v || !late.config.Status().Ready {
			t.Errorf("instance with peers has version %d, want %d, ready %t", got, v, late.config.Status().Ready)
		}
		if alone.config.Status().Ready {
			t.Error("instance without object API and peers is ready")
		}
		if late.config.Status().Unreadable[string(objectapi.Fleet)] == "" {
			t.Error("status does not say that the object API is down")
		}
	})
}

// Guards against an invalid document that replaces the one in force, and against a rejection that the status does not show.
func TestInvalidDocumentIsRejected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 33)
		defer c.stopAll()
		c.mustWrite(objectapi.Fleet, "fleet", 0, fleetDocument())
		good := c.mustWrite(objectapi.Services, "intake", 0, serviceDocument("intake", 1))
		in := c.start(0)
		time.Sleep(time.Second)
		for _, value := range [][]byte{[]byte("not = ["), serviceDocument("other", 1), serviceDocument("intake", -1)} {
			last := in.documentStatus(intake)
			bad := c.mustWrite(objectapi.Services, "intake", max(last.Version, last.Rejected), value)
			time.Sleep(time.Second)
			if st := in.documentStatus(intake); st.Version != good || st.Rejected != bad || st.Reason == "" {
				t.Errorf("after version %d: %+v", bad, st)
			}
		}
	})
}

// Guards against a deletion that is missed while the watch is cut, or reverted by the old document of a peer.
func TestDeletionIsNotReverted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 34)
		defer c.stopAll()
		c.mustWrite(objectapi.Fleet, "fleet", 0, fleetDocument())
		v := c.mustWrite(objectapi.Services, "intake", 0, serviceDocument("intake", 1))
		var services []int
		c.applied = func(name string, docs *node.Documents) {
			if name == address(0) {
				services = append(services, len(docs.Services))
			}
		}
		for i := range 3 {
			c.start(i)
		}
		time.Sleep(5 * time.Second)
		old := c.instances[address(2)]
		old.api.fail(true, 0, true)
		c.isolate(old.name, true)
		if _, err := c.store.write(objectapi.Services, "intake", v, nil, true); err != nil {
			t.Fatal(err)
		}
		c.store.compact()
		c.instances[address(1)].api.fail(false, 0, true)
		time.Sleep(inForceTime)
		c.isolate(old.name, false)
		time.Sleep(inForceTime)
		for _, in := range c.instances {
			if got := in.versions()[intake]; got != 0 {
				t.Errorf("instance %s has version %d of a deleted document", in.name, got)
			}
		}
		first := slices.Index(services, 1)
		if first < 0 || !slices.Equal(services[first:], []int{1, 0}) {
			t.Errorf("the directory received %v services, want one and then none", services)
		}
	})
}

// Guards against frequent list calls while the object API is down, or while it keeps too few changes for any watch.
func TestListRateIsBounded(t *testing.T) {
	for name, injectFault := range map[string]func(*cluster){
		"down":    func(c *cluster) { c.storeDown = true },
		"too old": func(c *cluster) { c.store.compactEverything() },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, 35)
				defer c.stopAll()
				injectFault(c)
				in := c.start(0)
				time.Sleep(time.Minute)
				// Four kinds, each listed at most every 2 s at the limit of the backoff, and up to 8 times before.
				if lists, limit := in.api.listCalls(), 4*(30+8); lists > limit {
					t.Errorf("%d lists in a minute, want at most %d", lists, limit)
				}
			})
		})
	}
}

package instanceobject_test

import (
	"testing"

	"fuchsiahub.example/fuchsiahub/internal/fault"
	"fuchsiahub.example/fuchsiahub/internal/instanceobject"
)

// Guards against a malformed entry of the platform's list that is taken as an instance.
func TestRead(t *testing.T) {
	good := instanceobject.Record{
		Region: "permian", Zone: "permian-a", Incarnation: 1 << 63, PeerAddress: "10.0.0.7:8081",
		OperationsAddress: "10.0.0.7:8082", State: instanceobject.Live,
	}
	text, err := good.Write()
	if err != nil {
		t.Fatal(err)
	}
	if got, err := instanceobject.Read("x", text); err != nil || got != good {
		t.Errorf("got %+v, %v", got, err)
	}
	for _, bad := range []string{
		``, `{}`, `[]`, `{"region":"a","zone":"b","state":"live","peer_address":"host:1","operations_address":"10.0.0.7:1"}`,
		`{"region":"a","zone":"b","state":"gone","peer_address":"10.0.0.7:1","operations_address":"10.0.0.7:1"}`,
		`{"region":"a","zone":"b","state":"live","incarnation":-1,"peer_address":"10.0.0.7:1","operations_address":"10.0.0.7:1"}`,
	} {
		if _, err := instanceobject.Read("x", []byte(bad)); !fault.Is(err, fault.Invalid) {
			t.Errorf("%s: got %v", bad, err)
		}
	}
}

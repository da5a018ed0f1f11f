package objecthttp_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"fuchsiahub.example/fuchsiahub/internal/fault"
	"fuchsiahub.example/fuchsiahub/internal/objectapi"
	"fuchsiahub.example/fuchsiahub/internal/objecthttp"
	"fuchsiahub.example/fuchsiahub/internal/standin/memnet"
)

// endlessPart is what a platform sends again and again until its connection is closed, after a start and with a pause before
// each part.
type endlessPart struct {
	start, repeated string
	pause           time.Duration
}

// endlessCap ends the bytes of a platform, so that a test fails instead of using all memory.
const endlessCap = 80 << 20

// withEndlessPlatform runs a test in virtual time with a client of a platform that sends bytes without an end. The channel
// receives the number of bytes that a connection took.
func withEndlessPlatform(t *testing.T, p endlessPart, test func(t *testing.T, client *objecthttp.Client, ended <-chan int)) {
	synctest.Test(t, func(t *testing.T) {
		listener, ended := memnet.Listen(), make(chan int, 16)
		go func() {
			for {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				go func() {
					ended <- p.serve(conn)
					_ = conn.Close()
				}()
			}
		}()
		client := objecthttp.New("127.0.0.1:1", listener.Dial)
		test(t, client, ended)
		client.Close()
		_ = listener.Close()
		synctest.Wait()
	})
}

func (p endlessPart) serve(conn net.Conn) int {
	r := bufio.NewReader(conn)
	request, err := http.ReadRequest(r)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, request.Body)
	sent, err := io.WriteString(conn, p.start)
	part := p.repeated
	if p.pause == 0 {
		part = strings.Repeat(p.repeated, (32<<10)/len(p.repeated)+1)
	}
	for n := 0; err == nil && sent < endlessCap; sent += n {
		time.Sleep(p.pause)
		n, err = io.WriteString(conn, part)
	}
	return sent
}

// Guards against memory without a bound while the platform sends an answer without an end.
func TestEndlessAnswersAreBounded(t *testing.T) {
	for name, c := range map[string]struct {
		part     endlessPart
		accepted int
		kind     fault.Kind
	}{
		"header line":     {endlessPart{start: "HTTP/1.1 200 OK\r\nA: ", repeated: "a"}, 256 << 10, fault.StoreUnavailable},
		"interim answers": {endlessPart{repeated: "HTTP/1.1 103 Early Hints\r\n\r\n"}, 256 << 10, fault.StoreUnavailable},
		"body":            {endlessPart{start: "HTTP/1.1 200 OK\r\n\r\n", repeated: " "}, 3 << 20, fault.Invalid},
		"failure":         {endlessPart{start: "HTTP/1.1 500 Oops\r\n\r\n", repeated: " "}, 256 << 10, fault.StoreUnavailable},
	} {
		t.Run(name, func(t *testing.T) {
			withEndlessPlatform(t, c.part, func(t *testing.T, client *objecthttp.Client, ended <-chan int) {
				_, err := client.Get(t.Context(), objectapi.Fleet, "a")
				wantKind(t, err, c.kind)
				if sent := <-ended; sent > c.accepted {
					t.Errorf("get: the platform could send %d bytes, at most %d are accepted", sent, c.accepted)
				}
				_, err = client.Create(t.Context(), objectapi.Fleet, "a", nil)
				wantKind(t, err, fault.AmbiguousWrite)
				<-ended
			})
		})
	}
}

// Guards against a call or the start of a watch that never ends while the platform sends an answer byte by byte or stops in
// the middle of one.
func TestUnfinishedAnswersEndInTime(t *testing.T) {
	for name, part := range map[string]endlessPart{
		"head":              {start: "HTTP/1.1 200 OK\r\nA: ", repeated: "a", pause: 100 * time.Millisecond},
		"interim answers":   {repeated: "HTTP/1.1 103 Early Hints\r\n\r\n", pause: 100 * time.Millisecond},
		"body of a failure": {start: "HTTP/1.1 503 Busy\r\n\r\n", repeated: " ", pause: 100 * time.Millisecond},
		"silent failure":    {start: "HTTP/1.1 503 Busy\r\n\r\n", repeated: " ", pause: time.Hour},
	} {
		t.Run(name, func(t *testing.T) {
			withEndlessPlatform(t, part, func(t *testing.T, client *objecthttp.Client, ended <-chan int) {
				start := time.Now()
				_, err := client.Get(t.Context(), objectapi.Fleet, "a")
				wantKind(t, err, fault.StoreUnavailable)
				if took := time.Since(start); took > 2*time.Second {
					t.Errorf("the call took %s", took)
				}
				<-ended
				start = time.Now()
				_, err = client.Watch(t.Context(), objectapi.Fleet, 1)
				wantKind(t, err, fault.StoreUnavailable)
				if took := time.Since(start); took > 4*time.Second {
					t.Errorf("the start of the watch took %s", took)
				}
				<-ended
			})
		})
	}
}

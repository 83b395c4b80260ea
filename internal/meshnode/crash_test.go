package meshnode

import (
	"bytes"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// downtime is the time after which an endpoint that crashed is back. It is longer than
// the time within which broken calls belong to one crash.
const downtime = 600 * time.Millisecond

// lines collects events.
type lines struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (l *lines) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

// fields returns the values of a field in the events of a name.
func (l *lines) fields(event, field string) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var values []string
	for line := range strings.Lines(l.text.String()) {
		if !strings.Contains(line, `"name":"`+event+`"`) {
			continue
		}
		_, value, _ := strings.Cut(line, `"`+field+`":`)
		value, _, _ = strings.Cut(value, ",")
		values = append(values, strings.Trim(value, "}\n"))
	}
	return values
}

// awaitEndpoint waits until the endpoint of a VM has started again after a crash.
func (v *vm) awaitEndpoint(t *testing.T) {
	t.Helper()
	require.Eventually(t, func() bool {
		c, err := net.Dial("tcp", v.address)
		if err != nil {
			return false
		}
		return c.Close() == nil
	}, 10*time.Second, meanwhile/10)
}

// TestCrashIsToldFromABrokenConnection holds what operators need to recognise a request
// that crashes endpoints: the same fingerprint with different crashes.
func TestCrashIsToldFromABrokenConnection(t *testing.T) {
	f := newFleet(t, route("stock", false))
	out := &lines{}
	f.output = out
	var self *vm
	self = f.add("stock", func(_ http.ResponseWriter, r *http.Request) {
		if strings.HasSuffix(r.URL.Path, "/crash") {
			self.crash(downtime)
		}
		panic(http.ErrAbortHandler)
	})
	f.publish()
	ask := func(path string) {
		r, _ := f.ask(self, "POST", path, "x")
		require.Equal(t, http.StatusBadGateway, r.StatusCode)
	}
	ask("/stock/broken")
	require.Eventually(t, func() bool { return len(out.fields("answer_broken", "error")) == 1 }, time.Second, meanwhile/10)
	ask("/stock/crash")
	self.awaitEndpoint(t)
	ask("/stock/crash")
	require.Eventually(t, func() bool { return len(out.fields("endpoint_crashed", "fingerprint")) == 2 }, time.Second, meanwhile/10)
	prints := out.fields("endpoint_crashed", "fingerprint")
	require.Equal(t, prints[0], prints[1])
}

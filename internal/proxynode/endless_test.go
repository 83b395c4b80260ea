package proxynode

import (
	"fmt"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// heapMax is the growth of the heap that heads without end may cause.
const heapMax = 32 << 20

// endlessTimeoutMs is the route's timeout: far beyond what 64 KB take on a busy machine.
const endlessTimeoutMs = 5000

// sideBySide is the number of requests at once.
const sideBySide = 30

// endless answers with a beginning and then with a text again and again, until its
// connection is closed.
func endless(beginning, text string) http.HandlerFunc {
	piece := []byte(strings.Repeat(text, 1+(64<<10)/len(text)))
	return func(w http.ResponseWriter, r *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		head := strings.ReplaceAll(beginning, "$ID", r.Header.Get("Request-Id"))
		if _, err := conn.Write([]byte(head)); err != nil {
			return
		}
		for {
			if _, err := conn.Write(piece); err != nil {
				return
			}
		}
	}
}

// endlessCase is an answer without end.
type endlessCase struct{ desc, beginning, text string }

const (
	statusOK = "HTTP/1.1 200 OK\r\n"
	ownHead  = statusOK + "Request-Id: $ID\r\nSeal: s\r\n"
)

// What clients may be told. A head ends at its bound, long before the route's timeout;
// a body may be within its budget by then.
var (
	notTimeout = []int{http.StatusOK, http.StatusBadGateway, http.StatusServiceUnavailable}
	orTimeout  = append([]int{http.StatusGatewayTimeout}, notTimeout...)
)

func TestHeadOfAnAnswerWithoutEndTakesNoMemory(t *testing.T) {
	askEndless(t, heapMax, notTimeout, []endlessCase{
		{"status line", "HTTP/1.1 200 ", "O"},
		{"no answer at all", "", "\x16\x03\x01\x00"},
		{"one header", statusOK + "X-Long: ", "a"},
		{"headers", statusOK, "X-Next: a\r\n"},
		{"informational answers", "", "HTTP/1.1 102 Processing\r\nX-Next: a\r\n\r\n"},
		{"answers to other requests", "", "HTTP/1.1 200 OK\r\nRequest-Id: other\r\nSeal: s\r\nContent-Length: 0\r\n\r\n"},
		{"size of a chunk", ownHead + "Transfer-Encoding: chunked\r\n\r\n", "0"},
		{"extension of a chunk", ownHead + "Transfer-Encoding: chunked\r\n\r\n1;", "a"},
		{"trailers", ownHead + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X-Next: a\r\n"},
	})
}

// TestBodyOfAnAnswerWithoutEndStaysInItsBudget bounds the growth by what the settings
// of the fleet's nodes leave for bodies.
func TestBodyOfAnAnswerWithoutEndStaysInItsBudget(t *testing.T) {
	askEndless(t, testMemoryMB<<20/4, orTimeout, []endlessCase{
		{"chunks", ownHead + "Transfer-Encoding: chunked\r\n\r\n", "10\r\n0123456789abcdef\r\n"},
		{"until the end of the connection", ownHead + "Connection: close\r\n\r\n", "a"},
		{"a length beyond all bounds", ownHead + "Content-Length: 1000000000000\r\n\r\n", "a"},
	})
}

// askEndless plays an endpoint that writes until its connection is closed, beside a sound
// one, with many requests at once.
func askEndless(t *testing.T, growthMax uint64, allowed []int, cases []endlessCase) {
	t.Helper()
	for _, one := range cases {
		for _, idempotent := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, idempotent %t", one.desc, idempotent), func(t *testing.T) {
				stock := route("stock", idempotent)
				stock.Limits.TimeoutMs = endlessTimeoutMs
				f := newFleet(t, stock)
				entry := f.add("door", http.NotFound)
				f.add("stock", endless(one.beginning, one.text))
				f.add("stock", func(http.ResponseWriter, *http.Request) {})
				f.publish()
				growth := heapGrowth(func() {
					var asked sync.WaitGroup
					for range sideBySide {
						asked.Go(func() {
							r, _ := f.ask(entry, "POST", "/stock/1", "x")
							require.Contains(t, allowed, r.StatusCode)
						})
					}
					asked.Wait()
				})
				t.Logf("heap: %d KB more", growth>>10)
				require.Less(t, growth, growthMax)
			})
		}
	}
}

// heapGrowth returns the highest growth of what the heap holds while something is done.
func heapGrowth(do func()) uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	before := m.HeapAlloc
	var highest atomic.Uint64
	stop, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		for {
			select {
			case <-stop:
				return
			case <-time.After(time.Millisecond):
			}
			runtime.GC() // garbage takes no room for long
			runtime.ReadMemStats(&m)
			highest.Store(max(highest.Load(), m.HeapAlloc))
		}
	}()
	do()
	close(stop)
	<-stopped
	return highest.Load() - min(before, highest.Load())
}

package proxynode

import (
	"fmt"
	"net/http"
	"runtime"
	"runtime/metrics"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenacart/galenacart/internal/testendless"
)

// heapMax is the heap growth in bytes that endless headers may cause.
const heapMax = 32 << 20

// endlessTimeoutMs is the route's timeout, far longer than 64 KB take on a busy machine.
const endlessTimeoutMs = 5000

// concurrentRequests is the number of requests that are in flight at once.
const concurrentRequests = 30

// endlessHandler sends a prefix and then repeats a text until the connection is closed.
func endlessHandler(prefix, repeated string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		testendless.Serve(w, strings.ReplaceAll(prefix, "$ID", r.Header.Get("Request-Id")), repeated)
	}
}

// endlessCase is an endless request or response.
type endlessCase struct{ desc, prefix, repeated string }

const (
	statusOK     = "HTTP/1.1 200 OK\r\n"
	matchingHead = statusOK + "Request-Id: $ID\r\nSeal: s\r\n"
)

// Statuses that clients may get. An endless head reaches its size limit long before the
// route's timeout, while a body may still be within its budget by then.
var (
	notTimeout = []int{http.StatusOK, http.StatusBadGateway, http.StatusServiceUnavailable}
	orTimeout  = append([]int{http.StatusGatewayTimeout}, notTimeout...)
)

func TestEndlessResponseHeadUsesBoundedMemory(t *testing.T) {
	testEndlessResponses(t, heapMax, notTimeout, []endlessCase{
		{"status line", "HTTP/1.1 200 ", "O"},
		{"no HTTP", "", "\x16\x03\x01\x00"},
		{"one header", statusOK + "X-Long: ", "a"},
		{"headers", statusOK, "X-Next: a\r\n"},
		{"informational responses", "", "HTTP/1.1 102 Processing\r\nX-Next: a\r\n\r\n"},
		{"responses to other requests", "", "HTTP/1.1 200 OK\r\nRequest-Id: other\r\nSeal: s\r\nContent-Length: 0\r\n\r\n"},
		{"size of a chunk", matchingHead + "Transfer-Encoding: chunked\r\n\r\n", "0"},
		{"extension of a chunk", matchingHead + "Transfer-Encoding: chunked\r\n\r\n1;", "a"},
		{"trailers", matchingHead + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X-Next: a\r\n"},
	})
}

// TestEndlessResponseBodyUsesBoundedMemory bounds the heap growth by the memory for bodies
// that the settings of the fleet's nodes allow.
func TestEndlessResponseBodyUsesBoundedMemory(t *testing.T) {
	testEndlessResponses(t, testMemoryMB<<20/4, orTimeout, []endlessCase{
		{"chunks", matchingHead + "Transfer-Encoding: chunked\r\n\r\n", "10\r\n0123456789abcdef\r\n"},
		{"body until end of connection", matchingHead + "Connection: close\r\n\r\n", "a"},
		{"excessive content length", matchingHead + "Content-Length: 1000000000000\r\n\r\n", "a"},
	})
}

// testEndlessResponses sends concurrent requests to an endpoint that writes until its
// connection is closed, beside a normal endpoint.
func testEndlessResponses(t *testing.T, growthMax uint64, allowed []int, cases []endlessCase) {
	t.Helper()
	for _, one := range cases {
		for _, idempotent := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, idempotent %t", one.desc, idempotent), func(t *testing.T) {
				stock := route("stock", idempotent)
				stock.Limits.TimeoutMs = endlessTimeoutMs
				f := newFleet(t, stock)
				entry := f.add("door", http.NotFound)
				f.add("stock", endlessHandler(one.prefix, one.repeated))
				f.add("stock", func(http.ResponseWriter, *http.Request) {})
				f.publish()
				growth := heapGrowth(func() {
					var asked sync.WaitGroup
					for range concurrentRequests {
						asked.Go(func() {
							r, _ := f.send(entry, "POST", "/stock/1", "x")
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

// heapGrowth returns the largest growth of the reachable heap in bytes while do runs.
func heapGrowth(do func()) uint64 {
	before := reachableHeap()
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
			highest.Store(max(highest.Load(), reachableHeap()))
		}
	}()
	do()
	close(stop)
	<-stopped
	return highest.Load() - min(before, highest.Load())
}

// reachableHeap collects garbage and returns the bytes that the collection found in use.
// What has become garbage since is not counted, however late this goroutine runs.
func reachableHeap() uint64 {
	runtime.GC()
	sample := []metrics.Sample{{Name: "/gc/heap/live:bytes"}}
	metrics.Read(sample)
	return sample[0].Value.Uint64()
}

// Package testendless helps tests with answers without an end, and with bounds on the memory that
// they take.
package testendless

import (
	"io"
	"net/http"
	"runtime"
	"runtime/metrics"
	"strings"
)

// pieceBytes is the least size of one write.
const pieceBytes = 64 << 10

// Serve takes over the connection of a request, sends a prefix and then repeats a text until the
// connection is closed.
func Serve(w http.ResponseWriter, prefix, repeated string) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return // the connection has failed
	}
	defer func() { _ = conn.Close() }()
	text := strings.Repeat(repeated, 1+pieceBytes/len(repeated))
	_, err = io.WriteString(conn, prefix)
	for err == nil {
		_, err = io.WriteString(conn, text)
	}
}

// AllocatedBytes returns all bytes that the process has ever allocated on the heap, an upper bound
// of what it holds.
func AllocatedBytes() uint64 {
	runtime.GC()
	sample := []metrics.Sample{{Name: "/gc/heap/allocs:bytes"}}
	metrics.Read(sample)
	return sample[0].Value.Uint64()
}

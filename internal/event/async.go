package event

import (
	"io"

	"github.com/rs/zerolog/diode"
)

// asyncLines bounds the lines that wait for a slow sink.
const asyncLines = 4096

// NewAsyncWriter returns a writer that writes lines to w on a separate goroutine,
// so that a slow sink never blocks a caller of Emit. When its buffer is full, it
// drops the oldest lines and calls lost with their count. Close writes the
// buffered lines; it closes w if w is an io.Closer.
func NewAsyncWriter(w io.Writer, lost func(count int)) io.WriteCloser {
	return diode.NewWriter(w, asyncLines, 0, lost)
}

// KeepOpen returns a writer to w that is not an io.Closer, for a sink that the
// process still uses after the log is closed.
func KeepOpen(w io.Writer) io.Writer {
	return nonCloser{w}
}

// nonCloser hides the Close method of a writer.
type nonCloser struct {
	io.Writer
}

package event

import (
	"io"

	"github.com/rs/zerolog/diode"
)

// asyncLines bounds the lines that wait for a slow sink.
const asyncLines = 4096

// NewAsyncWriter returns a writer that hands lines to w on a goroutine of its
// own, so that a slow sink never holds up a caller of Emit. When more lines wait
// than it can hold, the oldest are lost and lost is called with their count.
// Close writes what still waits; it closes w if w is an io.Closer.
func NewAsyncWriter(w io.Writer, lost func(count int)) io.WriteCloser {
	return diode.NewWriter(w, asyncLines, 0, lost)
}

// KeepOpen returns a writer to w that is no io.Closer, for a sink that the
// process still writes to when the lines have ended.
func KeepOpen(w io.Writer) io.Writer {
	return keptOpen{w}
}

type keptOpen struct {
	io.Writer
}

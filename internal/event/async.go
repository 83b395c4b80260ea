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

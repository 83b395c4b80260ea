package event

import (
	"fmt"
	"runtime/debug"
)

// Recover is deferred around work whose panic must not end the process. It emits
// PanicRecovered with the correlation of the work and calls cleanup, if not nil.
func (l *Log) Recover(correlation string, cleanup func()) {
	cause := recover()
	if cause == nil {
		return
	}
	l.Emit(PanicRecovered, correlation, F("cause", fmt.Sprint(cause)), F("stack", string(debug.Stack())))
	if cleanup != nil {
		cleanup()
	}
}

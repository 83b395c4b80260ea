package event

import (
	"fmt"
	"runtime/debug"
)

// Recover is deferred around work that must not end the process when it panics. It
// tells of the panic under the work's correlation, and calls then, if not nil.
func (l *Log) Recover(correlation string, then func()) {
	cause := recover()
	if cause == nil {
		return
	}
	l.Emit(PanicRecovered, correlation, F("cause", fmt.Sprint(cause)), F("stack", string(debug.Stack())))
	if then != nil {
		then()
	}
}

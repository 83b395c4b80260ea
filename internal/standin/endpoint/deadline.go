package endpoint

import (
	"net"
	"os"

	"github.com/pkg/errors"
)

// errDeadline is the error of a read after its deadline.
var errDeadline = os.ErrDeadlineExceeded

// isTimeout reports whether err is a network timeout.
func isTimeout(err error) bool {
	var n net.Error
	return errors.As(err, &n) && n.Timeout()
}

package endpoint

import (
	"net"
	"os"

	"github.com/pkg/errors"
)

// errDeadline is what a read returns when its deadline has passed.
var errDeadline = os.ErrDeadlineExceeded

func isTimeout(err error) bool {
	var n net.Error
	return errors.As(err, &n) && n.Timeout()
}

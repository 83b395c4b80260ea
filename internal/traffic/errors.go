package traffic

import (
	"io"

	"github.com/pkg/errors"
)

// errEndOfBody marks the end of a body. Its name distinguishes it from the end of
// a connection.
var errEndOfBody = io.EOF

// Reasons for the cancellation of a running call.
var (
	errPreempted        = errors.New("the slot is needed for more important work")
	errConnectionSilent = errors.New("the connection went silent")
	errEndpointStalled  = errors.New("the endpoint doesn't answer")
	errParentEnded      = errors.New("the parent call ended")
)

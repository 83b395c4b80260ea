package traffic

import (
	"io"

	"github.com/pkg/errors"
)

// errEndOfBody ends a body; the name tells it from a connection's end.
var errEndOfBody = io.EOF

// The reasons for which a running call is cancelled.
var (
	errMakeRoom  = errors.New("the slot is needed for more important work")
	errSilent    = errors.New("the connection went silent")
	errStalled   = errors.New("the endpoint doesn't answer")
	errParentEnd = errors.New("the parent call ended")
)

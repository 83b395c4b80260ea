package control

import (
	"github.com/galenacart/galenacart/internal/fleetview"
	"github.com/galenacart/galenacart/internal/peer"
	"github.com/galenacart/galenacart/internal/platform"
)

// The messages that goroutines post to the control thread.
type (
	// tick makes the controllers run. It is posted at the start, every tickInterval
	// and when a forward round is due.
	tick struct{}

	// readDone ends a read of the platform. Exactly one of offer and failure is set.
	readDone struct {
		key     key
		epoch   uint64
		offer   *offer
		failure *platform.ReadError
	}

	// linkOpened hands over an authenticated link.
	linkOpened struct {
		link *peer.Link
	}

	// linkFailed reports a dial or a link that failed before it was authenticated.
	linkFailed struct {
		vm    string // the VM that was dialled, empty for an accepted link
		cause error
	}

	// linkEnded reports that a link's goroutines have ended.
	linkEnded struct {
		link  *peer.Link
		cause error
	}

	// linkMessage is one message of a peer.
	linkMessage struct {
		link    *peer.Link
		message *peer.Message
	}

	// documentBuilt is a document assembled from a peer's parts.
	documentBuilt struct {
		link  *peer.Link
		key   key
		offer *offer
		err   error
	}

	// trafficReport is one observation of traffic.
	trafficReport struct {
		report fleetview.Report
	}

	// leave begins the planned stop.
	leave struct{}

	// stop ends the thread's work; done is closed when the links have ended.
	stop struct {
		done chan<- struct{}
	}

	// statusRequest requests a Status.
	statusRequest struct {
		reply chan<- Status
	}

	// documentRequest requests the state of one document.
	documentRequest struct {
		key   key
		reply chan<- DocumentStatus
	}
)

// envelope carries a message to the control thread.
type envelope struct {
	message any
}

// IgnoreDeadLetterLogging marks a message that may be posted after the thread has
// stopped: the actor library then drops it without logging.
func (envelope) IgnoreDeadLetterLogging() {}

// Package reach detects when a whole availability zone is unreachable, from the state
// of the individual links to it. It handles network partitions between zones in large
// fleets, where a node has links to many others and each link carries few calls: without
// zone-wide detection, calls are lost on every link until that link is suspected itself.
package reach

import "time"

const (
	// silenceThreshold is the silence after which a link with pending calls counts
	// against its zone. Links are probed after 150 ms, and a node answers a probe within
	// a few ms; a single link is suspected after 400 ms.
	silenceThreshold = 250 * time.Millisecond
	// silentLinksMin is the number of silent links that indicate a partition. A single
	// one may be a link to a node that has frozen.
	silentLinksMin = 2
)

// Link is the state of one link to a zone.
type Link struct {
	// Open says that the link is open. A link that is not open has failed.
	Open bool
	// AwaitingReply says that calls on the link wait for a reply.
	AwaitingReply bool
	// Overdue is the time for which a reply or a probe's answer has been due.
	Overdue time.Duration
	// SinceReceived is the time since the last message was received.
	SinceReceived time.Duration
}

// Detector decides whether one availability zone is unreachable.
type Detector struct {
	unreachable bool
}

// Update evaluates all links to the zone, and reports whether the zone is unreachable.
// It remains so until a message is received on any link, or no link is silent or failed.
func (d *Detector) Update(links []Link) bool {
	silent, failed := 0, 0
	for _, l := range links {
		switch {
		case !l.Open:
			failed++
		case l.SinceReceived < silenceThreshold:
			d.unreachable = false
			return false
		case l.AwaitingReply && l.Overdue >= silenceThreshold:
			silent++
		}
	}
	switch {
	case silent >= silentLinksMin:
		d.unreachable = true
	case silent+failed == 0:
		d.unreachable = false
	}
	return d.unreachable
}

// Package reach tells when a whole availability zone can't be reached, from what
// the single links to it tell. It answers cuts between zones in large fleets, where
// a node has a link to each of many others and each carries few calls: without it
// every link loses calls of its own before it is doubted.
package reach

import "time"

const (
	// quietAfter is the silence after which a link with open calls counts against
	// its zone. Links are probed after 150 ms, and a node answers a probe within a
	// few ms; a single link is doubted after 400 ms.
	quietAfter = 250 * time.Millisecond
	// quietLinks is the number of silent links that tell of a cut. One may be a node
	// that stands still.
	quietLinks = 2
)

// Link is what one link to a zone tells.
type Link struct {
	// Open says that the link is open. One that is not has failed.
	Open bool
	// AwaitingReply says that calls wait for a reply.
	AwaitingReply bool
	// Overdue is the time for which a sign of life has been due.
	Overdue time.Duration
	// SinceReceived is the time since anything came.
	SinceReceived time.Duration
}

// Detector is what is known of the way to one availability zone.
type Detector struct {
	cut bool
}

// Update takes in all links to the zone, and reports whether it is cut off. It stays
// so until any link brings something, or nothing is left that could.
func (z *Detector) Update(links []Link) bool {
	silent, failed := 0, 0
	for _, l := range links {
		switch {
		case !l.Open:
			failed++
		case l.SinceReceived < quietAfter:
			z.cut = false
			return false
		case l.AwaitingReply && l.Overdue >= quietAfter:
			silent++
		}
	}
	switch {
	case silent >= quietLinks:
		z.cut = true
	case silent+failed == 0:
		z.cut = false
	}
	return z.cut
}

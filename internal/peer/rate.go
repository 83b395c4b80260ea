package peer

import (
	"sync/atomic"
	"time"
)

// Rate of one link. The bursts allow both documents whole.
const (
	messagesPerSecond = 200
	messagesBurst     = 600
	bytesPerSecond    = 512 << 10
	bytesBurst        = 6 << 20
)

// rate is a token bucket for messages and one for bytes.
type rate struct {
	messages float64
	bytes    float64
	at       time.Time
}

func newRate(now time.Time) *rate {
	return &rate{messages: messagesBurst, bytes: bytesBurst, at: now}
}

// allow takes one message of a size from the buckets.
func (r *rate) allow(now time.Time, size int) bool {
	passed := now.Sub(r.at).Seconds()
	r.at = now
	r.messages = min(messagesBurst, r.messages+passed*messagesPerSecond) - 1
	r.bytes = min(bytesBurst, r.bytes+passed*bytesPerSecond) - float64(size)
	return r.messages >= 0 && r.bytes >= 0
}

// Counters counts what links carried.
type Counters struct {
	// MessagesSent counts messages to peers.
	MessagesSent atomic.Uint64
	// BytesSent counts the payload bytes to peers.
	BytesSent atomic.Uint64
	// MessagesReceived counts messages from peers.
	MessagesReceived atomic.Uint64
	// BytesReceived counts the payload bytes from peers.
	BytesReceived atomic.Uint64
}

func (c *Counters) sent(size int) {
	c.MessagesSent.Add(1)
	c.BytesSent.Add(uint64(size))
}

func (c *Counters) received(size int) {
	c.MessagesReceived.Add(1)
	c.BytesReceived.Add(uint64(size))
}

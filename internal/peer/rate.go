package peer

import (
	"sync/atomic"
	"time"
)

// Receive rate of one link. The bursts are large enough for both documents whole.
const (
	messagesPerSecond = 200
	messagesBurst     = 600
	bytesPerSecond    = 512 << 10
	bytesBurst        = 6 << 20
)

// rateLimiter holds a token bucket for messages and one for bytes.
type rateLimiter struct {
	messageTokens float64
	byteTokens    float64
	updatedAt     time.Time
}

func newRateLimiter(now time.Time) *rateLimiter {
	return &rateLimiter{messageTokens: messagesBurst, byteTokens: bytesBurst, updatedAt: now}
}

// allow takes the tokens of one message, and reports whether they were available.
func (r *rateLimiter) allow(now time.Time, size int) bool {
	passed := now.Sub(r.updatedAt).Seconds()
	r.updatedAt = now
	r.messageTokens = min(messagesBurst, r.messageTokens+passed*messagesPerSecond) - 1
	r.byteTokens = min(bytesBurst, r.byteTokens+passed*bytesPerSecond) - float64(size)
	return r.messageTokens >= 0 && r.byteTokens >= 0
}

// Counters counts the messages and bytes on links.
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

func (c *Counters) addSent(size int) {
	c.MessagesSent.Add(1)
	c.BytesSent.Add(uint64(size))
}

func (c *Counters) addReceived(size int) {
	c.MessagesReceived.Add(1)
	c.BytesReceived.Add(uint64(size))
}

// Package token encodes idempotency tokens.
//
// A token identifies the one process, the home, that may start a non-idempotent
// request. Any node can decode it and forward a resend to the home.
package token

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/galenacart/galenacart/decision/idempotency"
)

const (
	// prefix distinguishes tokens from keys that callers choose.
	prefix = "gct1."
	// macBytes is the length of the authentication code.
	macBytes = 16
	// maxTextBytes bounds the text form.
	maxTextBytes = 512
)

// Token identifies one request and its home.
type Token struct {
	// VM is the name of the home's VM.
	VM string `cbor:"1,keyasint"`
	// Incarnation identifies the run of the home's process.
	Incarnation uint64 `cbor:"2,keyasint"`
	// IssuedMs is the home's process time at which it issued the token, in
	// milliseconds since the start of the process.
	IssuedMs uint64 `cbor:"3,keyasint"`
	// Key identifies the request at its home.
	Key idempotency.Key `cbor:"4,keyasint"`
	// LifetimeMs is the time after IssuedMs in which the token may start its
	// request, in milliseconds.
	LifetimeMs uint64 `cbor:"5,keyasint"`
}

// Lifetime returns the time in which the token may start its request.
func (t *Token) Lifetime() time.Duration {
	return time.Duration(t.LifetimeMs) * time.Millisecond
}

// IssuedAt returns the home's process time at which it issued the token.
func (t *Token) IssuedAt() time.Duration {
	return time.Duration(t.IssuedMs) * time.Millisecond
}

// HasTokenForm reports whether text has the form of a token rather than of a key that
// a caller chose.
func HasTokenForm(text string) bool {
	return strings.HasPrefix(text, prefix)
}

// Codec encodes and decodes the tokens of one fleet.
type Codec struct {
	key []byte
}

// NewCodec returns a codec. fleetKey is the secret of the fleet.
func NewCodec(fleetKey string) *Codec {
	return &Codec{key: []byte(fleetKey)}
}

// Encode returns the text form of t.
func (c *Codec) Encode(t *Token) (string, error) {
	data, err := cbor.Marshal(t)
	if err != nil {
		return "", errors.Wrap(err, "encode token")
	}
	data = append(data, c.mac(data)...)
	return prefix + base64.RawURLEncoding.EncodeToString(data), nil
}

// Decode decodes and authenticates the text form. It fails on a text that was not
// encoded with the key of the fleet.
func (c *Codec) Decode(text string) (*Token, error) {
	if !HasTokenForm(text) || len(text) > maxTextBytes {
		return nil, errors.New("not a token")
	}
	data, err := base64.RawURLEncoding.DecodeString(text[len(prefix):])
	if err != nil {
		return nil, errors.Wrap(err, "decode token")
	}
	if len(data) <= macBytes {
		return nil, errors.New("token too short")
	}
	body, mac := data[:len(data)-macBytes], data[len(data)-macBytes:]
	if !hmac.Equal(mac, c.mac(body)) {
		return nil, errors.New("token of another fleet")
	}
	t := &Token{}
	if err := cbor.Unmarshal(body, t); err != nil {
		return nil, errors.Wrap(err, "decode token")
	}
	return t, nil
}

func (c *Codec) mac(data []byte) []byte {
	h := hmac.New(sha256.New, c.key)
	_, _ = h.Write(data) // a hash never fails to write
	return h.Sum(nil)[:macBytes]
}

package peer

import (
	"context"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"time"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

const (
	protocolVersion  = 1
	nonceBytes       = 16
	handshakeBytes   = 2 << 10
	handshakeTimeout = time.Second

	roleDialer   = "galenacart link 1 dialer"
	roleAcceptor = "galenacart link 1 acceptor"
)

// Identity is what a node says of itself when a link begins.
type Identity struct {
	// VM is the name of the VM.
	VM string `cbor:"1,keyasint"`
	// AvailabilityZone is the VM's availability zone.
	AvailabilityZone string `cbor:"2,keyasint"`
	// Region is the region of the availability zone.
	Region string `cbor:"3,keyasint"`
	// Service is the service of the VM's endpoint.
	Service string `cbor:"4,keyasint"`
	// PeerAddress is the IP address and port of the node.
	PeerAddress string `cbor:"5,keyasint"`
	// Incarnation identifies the run of the process.
	Incarnation uint64 `cbor:"6,keyasint"`
}

// hello opens a link on each side.
type hello struct {
	Version  uint8    `cbor:"1,keyasint"`
	Identity Identity `cbor:"2,keyasint"`
	// To is the VM that the dialer wants; the acceptor leaves it empty.
	To    string `cbor:"3,keyasint,omitempty"`
	Nonce []byte `cbor:"4,keyasint"`
	Clock uint64 `cbor:"5,keyasint"`
}

// welcome is the acceptor's hello with its proof.
type welcome struct {
	Hello cbor.RawMessage `cbor:"1,keyasint"`
	Proof []byte          `cbor:"2,keyasint"`
}

// confirm is the dialer's proof.
type confirm struct {
	Proof []byte `cbor:"1,keyasint"`
}

// proof binds a role to the bytes of both hellos, and so to the nonces,
// identities and incarnations of both sides.
func proof(key []byte, role string, dialer, acceptor []byte) []byte {
	mac := hmac.New(sha256.New, key)
	for _, part := range [][]byte{[]byte(role), dialer, acceptor} {
		mac.Write(binary.BigEndian.AppendUint32(nil, uint32(len(part))))
		mac.Write(part)
	}
	return mac.Sum(nil)
}

func (n *Transport) newHello(to string) ([]byte, error) {
	h := hello{Version: protocolVersion, Identity: n.self, To: to, Nonce: make([]byte, nonceBytes), Clock: n.clock.Tick()}
	_, _ = rand.Read(h.Nonce) // never fails
	data, err := cbor.Marshal(h)
	return data, errors.Wrap(err, "encode hello")
}

// decodeHello reads and checks the hello of the other side.
func decodeHello(data []byte) (*hello, error) {
	h := &hello{}
	if err := decoder.Unmarshal(data, h); err != nil {
		return nil, violation(FaultMalformed, "hello: %v", err)
	}
	i := &h.Identity
	switch {
	case h.Version != protocolVersion:
		return nil, violation(FaultIdentity, "protocol version %d", h.Version)
	case len(h.Nonce) != nonceBytes, i.VM == "", i.Incarnation == 0:
		return nil, violation(FaultMalformed, "hello lacks a nonce, a VM or an incarnation")
	case checkNames(i.VM, i.AvailabilityZone, i.Region, i.Service, i.PeerAddress, h.To) != nil:
		return nil, violation(FaultMalformed, "hello has a name that is too long")
	case h.Clock > MaxClock:
		return nil, violation(FaultMalformed, "logical time is over its bound")
	}
	return h, nil
}

// decodeWelcome reads the acceptor's answer and the hello in it.
func decodeWelcome(data []byte) (*welcome, *hello, error) {
	w := &welcome{}
	if err := decoder.Unmarshal(data, w); err != nil {
		return nil, nil, violation(FaultMalformed, "welcome: %v", err)
	}
	h, err := decodeHello(w.Hello)
	return w, h, err
}

func decodeConfirm(data []byte) (*confirm, error) {
	c := &confirm{}
	if err := decoder.Unmarshal(data, c); err != nil {
		return nil, violation(FaultMalformed, "confirm: %v", err)
	}
	return c, nil
}

// greet is the dialer's side of the handshake.
func (n *Transport) greet(ctx context.Context, conn *websocket.Conn, to string) (*Identity, error) {
	mine, err := n.newHello(to)
	if err != nil {
		return nil, err
	}
	if err := conn.Write(ctx, websocket.MessageBinary, mine); err != nil {
		return nil, errors.Wrap(err, "send hello")
	}
	_, data, err := conn.Read(ctx)
	if err != nil {
		return nil, errors.Wrap(err, "read welcome")
	}
	w, h, err := decodeWelcome(data)
	if err != nil {
		return nil, err
	}
	if !hmac.Equal(w.Proof, proof(n.key, roleAcceptor, mine, w.Hello)) {
		return nil, violation(FaultAuthentication, "VM %q has another fleet key", h.Identity.VM)
	}
	if h.Identity.VM != to {
		return nil, violation(FaultIdentity, "VM %q answers in place of %q", h.Identity.VM, to)
	}
	n.clock.Observe(h.Clock)
	answer, err := cbor.Marshal(confirm{Proof: proof(n.key, roleDialer, mine, w.Hello)})
	if err != nil {
		return nil, errors.Wrap(err, "encode confirm")
	}
	return &h.Identity, errors.Wrap(conn.Write(ctx, websocket.MessageBinary, answer), "send confirm")
}

// receive is the acceptor's side of the handshake.
func (n *Transport) receive(ctx context.Context, conn *websocket.Conn) (*Identity, error) {
	_, theirs, err := conn.Read(ctx)
	if err != nil {
		return nil, errors.Wrap(err, "read hello")
	}
	h, err := decodeHello(theirs)
	if err != nil {
		return nil, err
	}
	if h.To != n.self.VM {
		return nil, violation(FaultIdentity, "VM %q looks for %q", h.Identity.VM, h.To)
	}
	mine, err := n.newHello("")
	if err != nil {
		return nil, err
	}
	answer, err := cbor.Marshal(welcome{Hello: mine, Proof: proof(n.key, roleAcceptor, theirs, mine)})
	if err != nil {
		return nil, errors.Wrap(err, "encode welcome")
	}
	if err := conn.Write(ctx, websocket.MessageBinary, answer); err != nil {
		return nil, errors.Wrap(err, "send welcome")
	}
	_, data, err := conn.Read(ctx)
	if err != nil {
		return nil, errors.Wrap(err, "read confirm")
	}
	c, err := decodeConfirm(data)
	if err != nil {
		return nil, err
	}
	if !hmac.Equal(c.Proof, proof(n.key, roleDialer, theirs, mine)) {
		return nil, violation(FaultAuthentication, "VM %q has another fleet key", h.Identity.VM)
	}
	n.clock.Observe(h.Clock)
	return &h.Identity, nil
}

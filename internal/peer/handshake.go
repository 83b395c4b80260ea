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

// Identity describes a node in the handshake of a link.
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

// hello is the first message of each side.
type hello struct {
	Version  uint8    `cbor:"1,keyasint"`
	Identity Identity `cbor:"2,keyasint"`
	// To is the VM that the dialer expects; the acceptor leaves it empty.
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

// proof authenticates a role and the bytes of both hellos, which hold the nonces,
// identities and incarnations of both sides.
func proof(key []byte, role string, dialer, acceptor []byte) []byte {
	mac := hmac.New(sha256.New, key)
	for _, part := range [][]byte{[]byte(role), dialer, acceptor} {
		mac.Write(binary.BigEndian.AppendUint32(nil, uint32(len(part))))
		mac.Write(part)
	}
	return mac.Sum(nil)
}

func (t *Transport) newHello(to string) ([]byte, error) {
	h := hello{Version: protocolVersion, Identity: t.self, To: to, Nonce: make([]byte, nonceBytes), Clock: t.clock.Tick()}
	_, _ = rand.Read(h.Nonce) // never fails
	data, err := cbor.Marshal(h)
	return data, errors.Wrap(err, "encode hello")
}

// decodeHello decodes and checks the hello of the other side.
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
		return nil, violation(FaultMalformed, "hello without a valid nonce, a VM or an incarnation")
	case checkNames(i.VM, i.AvailabilityZone, i.Region, i.Service, i.PeerAddress, h.To) != nil:
		return nil, violation(FaultMalformed, "a name in the hello is too long")
	case h.Clock > MaxClock:
		return nil, violation(FaultMalformed, "logical time exceeds its bound")
	}
	return h, nil
}

// decodeWelcome decodes the acceptor's answer and the hello in it.
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

// handshakeAsDialer is the dialer's side of the handshake.
func (t *Transport) handshakeAsDialer(ctx context.Context, conn *websocket.Conn, to string) (*Identity, error) {
	ownHello, err := t.newHello(to)
	if err != nil {
		return nil, err
	}
	if err := conn.Write(ctx, websocket.MessageBinary, ownHello); err != nil {
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
	if !hmac.Equal(w.Proof, proof(t.key, roleAcceptor, ownHello, w.Hello)) {
		return nil, violation(FaultAuthentication, "VM %q has another fleet key", h.Identity.VM)
	}
	if h.Identity.VM != to {
		return nil, violation(FaultIdentity, "connected to VM %q instead of %q", h.Identity.VM, to)
	}
	t.clock.Observe(h.Clock)
	answer, err := cbor.Marshal(confirm{Proof: proof(t.key, roleDialer, ownHello, w.Hello)})
	if err != nil {
		return nil, errors.Wrap(err, "encode confirm")
	}
	return &h.Identity, errors.Wrap(conn.Write(ctx, websocket.MessageBinary, answer), "send confirm")
}

// handshakeAsAcceptor is the acceptor's side of the handshake.
func (t *Transport) handshakeAsAcceptor(ctx context.Context, conn *websocket.Conn) (*Identity, error) {
	_, remoteHello, err := conn.Read(ctx)
	if err != nil {
		return nil, errors.Wrap(err, "read hello")
	}
	h, err := decodeHello(remoteHello)
	if err != nil {
		return nil, err
	}
	if h.To != t.self.VM {
		return nil, violation(FaultIdentity, "VM %q expects VM %q at this address", h.Identity.VM, h.To)
	}
	ownHello, err := t.newHello("")
	if err != nil {
		return nil, err
	}
	answer, err := cbor.Marshal(welcome{Hello: ownHello, Proof: proof(t.key, roleAcceptor, remoteHello, ownHello)})
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
	if !hmac.Equal(c.Proof, proof(t.key, roleDialer, remoteHello, ownHello)) {
		return nil, violation(FaultAuthentication, "VM %q has another fleet key", h.Identity.VM)
	}
	t.clock.Observe(h.Clock)
	return &h.Identity, nil
}

package traffic

import (
	"context"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/galenacart/galenacart/internal/call"
	"github.com/galenacart/galenacart/internal/fleetview"
	"github.com/galenacart/galenacart/internal/settings"
)

// pathCall is the prefix of calls between nodes. The call's own target follows.
const pathCall = "/galenacart/call"

// trailerPrefix marks trailers of the endpoint on answers between nodes.
const trailerPrefix = call.HeaderPrefix + "Trailer-"

// peers holds the ways to other nodes.
type peers struct {
	silence time.Duration
	proof   string
	dial    DialFunc

	mu    sync.Mutex
	links map[string]*link // by address
}

func newPeers(s *settings.Node, dial DialFunc) *peers {
	return &peers{
		silence: s.ConnectionSilence(),
		proof:   fleetProof(s.FleetKey),
		dial:    dial,
		links:   make(map[string]*link),
	}
}

// fleetProof is what a node shows to prove that it belongs to the fleet.
func fleetProof(fleetKey string) string {
	h := hmac.New(sha256.New, []byte(fleetKey))
	_, _ = h.Write([]byte("galenacart call")) // a hash never fails to write
	return hex.EncodeToString(h.Sum(nil))
}

// trusts reports whether a request comes from a node of the fleet.
func (p *peers) trusts(r *http.Request) bool {
	return hmac.Equal([]byte(r.Header.Get(call.HeaderFleetProof)), []byte(p.proof))
}

func (p *peers) link(address string) *link {
	p.mu.Lock()
	defer p.mu.Unlock()
	l, ok := p.links[address]
	if !ok {
		l = &link{transport: newTransport(address, peerIdleMax, p.dial), silence: p.silence}
		p.links[address] = l
	}
	return l
}

// retain drops the ways to nodes that left the view.
func (p *peers) retain(v *fleetview.View) {
	known := make(map[string]bool, len(v.ByVM))
	for _, m := range v.ByVM {
		known[m.PeerAddress] = true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, l := range p.links {
		if !known[address] {
			l.transport.CloseIdleConnections()
			delete(p.links, address)
		}
	}
}

func (p *peers) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range p.links {
		l.transport.CloseIdleConnections()
	}
}

// send carries a call to another node and reads the first part of its answer.
func (p *peers) send(ctx context.Context, address string, m *call.Meta, q *request) (*answer, *call.Reply, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	r, err := p.build(address, m, q)
	if err != nil {
		cancel(nil)
		return nil, nil, &unsentError{cause: err}
	}
	response, err := p.link(address).send(ctx, r, cancel) //nolint:bodyclose // readPeerAnswer closes the body, or keeps it as the answer's rest
	if err != nil {
		err = withCause(ctx, err)
		cancel(nil)
		return nil, nil, err
	}
	a, reply, err := readPeerAnswer(response, m, cancel)
	if err != nil {
		err = withCause(ctx, err)
		cancel(nil)
		return nil, nil, err
	}
	return a, reply, nil
}

// withCause puts the reason for a cancelled request in place of the bare fact.
func withCause(ctx context.Context, err error) error {
	var unsent *unsentError
	if cause := context.Cause(ctx); cause != nil && !errors.As(err, &unsent) {
		return errors.Wrap(cause, "call to node")
	}
	return err
}

func (p *peers) build(address string, m *call.Meta, q *request) (*http.Request, error) {
	target, err := url.ParseRequestURI(pathCall + q.target)
	if err != nil {
		return nil, errors.Wrap(err, "read target")
	}
	target.Scheme = "http"
	target.Host = address
	header := q.header.Clone()
	header.Set(call.HeaderFleetProof, p.proof)
	if err := call.SetMeta(header, m); err != nil {
		return nil, err
	}
	length := int64(len(q.body))
	if length == 0 {
		length = -1
	}
	return &http.Request{
		Method:        http.MethodPost,
		URL:           target,
		Host:          address,
		Header:        header,
		Body:          &onceBody{data: q.body},
		ContentLength: length,
	}, nil
}

// readPeerAnswer checks that the answer belongs to the attempt and reads its
// first part. done is called when the body was read or given up.
func readPeerAnswer(response *http.Response, m *call.Meta, done context.CancelCauseFunc) (*answer, *call.Reply, error) {
	reply, err := call.GetReply(response.Header)
	if err != nil {
		_ = response.Body.Close() // the answer is of no use
		return nil, nil, err
	}
	if reply.Attempt != m.Attempt {
		_ = response.Body.Close() // the answer is another call's
		return nil, nil, errors.Errorf("answer to attempt %s", reply.Attempt)
	}
	body := &verified{response: response, hash: xxhash.New(), done: done}
	a := &answer{
		status:   int(reply.Status),
		header:   response.Header,
		response: response,
		declared: reply.DeclaredLength,
		retries:  int(reply.RetryBudget),
		problem:  reply.Problem(),
	}
	if err := a.take(body, bufferBytes); err != nil {
		return nil, nil, err
	}
	return a, reply, nil
}

// verified reads a body between nodes. It ends cleanly only if the hash in the
// trailer proves that the body is whole.
type verified struct {
	response *http.Response
	hash     *xxhash.Digest
	done     context.CancelCauseFunc
}

// Read hands out the body.
func (v *verified) Read(p []byte) (int, error) {
	n, err := v.response.Body.Read(p)
	_, _ = v.hash.Write(p[:n]) // a hash never fails to write
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if have := v.response.Trailer.Get(call.HeaderAnswerHash); have != sumText(v.hash.Sum64()) {
		return n, io.ErrUnexpectedEOF
	}
	return n, io.EOF
}

// Close gives the body up.
func (v *verified) Close() error {
	err := v.response.Body.Close()
	v.done(nil)
	return err
}

func sumText(sum uint64) string {
	return fmt.Sprintf("%016x", sum)
}

// endpointTrailer returns the endpoint's own trailers among those of a message.
func endpointTrailer(h http.Header) http.Header {
	var out http.Header
	for name, values := range h {
		own := name
		if strings.HasPrefix(name, call.HeaderPrefix) {
			if !strings.HasPrefix(name, trailerPrefix) {
				continue
			}
			own = strings.TrimPrefix(name, trailerPrefix)
		}
		if out == nil {
			out = make(http.Header)
		}
		out[own] = values
	}
	return out
}

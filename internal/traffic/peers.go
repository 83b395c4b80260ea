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

// pathCall is the path prefix of calls between nodes. The call's target follows it.
const pathCall = "/galenacart/call"

// trailerPrefix prefixes the endpoint's trailers in answers between nodes.
const trailerPrefix = call.HeaderPrefix + "Trailer-"

// peers sends calls and queries to other nodes.
type peers struct {
	silenceTimeout time.Duration
	proof          string
	dial           DialFunc

	mu      sync.Mutex
	senders map[string]*sender // by address
}

func newPeers(s *settings.Node, dial DialFunc) *peers {
	return &peers{
		silenceTimeout: s.ConnectionSilence(),
		proof:          fleetProof(s.FleetKey),
		dial:           dial,
		senders:        make(map[string]*sender),
	}
}

// fleetProof returns the credential by which a node proves that it belongs to the
// fleet.
func fleetProof(fleetKey string) string {
	h := hmac.New(sha256.New, []byte(fleetKey))
	_, _ = h.Write([]byte("galenacart call")) // a hash never fails to write
	return hex.EncodeToString(h.Sum(nil))
}

// authenticates reports whether a request comes from a node of the fleet.
func (p *peers) authenticates(r *http.Request) bool {
	return hmac.Equal([]byte(r.Header.Get(call.HeaderFleetProof)), []byte(p.proof))
}

func (p *peers) sender(address string) *sender {
	p.mu.Lock()
	defer p.mu.Unlock()
	s, ok := p.senders[address]
	if !ok {
		s = &sender{transport: newTransport(address, peerIdleMax, p.dial), silenceTimeout: p.silenceTimeout}
		p.senders[address] = s
	}
	return s
}

// retain drops the senders of nodes that are not in the view.
func (p *peers) retain(v *fleetview.View) {
	known := make(map[string]bool, len(v.ByVM))
	for _, m := range v.ByVM {
		known[m.PeerAddress] = true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, s := range p.senders {
		if !known[address] {
			s.transport.CloseIdleConnections()
			delete(p.senders, address)
		}
	}
}

func (p *peers) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.senders {
		s.transport.CloseIdleConnections()
	}
}

// send sends a call to another node and reads the first part of its answer.
func (p *peers) send(ctx context.Context, address string, m *call.Meta, q *request) (*answer, *call.Reply, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	r, err := p.build(address, m, q)
	if err != nil {
		cancel(nil)
		return nil, nil, &unsentError{cause: err}
	}
	response, err := p.sender(address).send(ctx, r, cancel) //nolint:bodyclose // readPeerAnswer closes the body or keeps it as the rest
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

// withCause returns the cause of a cancellation in place of the generic error.
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

// readPeerAnswer checks that the answer belongs to the attempt and reads its first
// part. cancel is called once the body has been read or discarded.
func readPeerAnswer(response *http.Response, m *call.Meta, cancel context.CancelCauseFunc) (*answer, *call.Reply, error) {
	reply, err := call.GetReply(response.Header)
	if err != nil {
		_ = response.Body.Close() // the invalid answer is discarded
		return nil, nil, err
	}
	if reply.Attempt != m.Attempt {
		_ = response.Body.Close() // the answer belongs to another attempt
		return nil, nil, errors.Errorf("answer to attempt %s", reply.Attempt)
	}
	body := &verifiedBody{response: response, hash: xxhash.New(), cancel: cancel}
	a := &answer{
		status:         int(reply.Status),
		header:         response.Header,
		response:       response,
		declaredLength: reply.DeclaredLength,
		unspentRetries: int(reply.RetryBudget),
		problem:        reply.Problem(),
	}
	if err := a.readFirstPart(body, answerBufferBytes); err != nil {
		return nil, nil, err
	}
	return a, reply, nil
}

// verifiedBody reads a body sent by another node. It ends with io.EOF only if the
// hash in the trailer proves that the body is complete.
type verifiedBody struct {
	response *http.Response
	hash     *xxhash.Digest
	cancel   context.CancelCauseFunc
}

// Read reads the body and checks its hash at the end.
func (v *verifiedBody) Read(p []byte) (int, error) {
	n, err := v.response.Body.Read(p)
	_, _ = v.hash.Write(p[:n]) // a hash never fails to write
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if sent := v.response.Trailer.Get(call.HeaderAnswerHash); sent != formatHash(v.hash.Sum64()) {
		return n, io.ErrUnexpectedEOF
	}
	return n, io.EOF
}

// Close closes the body and releases the request's context.
func (v *verifiedBody) Close() error {
	err := v.response.Body.Close()
	v.cancel(nil)
	return err
}

func formatHash(sum uint64) string {
	return fmt.Sprintf("%016x", sum)
}

// endpointTrailer returns the endpoint's trailers among those of a message, under
// their original names.
func endpointTrailer(h http.Header) http.Header {
	var out http.Header
	for name, values := range h {
		original := name
		if strings.HasPrefix(name, call.HeaderPrefix) {
			if !strings.HasPrefix(name, trailerPrefix) {
				continue
			}
			original = strings.TrimPrefix(name, trailerPrefix)
		}
		if out == nil {
			out = make(http.Header)
		}
		out[original] = values
	}
	return out
}

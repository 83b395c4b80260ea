package traffic

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/galenacart/galenacart/decision/idempotency"
	"github.com/galenacart/galenacart/internal/call"
	"github.com/galenacart/galenacart/internal/catalogue"
	"github.com/galenacart/galenacart/internal/problem"
	"github.com/galenacart/galenacart/internal/token"
)

// Paths for callers in addition to the routes of the catalogue.
const (
	// PathToken issues an idempotency token. The answer is a TokenResponse.
	PathToken = "/galenacart/token"
	// PathFence prevents the request of the token in Idempotency-Key from being
	// started later, and reports whether it has been started.
	PathFence = "/galenacart/fence"
)

// TokenResponse carries an idempotency token.
type TokenResponse struct {
	// Token is the value of Idempotency-Key, for the request and all its resends.
	Token string `json:"token"`
	// LifetimeMs is the time for which the token is valid, in milliseconds.
	LifetimeMs int64 `json:"lifetimeMs"`
}

// callerKeyBytesMax bounds an idempotency key chosen by the caller.
const callerKeyBytesMax = 255

// keyedCall is a non-idempotent request with an idempotency key.
type keyedCall struct {
	key         string
	route       *catalogue.Route
	request     *request
	timeout     time.Duration
	correlation string
}

// serveToken issues a token whose home is this node.
func (t *Traffic) serveToken(w http.ResponseWriter, r *http.Request) {
	correlation := correlationOf(r)
	v := t.config.View.Load()
	switch {
	case t.Leaving():
		t.refuse(w, problem.New(problem.KindLeaving, problem.NotExecuted, "the node is stopping"), correlation)
		return
	case v.Index == nil:
		t.refuse(w, problem.New(problem.KindNotReady, problem.NotExecuted, "no catalogue is in force yet"), correlation)
		return
	}
	lifetime := v.Index.Catalogue().Idempotency.TokenLifetime()
	text, err := t.issueToken(lifetime)
	if err != nil {
		t.refuse(w, problem.New(problem.KindInternal, problem.NotExecuted, "%v", err), correlation)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(TokenResponse{Token: text, LifetimeMs: lifetime.Milliseconds()}) // the caller may have disconnected
}

// issueToken returns a new token whose home is this process.
func (t *Traffic) issueToken(lifetime time.Duration) (string, error) {
	return t.tokens.Encode(&token.Token{
		VM:          t.config.Settings.VM,
		Incarnation: t.config.Incarnation,
		IssuedMs:    uint64(t.config.Now().Milliseconds()),
		Key:         idempotency.Key(newID()),
		LifetimeMs:  uint64(lifetime.Milliseconds()),
	})
}

// runKeyed runs a request at its home node.
func (t *Traffic) runKeyed(ctx context.Context, k *keyedCall) *answer {
	if !token.HasTokenForm(k.key) {
		return t.runCallerKey(ctx, k)
	}
	decoded, err := t.tokens.Decode(k.key)
	if err != nil {
		return problemAnswer(problem.New(problem.KindBadCall, problem.NotExecuted, "%v", err))
	}
	if decoded.VM == t.config.Settings.VM {
		return t.runAtHome(ctx, k, decoded)
	}
	return t.sendToHome(ctx, decoded.VM, k, call.Meta{Token: k.key})
}

// runAtHome runs a request whose home is this process, if its token is valid.
func (t *Traffic) runAtHome(ctx context.Context, k *keyedCall, decoded *token.Token) *answer {
	if decoded.Incarnation != t.config.Incarnation {
		return problemAnswer(problem.New(problem.KindHomeLost, problem.ExecutionUnknown, "the process that issued the token is gone"))
	}
	if idempotency.CheckToken(t.config.Now(), decoded.IssuedAt(), decoded.Lifetime()) == idempotency.VerdictExpired {
		return t.answerExpired(ctx, decoded)
	}
	return t.runOnce(ctx, decoded.Key, k)
}

// answerExpired answers a request with an expired token, which starts nothing. If
// the token started a call earlier, it returns the recorded outcome.
func (t *Traffic) answerExpired(ctx context.Context, decoded *token.Token) *answer {
	a := t.requests.lookup(ctx, decoded.Key)
	if a != nil {
		return a
	}
	if idempotency.AbsenceProvesNotRun(t.config.Now(), decoded.IssuedAt(), decoded.Lifetime()) {
		return problemAnswer(problem.New(problem.KindTokenExpired, problem.NotExecuted, "the token has expired unused"))
	}
	return problemAnswer(problem.New(problem.KindTokenExpired, problem.ExecutionUnknown, "the token has expired and its record may be gone"))
}

// runOnce runs a request unless its key has been used before.
func (t *Traffic) runOnce(ctx context.Context, key idempotency.Key, k *keyedCall) *answer {
	ctx, cancel := context.WithTimeout(ctx, k.timeout)
	a := t.requests.do(ctx, key, k.request.fingerprint, func() *answer {
		if t.Leaving() {
			return problemAnswer(problem.New(problem.KindLeaving, problem.NotExecuted, "the node is stopping"))
		}
		detached, done := context.WithTimeout(context.WithoutCancel(ctx), k.timeout)
		v := t.config.View.Load()
		return t.forward(detached, t.rootCall(v, k.route, k.request, k.timeout, k.correlation)).onClose(done)
	})
	return a.onClose(cancel)
}

// runCallerKey runs a request with a key chosen by the caller at its home node,
// which is determined by the key and the catalogue's list of homes alone.
func (t *Traffic) runCallerKey(ctx context.Context, k *keyedCall) *answer {
	homes := t.config.View.Load().Index.Catalogue().KeyHomes
	if len(k.key) > callerKeyBytesMax {
		return problemAnswer(problem.New(problem.KindBadCall, problem.NotExecuted, "Idempotency-Key: want at most %d bytes", callerKeyBytesMax))
	}
	if len(homes) == 0 {
		return problemAnswer(problem.New(problem.KindBadCall, problem.NotExecuted,
			"Idempotency-Key: want a token from POST %s; the catalogue lists no keyHomes", PathToken))
	}
	home := homeOf(k.key, homes)
	if home == t.config.Settings.VM {
		return t.runCallerKeyAtHome(ctx, k)
	}
	return t.sendToHome(ctx, home, k, call.Meta{OwnKey: k.key})
}

// runCallerKeyAtHome runs a request with a key chosen by the caller, whose home is
// this node.
func (t *Traffic) runCallerKeyAtHome(ctx context.Context, k *keyedCall) *answer {
	v := t.config.View.Load()
	if homes := v.Index.Catalogue().KeyHomes; len(homes) == 0 || homeOf(k.key, homes) != t.config.Settings.VM {
		return problemAnswer(problem.New(problem.KindHomeUnreachable, problem.ExecutionUnknown, "this node is not the home of the key"))
	}
	key := callerKeyID(k.key)
	lifetime := v.Index.Catalogue().Idempotency.TokenLifetime()
	if idempotency.CheckCallerKey(t.keyHomes.age(t.config.Now()), lifetime) == idempotency.VerdictProcessTooNew {
		if a := t.requests.lookup(ctx, key); a != nil {
			return a
		}
		return problemAnswer(problem.New(problem.KindHomeLost, problem.ExecutionUnknown, "the home of the key has started, or the list of homes has changed, too short a time ago"))
	}
	return t.runOnce(ctx, key, k)
}

// sendToHome forwards a request to its home node.
func (t *Traffic) sendToHome(ctx context.Context, vm string, k *keyedCall, m call.Meta) *answer {
	member := t.config.View.Load().ByVM[vm]
	if member == nil {
		return problemAnswer(problem.New(problem.KindHomeUnreachable, problem.ExecutionUnknown, "VM %s is not known here", vm))
	}
	ctx, cancel := context.WithTimeout(ctx, k.timeout)
	m.Attempt = newID()
	m.RemainingMs = uint32(max(k.timeout.Milliseconds(), 1))
	m.Method = k.request.method
	m.Fingerprint = k.request.fingerprint
	m.Correlation = k.correlation
	m.Service = k.route.Service
	m.Clock = t.config.Log.Clock().Tick()
	a, _, err := t.peers.send(ctx, member.PeerAddress, &m, k.request)
	if err != nil {
		cancel()
		return problemAnswer(problem.New(problem.KindHomeUnreachable, problem.ExecutionUnknown, "VM %s, the home of the key, can't be reached", vm))
	}
	return a.onClose(cancel)
}

// serveKeyedForPeer serves a keyed request that another node forwarded to this
// node as its home.
func (t *Traffic) serveKeyedForPeer(ctx context.Context, m *call.Meta, q *request) *answer {
	v := t.config.View.Load()
	if v.Index == nil {
		return problemAnswer(problem.New(problem.KindNotReady, problem.ExecutionUnknown, "no catalogue is in force yet"))
	}
	route := v.Index.Route(m.Method, q.path)
	if route == nil || route.Internal {
		return problemAnswer(problem.New(problem.KindNoRoute, problem.ExecutionUnknown, "no route for %s %s", m.Method, q.path))
	}
	k := &keyedCall{key: m.Token, route: route, request: q, timeout: m.Remaining(), correlation: m.Correlation}
	if m.OwnKey != "" {
		k.key = m.OwnKey
		return t.runCallerKeyAtHome(ctx, k)
	}
	decoded, err := t.tokens.Decode(m.Token)
	if err != nil || decoded.VM != t.config.Settings.VM {
		return problemAnswer(problem.New(problem.KindHomeLost, problem.ExecutionUnknown, "this node did not issue the token"))
	}
	return t.runAtHome(ctx, k, decoded)
}

// serveFence serves a caller's request to fence a token.
func (t *Traffic) serveFence(w http.ResponseWriter, r *http.Request) {
	correlation := correlationOf(r)
	a := t.fenceToken(r.Context(), r.Header.Get(call.HeaderIdempotencyKey), correlation)
	if a.problem != nil {
		t.refuse(w, a.problem, correlation)
		return
	}
	a.writeToCaller(w, r.Method)
}

// fenceToken fences the request of a token at its home node.
func (t *Traffic) fenceToken(ctx context.Context, text, correlation string) *answer {
	decoded, err := t.tokens.Decode(text)
	if err != nil {
		return problemAnswer(problem.New(problem.KindBadCall, problem.ExecutionUnknown, "Idempotency-Key: %v", err))
	}
	if decoded.VM == t.config.Settings.VM {
		return t.fenceAtHome(ctx, text)
	}
	k := &keyedCall{
		key:         text,
		route:       &catalogue.Route{},
		request:     &request{method: http.MethodPost, target: PathFence, path: PathFence, header: http.Header{}},
		timeout:     fenceTimeout,
		correlation: correlation,
	}
	return t.sendToHome(ctx, decoded.VM, k, call.Meta{Token: text, Fence: true})
}

// fenceTimeout bounds the wait for the home of a fenced request.
const fenceTimeout = 5 * time.Second

// fenceAtHome fences a request whose home is this node.
func (t *Traffic) fenceAtHome(ctx context.Context, text string) *answer {
	decoded, err := t.tokens.Decode(text)
	switch {
	case err != nil:
		return problemAnswer(problem.New(problem.KindBadCall, problem.ExecutionUnknown, "Idempotency-Key: %v", err))
	case decoded.VM != t.config.Settings.VM || decoded.Incarnation != t.config.Incarnation:
		return problemAnswer(problem.New(problem.KindHomeLost, problem.ExecutionUnknown, "the process that issued the token is gone"))
	case !idempotency.AbsenceProvesNotRun(t.config.Now(), decoded.IssuedAt(), decoded.Lifetime()):
		return t.answerExpired(ctx, decoded)
	default:
		return t.requests.queryOrFence(ctx, decoded.Key, idempotency.UnknownFingerprint)
	}
}

// homeOf returns the home of a caller's key by rendezvous hashing (highest random
// weight) over the catalogue's list. Nodes with the same catalogue always agree
// on it.
func homeOf(key string, homes []string) string {
	best := homes[0]
	var weight uint64
	for _, home := range homes {
		if hash := xxhash.Sum64String(home + "\x00" + key); hash > weight {
			best, weight = home, hash
		}
	}
	return best
}

// callerKeyID returns the record key for a key chosen by the caller.
func callerKeyID(key string) idempotency.Key {
	var k idempotency.Key
	putUint64(k[:8], xxhash.Sum64String(key))
	putUint64(k[8:], xxhash.Sum64String("own "+key))
	return k
}

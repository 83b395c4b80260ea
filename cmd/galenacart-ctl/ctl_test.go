package main

import (
	"bytes"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/galenacart/galenacart/internal/event"
	"github.com/galenacart/galenacart/internal/problem"
	"github.com/galenacart/galenacart/internal/status"
)

const catalogueText = `{
  "classes": [{"name": "booking", "owner": "desk"}],
  "services": [{"name": "stock", "owner": "store", "class": "booking", "limits": {"slots": 10, "connections": 200, "queue": 50}}],
  "routes": [{"name": "book", "owner": "desk", "class": "booking", "service": "stock", "method": "POST", "path": "/bookings", "idempotent": false, "limits": {"timeoutMs": 2000}}],
  "retry": {"budgetPerRequest": 3, "percentOfSuccesses": 10},
  "idempotency": {"tokenLifetimeMs": 60000, "recordsMax": 100, "answerBytesMax": 1024}
}`

const settingsText = `{
  "vm": "a-1", "availabilityZone": "a", "region": "r", "service": "stock",
  "callerAddress": "127.0.0.1:7000", "peerAddress": "127.0.0.1:7001", "outboundAddress": "127.0.0.1:7002",
  "endpointAddress": "127.0.0.1:7003", "statusAddress": "127.0.0.1:7004",
  "platformAddresses": ["127.0.0.1:9000"], "fleetKey": "0123456789abcdef"
}`

const logText = `{"level":"info","process":"node","vm":"a-1","time":"2026-01-02T03:04:05.000001Z","clock":7,"event":1001,"name":"call_refused","correlation":"c-1"}
{"level":"info","process":"node","vm":"a-1","time":"2026-01-02T03:04:06.000001Z","clock":9,"event":1001,"name":"call_refused","correlation":"c-2"}
`

type result struct {
	code           int
	stdout, stderr string
}

func runCtl(args ...string) result {
	var stdout, stderr bytes.Buffer
	code := run(args, &stdout, &stderr)
	return result{code, stdout.String(), stderr.String()}
}

func writeTemp(t *testing.T, name, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

// serveStatus serves the status of a node on loopback and returns its address.
func serveStatus(t *testing.T, n status.Node) string {
	t.Helper()
	refusals := status.NewRefusals()
	refusals.Add(time.Now(), "c-1", problem.KindOverloaded, "lookups are shed from rank 1 on")
	ring := event.NewRing(10)
	_, err := ring.Write([]byte(strings.SplitAfter(logText, "\n")[0]))
	require.NoError(t, err)
	s := status.New(status.Config{
		Identity: n, Refusals: refusals, Events: ring,
		Catalogue: func() status.Catalogue { return n.Catalogue },
	})
	server := httptest.NewServer(s.Handler())
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

func TestCommands(t *testing.T) {
	good, settings := writeTemp(t, "c.json", catalogueText), writeTemp(t, "s.json", settingsText)
	changed := writeTemp(t, "d.json", strings.Replace(catalogueText, `"slots": 10`, `"slots": 12`, 1))
	warned := writeTemp(t, "w.json", strings.Replace(catalogueText, `"connections": 200`, `"connections": 2`, 1))
	bad := writeTemp(t, "b.json", strings.Replace(catalogueText, `"slots": 10`, `"slots": -1, "spots": 2`, 1))
	captured := writeTemp(t, "nodes.log", `{"level":"info","process":"node","vm":"vm-1","time":"2026-01-01T00:00:01.7Z","clock":9,"event":1001,"name":"call_refused","correlation":"r1","route":"view","kind":"overloaded","ran":"no"}`+"\n")
	plot := filepath.Join(t.TempDir(), "losses.svg")
	tests := []struct {
		desc           string
		args           []string
		code           int
		stdout, stderr string
	}{
		{"good catalogue", []string{"check-catalogue", good}, 0, "accepted (classes: 1, services: 1, routes: 1)", ""},
		{"catalogue with a warning", []string{"check-catalogue", warned}, 0, "warning: /services/0/limits/connections", ""},
		{"bad catalogue", []string{"check-catalogue", bad}, 1, "", "b.json: /services/0/limits/spots: unknown field; known are slots, connections, queue"},
		{"missing catalogue", []string{"check-catalogue", good + ".none"}, 1, "", "c.json.none: no such file"},
		{"empty catalogue", []string{"check-catalogue", writeTemp(t, "e.json", "")}, 1, "", "e.json: the document is empty"},
		{"good settings", []string{"check-settings", settings}, 0, "accepted: VM a-1, service stock, availability zone a", ""},
		{"catalogue as settings", []string{"check-settings", good}, 1, "", "c.json: /classes: unknown field"},
		{"missing settings", []string{"check-settings", settings + ".none"}, 1, "", "s.json.none: no such file"},
		{"difference", []string{"diff", good, changed}, 0, "changed service stock: limits.slots: 10 → 12", ""},
		{"no difference", []string{"diff", good, good}, 0, "no difference", ""},
		{"difference to a bad catalogue", []string{"diff", good, bad}, 1, "", "b.json: /services/0"},
		{"missing file argument", []string{"diff", good}, 2, "", "want OLD and NEW"},
		{"no file", []string{"check-catalogue"}, 2, "", "want one FILE"},
		{"unknown command", []string{"apply"}, 2, "", "Usage: galenacart-ctl"},
		{"unknown flag", []string{"status", "-force"}, 2, "", "galenacart-ctl status [-nodes FILE]"},
		{"version", []string{"version"}, 0, "", ""},
		{"help", []string{"help"}, 0, "check-catalogue", ""},
		{"help flag", []string{"-h"}, 0, "", "check-catalogue"},
		{"no node", []string{"status"}, 2, "", "no node to query"},
		{"bad address", []string{"status", "a-1"}, 2, "", `have "a-1"; want an IP address and a port`},
		{"no log", []string{"timeline"}, 2, "", "want at least one LOG"},
		{"no event", []string{"timeline", good}, 1, "", "no event found"},
		{"no correlation", []string{"why"}, 2, "", "want a CORRELATION"},
		{"losses", []string{"losses", "-plot", plot, captured}, 0, "overloaded, ran: no", ""},
		{"crashes", []string{"crashes", captured}, 0, "crashes  requests  held back", ""},
		{"crashes without a file", []string{"crashes"}, 2, "", "want one CAPTURED file"},
		{"crashes of a file without events", []string{"crashes", good}, 1, "", "no event found"},
		{"losses without a file", []string{"losses"}, 2, "", "want one CAPTURED file"},
		{"losses with a negative step", []string{"losses", "-step", "-1s", captured}, 2, "", "a step that is not negative"},
		{"losses of a file without events", []string{"losses", good}, 1, "", "no event found"},
		{"losses as an unknown picture format", []string{"losses", "-plot", plot + ".gif", captured}, 1, "", "want .svg or .png"},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			r := runCtl(tt.args...)
			require.Equal(t, tt.code, r.code, "%+v", r)
			require.Contains(t, r.stdout, tt.stdout)
			require.Contains(t, r.stderr, tt.stderr)
		})
	}
}

func TestStatus(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	t.Run("nodes", func(t *testing.T) {
		a := serveStatus(t, status.Node{VM: "a-1", AvailabilityZone: "a", Service: "stock", Catalogue: status.Catalogue{Revision: 7}})
		b := serveStatus(t, status.Node{VM: "b-1", AvailabilityZone: "b", Service: "stock", Catalogue: status.Catalogue{Revision: 6, Refused: 7, Reason: "no such\n\tclass"}})
		list := writeTemp(t, "nodes", "# nodes\n"+a+"\n\n"+b+"\n")

		all := runCtl("status", "-nodes", list)
		require.Equal(t, 0, all.code, all)
		require.Regexp(t, `(?m)^a +a-1 +stock +7 +serving +1 `, all.stdout)
		require.Regexp(t, `(?m)^b +b-1 +stock +6 +refused revision 7: no such class +1 `, all.stdout)

		rollout := runCtl("status", "-nodes", list, "-revision", "7")
		require.Equal(t, 1, rollout.code)
		require.Regexp(t, `(?m)^a +1 +0 +0$`, rollout.stdout)
		require.Regexp(t, `(?m)^b +0 +0 +1$`, rollout.stdout)
		require.Regexp(t, `(?m)^b-1 +revision 6 is in force, revision 7 was refused: no such class$`, rollout.stdout)
		require.Equal(t, 0, runCtl("status", "-revision", "6", a, b).code)

		vms := writeTemp(t, "vms.json", `{"vms":[{"vm":"a-1","peerAddress":"127.0.0.1:1"}]}`)
		_, port, _ := strings.Cut(a, ":")
		require.Contains(t, runCtl("status", "-json", "-vms", vms, "-port", port).stdout, `"vm": "a-1"`)
		require.Equal(t, 2, runCtl("status", "-vms", vms).code)

		unreachable := runCtl("status", a, "127.0.0.1:1")
		require.Equal(t, 1, unreachable.code)
		require.Regexp(t, `\(no answer\) +127\.0\.0\.1:1 .*refused`, unreachable.stdout)
	})
}

func TestWhy(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	t.Run("nodes", func(t *testing.T) {
		a := serveStatus(t, status.Node{VM: "a-1", AvailabilityZone: "a"})
		known := runCtl("why", "c-1", a)
		require.Equal(t, 0, known.code)
		require.Regexp(t, `a-1 +overloaded +Shed to keep more important work: lookups are shed`, known.stdout)
		require.Regexp(t, `7 +03:04:05\.000 +a-1 node +1001 call_refused +c-1`, known.stdout)
		unknown := runCtl("why", "c-9", a)
		require.Equal(t, 1, unknown.code)
		require.Contains(t, unknown.stdout, "no node has refusals or events of c-9 (answered: 1 of 1)")
	})
}

func TestTimeline(t *testing.T) {
	log := writeTemp(t, "node.log", logText+"panic\n")
	text := runCtl("timeline", "-correlation", "c-2", log)
	require.Equal(t, 0, text.code)
	require.Contains(t, text.stdout, "c-2")
	require.NotContains(t, text.stdout, "c-1")
	require.Contains(t, text.stderr, "lines that are not events: 1")

	page := filepath.Join(t.TempDir(), "page.html")
	require.Equal(t, 0, runCtl("timeline", "-html", page, log).code)
	html, err := os.ReadFile(page)
	require.NoError(t, err)
	require.Contains(t, string(html), "Time line (events: 2, processes: 1)")
	require.Equal(t, 1, runCtl("timeline", "-html", filepath.Join(page, "x"), log).code)
}

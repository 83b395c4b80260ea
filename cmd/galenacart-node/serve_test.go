package main

import (
	"bufio"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/galenacart/galenacart/internal/program"
	"github.com/galenacart/galenacart/internal/testaddress"
)

// runAsProgramVariable is the environment variable that makes the test binary run as
// the program.
const runAsProgramVariable = "GALENACART_NODE_AS_PROGRAM"

func TestMain(m *testing.M) {
	if os.Getenv(runAsProgramVariable) != "" {
		os.Exit(program.New(programName).Run(os.Args[1:], register))
	}
	os.Exit(m.Run())
}

// nodeProcess is a running node process with its event output.
type nodeProcess struct {
	t       *testing.T
	command *exec.Cmd
	events  *bufio.Scanner
}

func startNode(t *testing.T, settings string) *nodeProcess {
	t.Helper()
	p := &nodeProcess{t: t, command: exec.Command(os.Args[0], "serve", "-settings", settings)}
	p.command.Env = append(os.Environ(), runAsProgramVariable+"=1")
	out, err := p.command.StderrPipe()
	require.NoError(t, err)
	p.events = bufio.NewScanner(out)
	require.NoError(t, p.command.Start())
	t.Cleanup(func() { _ = p.command.Process.Kill() }) // has an effect only if the test failed
	return p
}

// waitForEvent reads events until one with the given name.
func (p *nodeProcess) waitForEvent(event string) {
	p.t.Helper()
	for p.events.Scan() {
		if strings.Contains(p.events.Text(), `"name":"`+event+`"`) {
			return
		}
	}
	require.Fail(p.t, "the node ended before the event", event)
}

func (p *nodeProcess) signal(s syscall.Signal) {
	p.t.Helper()
	require.NoError(p.t, p.command.Process.Signal(s))
}

func writeSettings(t *testing.T, file, status, stopTimeout string) {
	t.Helper()
	text := fmt.Sprintf(`{"vm":"vm-1","availabilityZone":"a","region":"r","service":"one","clientAddress":%q,"peerAddress":%q,
		"readinessAddress":%q,"endpointAddress":%q,"statusAddress":%q,"platformAddress":%q,"stopTimeout":%q,
		"retryRatio":0.2,"retryAllowance":49,"retryWindow":"10s"}`, addresses[0], addresses[1], addresses[2], addresses[3],
		status, addresses[4], stopTimeout)
	require.NoError(t, os.WriteFile(file, []byte(text), 0o600))
}

// addresses are the client, peer and readiness addresses of the node, and those of the
// endpoint and the platform, on which nothing listens.
var addresses = [...]string{
	testaddress.New(), testaddress.New(), testaddress.New(), testaddress.New(), testaddress.New(),
}

// TestNodeSurvivesSettingsReload sends SIGHUP directly after the start, with an
// unchanged, a changed and an invalid file, and then starts the planned stop.
func TestNodeSurvivesSettingsReload(t *testing.T) {
	file, status := filepath.Join(t.TempDir(), "node.json"), testaddress.New()
	writeSettings(t, file, status, "1s")
	p := startNode(t, file)
	p.waitForEvent("node_started")
	p.signal(syscall.SIGHUP)
	writeSettings(t, file, status, "2s")
	p.signal(syscall.SIGHUP)
	p.waitForEvent("settings_reloaded")
	require.NoError(t, os.WriteFile(file, []byte("{"), 0o600))
	p.signal(syscall.SIGHUP)
	p.waitForEvent("settings_refused")

	r, err := http.Get("http://" + status + "/status")
	require.NoError(t, err)
	require.NoError(t, r.Body.Close())
	require.Equal(t, http.StatusOK, r.StatusCode)
	p.signal(syscall.SIGTERM)
	p.waitForEvent("node_stopped")
	require.NoError(t, p.command.Wait())
}

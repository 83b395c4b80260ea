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

// asProgram is the environment variable that makes the test binary the program.
const asProgram = "GALENACART_NODE_AS_PROGRAM"

func TestMain(m *testing.M) {
	if os.Getenv(asProgram) != "" {
		os.Exit(program.New(name).Run(os.Args[1:], register))
	}
	os.Exit(m.Run())
}

// process is a running node with its events.
type process struct {
	t       *testing.T
	command *exec.Cmd
	events  *bufio.Scanner
}

func startNode(t *testing.T, settings string) *process {
	t.Helper()
	p := &process{t: t, command: exec.Command(os.Args[0], "serve", "-settings", settings)}
	p.command.Env = append(os.Environ(), asProgram+"=1")
	out, err := p.command.StderrPipe()
	require.NoError(t, err)
	p.events = bufio.NewScanner(out)
	require.NoError(t, p.command.Start())
	t.Cleanup(func() { _ = p.command.Process.Kill() }) // it has ended unless the test failed
	return p
}

// await reads events up to one with a name.
func (p *process) await(event string) {
	p.t.Helper()
	for p.events.Scan() {
		if strings.Contains(p.events.Text(), `"name":"`+event+`"`) {
			return
		}
	}
	require.Fail(p.t, "the node ended before its event", event)
}

func (p *process) signal(s syscall.Signal) {
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

// addresses are those of the node, its endpoint and the store; nobody listens on
// the last two.
var addresses = [...]string{
	testaddress.New(), testaddress.New(), testaddress.New(), testaddress.New(), testaddress.New(),
}

// TestSignalsOfTheSettingsEndNoNode sends SIGHUP at once after the start, with and
// without a change of the file, and then stops the node as planned.
func TestSignalsOfTheSettingsEndNoNode(t *testing.T) {
	file, status := filepath.Join(t.TempDir(), "node.json"), testaddress.New()
	writeSettings(t, file, status, "1s")
	p := startNode(t, file)
	p.await("node_started")
	p.signal(syscall.SIGHUP)
	writeSettings(t, file, status, "2s")
	p.signal(syscall.SIGHUP)
	p.await("settings_reloaded")
	require.NoError(t, os.WriteFile(file, []byte("{"), 0o600))
	p.signal(syscall.SIGHUP)
	p.await("settings_refused")

	r, err := http.Get("http://" + status + "/status")
	require.NoError(t, err)
	require.NoError(t, r.Body.Close())
	require.Equal(t, http.StatusOK, r.StatusCode)
	p.signal(syscall.SIGTERM)
	p.await("node_stopped")
	require.NoError(t, p.command.Wait())
}

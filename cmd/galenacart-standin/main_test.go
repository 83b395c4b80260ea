package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenacart/galenacart/internal/standin/endpoint"
	"github.com/galenacart/galenacart/internal/standin/platform"
	"github.com/galenacart/galenacart/internal/standin/truth"
	"github.com/galenacart/galenacart/internal/testaddress"
)

// runAsProgramVariable makes the test binary run as the program.
const runAsProgramVariable = "GALENACART_STANDIN_TEST_RUN"

func TestMain(m *testing.M) {
	if os.Getenv(runAsProgramVariable) != "" {
		os.Exit(run())
	}
	os.Exit(m.Run())
}

// command returns the program as a command that is not started yet.
func command(t *testing.T, args ...string) (*exec.Cmd, *strings.Builder) {
	t.Helper()
	c := exec.CommandContext(t.Context(), os.Args[0], args...)
	c.Env = append(os.Environ(), runAsProgramVariable+"=1")
	out := &strings.Builder{}
	c.Stdout = out
	c.Stderr = out
	return c, out
}

// exitCode runs the program and returns its exit code and output.
func exitCode(t *testing.T, args ...string) (int, string) {
	t.Helper()
	c, out := command(t, args...)
	_ = c.Run() // the exit code is checked instead
	return c.ProcessState.ExitCode(), out.String()
}

func writeSettings(t *testing.T, settings any) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), "settings.json")
	text, err := json.Marshal(settings)
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(file, text, 0o600))
	return file
}

func endpointSettings(t *testing.T) *endpoint.Settings {
	t.Helper()
	return &endpoint.Settings{
		VM: "vm-1", Service: "stock", Slots: 1,
		EndpointAddress: testaddress.New(),
		AdminAddress:    testaddress.New(),
		TruthFile:       filepath.Join(t.TempDir(), "truth.jsonl"),
		Routes:          []endpoint.Route{{Path: "/", ServiceTime: endpoint.ServiceTime{MeanMs: 1}}},
	}
}

// startProcess starts the program and waits until it answers requests to url.
func startProcess(t *testing.T, url string, args ...string) *exec.Cmd {
	t.Helper()
	c, out := command(t, args...)
	require.NoError(t, c.Start())
	require.Eventually(t, func() bool {
		_, err := fetch(url, nil)
		return err == nil
	}, 20*time.Second, 10*time.Millisecond, out)
	return c
}

func fetch(url string, header http.Header) (string, error) {
	r, err := http.NewRequest(http.MethodGet, url, nil)
	if err != nil {
		return "", err
	}
	r.Header = header
	r.Close = true
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return "", err
	}
	defer func() { _ = response.Body.Close() }() // the body was read
	body, err := io.ReadAll(response.Body)
	return string(body), err
}

func TestBadUsage(t *testing.T) {
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = taken.Close() })
	addressInUse := endpointSettings(t)
	addressInUse.EndpointAddress = taken.Addr().String()
	noSlots := endpointSettings(t)
	noSlots.Slots = 0
	noKey := &platform.Settings{
		Address: testaddress.New(), AdminAddress: testaddress.New(),
		Keys: []platform.KeyFile{{Key: "catalogue", File: "none.json"}},
	}
	tests := []struct {
		desc string
		args []string
		code int
		out  string
	}{
		{"help", []string{"help"}, 0, "run one endpoint"},
		{"version", []string{"version"}, 0, "."},
		{"unknown command", []string{"sideways"}, 2, "Usage"},
		{"missing settings flag", []string{"endpoint"}, 2, "-settings"},
		{"extra argument", []string{"endpoint", "-settings", "none.json", "x"}, 2, `"x"`},
		{"missing settings file", []string{"platform", "-settings", "none.json"}, 2, "none.json"},
		{"invalid settings", []string{"endpoint", "-settings", writeSettings(t, noSlots)}, 2, "/slots"},
		{"valid settings checked", []string{"endpoint", "-check", "-settings", writeSettings(t, endpointSettings(t))}, 0, ""},
		{"address in use", []string{"endpoint", "-settings", writeSettings(t, addressInUse)}, 1, "endpointAddress " + addressInUse.EndpointAddress},
		{"missing key file", []string{"platform", "-settings", writeSettings(t, noKey)}, 1, "none.json"},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			code, out := exitCode(t, test.args...)
			require.Equal(t, test.code, code, out)
			require.Contains(t, out, test.out)
		})
	}
}

func TestEndpointCrashExitCodeAndLog(t *testing.T) {
	s := endpointSettings(t)
	url := "http://" + s.EndpointAddress
	c := startProcess(t, url+endpoint.HealthPath, "endpoint", "-settings", writeSettings(t, s))
	_, err := fetch(url+"/a", http.Header{endpoint.HeaderCrash: {"1"}})
	require.Error(t, err)
	_ = c.Wait() // the exit code is checked instead
	require.Equal(t, endpoint.CrashExitCode, c.ProcessState.ExitCode())
	records, err := truth.ReadFiles(s.TruthFile)
	require.NoError(t, err)
	require.Equal(t, truth.Crashed, records[len(records)-1].Kind)
}

func TestEndpointDrainsOnSignal(t *testing.T) {
	s := endpointSettings(t)
	s.Routes[0].ServiceTime.MeanMs = 300
	url := "http://" + s.EndpointAddress
	c := startProcess(t, url+endpoint.HealthPath, "endpoint", "-settings", writeSettings(t, s))
	done := make(chan error, 1)
	go func() {
		_, err := fetch(url+"/a", nil)
		done <- err
	}()
	started := func() bool {
		records, err := truth.ReadFiles(s.TruthFile)
		return err == nil && records[len(records)-1].Kind == truth.Started
	}
	require.Eventually(t, started, 20*time.Second, time.Millisecond)
	require.NoError(t, c.Process.Signal(syscall.SIGTERM))
	require.NoError(t, <-done)
	require.NoError(t, c.Wait())
	records, err := truth.ReadFiles(s.TruthFile)
	require.NoError(t, err)
	require.Equal(t, truth.ProcessStopped, records[len(records)-1].Kind)
	require.Equal(t, truth.Finished, records[len(records)-2].Kind)
}

func TestPlatformStopsOnSignal(t *testing.T) {
	file := filepath.Join(t.TempDir(), "catalogue.json")
	require.NoError(t, os.WriteFile(file, []byte("{}"), 0o600))
	s := &platform.Settings{
		Address: testaddress.New(), AdminAddress: testaddress.New(),
		Keys: []platform.KeyFile{{Key: "catalogue", File: file}},
	}
	url := "http://" + s.Address + "/v1/keys/catalogue"
	c := startProcess(t, url, "platform", "-settings", writeSettings(t, s))
	body, err := fetch(url, nil)
	require.NoError(t, err)
	require.Equal(t, "{}", body)
	require.NoError(t, c.Process.Signal(syscall.SIGTERM))
	require.NoError(t, c.Wait())
}

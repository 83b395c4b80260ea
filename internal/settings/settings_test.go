package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenacart/galenacart/internal/docpage"
)

const valid = `{
  "vm": "stord-a-1", "availabilityZone": "stord-a", "region": "vestland", "service": "stock",
  "callerAddress": "127.0.0.1:7000", "peerAddress": "127.0.0.1:7001", "outboundAddress": "127.0.0.1:7002",
  "endpointAddress": "127.0.0.1:7003", "statusAddress": "127.0.0.1:7004",
  "platformAddresses": ["127.0.0.1:9000"], "fleetKey": "0123456789abcdef"
}`

func TestValid(t *testing.T) {
	n, err := Decode("s.json", []byte(valid))
	require.NoError(t, err)
	require.Equal(t, "stord-a-1", n.VM)
	require.Equal(t, 20*time.Second, n.StopTimeout())
	require.Equal(t, time.Second, n.ConnectionSilence())
	n.StopTimeoutMs, n.ConnectionSilenceMs = 1500, 250
	require.Equal(t, 1500*time.Millisecond, n.StopTimeout())
	require.Equal(t, 250*time.Millisecond, n.ConnectionSilence())
	require.Equal(t, n.PeerAddress, n.EffectivePeerListenAddress())
	require.Nil(t, n.Dialer(time.Second).LocalAddr)
	n.PeerListenAddress, n.DialFromAddress = "127.0.0.1:7005", "127.0.0.7"
	require.Equal(t, "127.0.0.1:7005", n.EffectivePeerListenAddress())
	require.Equal(t, "127.0.0.7:0", n.Dialer(time.Second).LocalAddr.String())
}

func TestFaultsNamePointerAndFix(t *testing.T) {
	tests := []struct {
		desc, from, to string
		want           []string
	}{
		{"unknown field", `"vm":`, `"machine": "x", "vm":`, []string{"/machine: unknown field; known are vm,"}},
		{"wrong case", `"vm":`, `"VM":`, []string{`/VM: unknown field; want "vm"`}},
		{"duplicate key", `"vm":`, `"vm": "x", "vm":`, []string{"/vm: duplicate key"}},
		{"wrong type", `"stord-a-1"`, `7`, []string{"/vm: have a number; want text"}},
		{"missing", `"service": "stock",`, ``, []string{"/service: the value is missing or zero; want one"}},
		{"no port", `127.0.0.1:7000`, `127.0.0.1`, []string{`/callerAddress: have "127.0.0.1"; want an IP address and a port`}},
		{"port 0", `127.0.0.1:7000`, `127.0.0.1:0`, []string{`/callerAddress: have "127.0.0.1:0"; want an IP address and a port`}},
		{"host name", `127.0.0.1:9000`, `platform:9000`, []string{`/platformAddresses/0: have "platform:9000"; want an IP`}},
		{"shared address", `127.0.0.1:7004`, `127.0.0.1:7001`, []string{"/statusAddress: 127.0.0.1:7001 is the address of /peerAddress already"}},
		{"outbound address not loopback", `127.0.0.1:7002`, `10.0.0.1:7002`, []string{`/outboundAddress: have "10.0.0.1:7002"; want a loopback`}},
		{"source address with a port", `"vm":`, `"dialFromAddress": "127.0.0.1:1", "vm":`, []string{`/dialFromAddress: have "127.0.0.1:1"; want an IP address without a port`}},
		{"no platform address", `["127.0.0.1:9000"]`, `[]`, []string{"/platformAddresses: have 0 entries; want at least 1 entries"}},
		{"short key", `0123456789abcdef`, `0123`, []string{"/fleetKey: have 4 characters; want at least 16 characters"}},
		{"negative limit", `"vm":`, `"stopTimeoutMs": -1, "vm":`, []string{"/stopTimeoutMs: have -1; want at least 0"}},
		{"unknown level", `"vm":`, `"logLevel": "loud", "vm":`, []string{`/logLevel: have "loud"; want one of debug, info, warn, error`}},
		{
			"several faults", `"vm": "stord-a-1", "availabilityZone": "stord-a",`, ``,
			[]string{"/vm: the value is missing", "/availabilityZone: the value is missing"},
		},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			data := strings.Replace(valid, tt.from, tt.to, 1)
			require.NotEqual(t, valid, data)
			_, err := Decode("s.json", []byte(data))
			require.Error(t, err)
			got := strings.Split(err.Error(), "\n")
			require.Len(t, got, len(tt.want), err.Error())
			for i, want := range tt.want {
				require.True(t, strings.HasPrefix(got[i], "s.json: "+want), "want %s, have %s", want, got[i])
			}
		})
	}
}

func TestPageListsEveryField(t *testing.T) {
	table := docpage.StructTable(t, "settings.go", "Node")
	docpage.Section(t, "../../docs/OPERATIONS.md", "settings", table)
	docpage.Section(t, "../../docs/OPERATIONS.md", "mesh settings", docpage.StructTable(t, "mesh.go", "Mesh"))
}

func TestReadFile(t *testing.T) {
	dir := t.TempDir()
	_, err := ReadFile(filepath.Join(dir, "none.json"))
	require.ErrorIs(t, err, os.ErrNotExist)
	require.ErrorContains(t, err, "none.json")

	file := filepath.Join(dir, "s.json")
	require.NoError(t, os.WriteFile(file, nil, 0o600))
	_, err = ReadFile(file)
	require.EqualError(t, err, file+": the document is empty; want an object")

	require.NoError(t, os.WriteFile(file, make([]byte, maxBytes+1), 0o600))
	_, err = ReadFile(file)
	require.ErrorContains(t, err, "too large; want at most 65536 bytes")
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte(valid))
	f.Add([]byte(`{"vm":1}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		n, err := Decode("f", data)
		require.NotEqual(t, err == nil, n == nil)
	})
}

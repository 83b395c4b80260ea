package endpoint

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/galenacart/galenacart/internal/strictjson"
)

func validSettings() *Settings {
	s := testSettings()
	s.EndpointAddress = "127.0.0.1:1"
	s.AdminAddress = "127.0.0.1:2"
	return s
}

func TestDecodeRejectsInvalidSettings(t *testing.T) {
	children := []Child{{Service: "stock", Method: "GET", Path: "/a"}}
	tests := []struct {
		desc      string
		change    func(*Settings)
		wantError string
	}{
		{"valid", func(*Settings) {}, ""},
		{"no slots", func(s *Settings) { s.Slots = 0 }, "/slots: the value is missing or zero; want at least 1"},
		{"negative queue", func(s *Settings) { s.QueueMax = -1 }, "/queueMax: have -1"},
		{"no routes", func(s *Settings) { s.Routes = nil }, "/routes: "},
		{"address is a host name", func(s *Settings) { s.EndpointAddress = "localhost:1" }, "/endpointAddress: have \"localhost:1\"; want an IP address"},
		{"unknown distribution", func(s *Settings) { s.Routes[0].ServiceTime.Distribution = "uniform" }, "/routes/0/serviceTime/distribution: have \"uniform\""},
		{"unknown routing mode", func(s *Settings) { s.Downstream.RoutingMode = "pigeon" }, "/downstream/way: have \"pigeon\"; want one of [node direct]"},
		{"children without a routing mode", func(s *Settings) { s.Routes[0].Children = children }, "/routes/0/children"},
		{"node without an address", func(s *Settings) { s.Downstream.RoutingMode = RoutingModeNode }, "/downstream/outboundAddress"},
		{"direct without endpoints", func(s *Settings) {
			s.Routes[0].Children = children
			s.Downstream.RoutingMode = RoutingModeDirect
		}, "/routes/0/children/0/service"},
		{"direct with an invalid address", func(s *Settings) {
			s.Downstream.RoutingMode = RoutingModeDirect
			s.Downstream.Endpoints = []ServiceEndpoints{{Service: "stock", Addresses: []string{"x"}}}
		}, "/downstream/endpoints/0/addresses/0"},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			s := validSettings()
			test.change(s)
			text, err := json.Marshal(s)
			require.NoError(t, err)
			_, err = Decode("e.json", text)
			if test.wantError == "" {
				require.NoError(t, err)
				return
			}
			faults := &strictjson.Faults{}
			require.ErrorAs(t, err, &faults)
			require.ErrorContains(t, err, test.wantError)
		})
	}
}

func TestDecodeAppliesDefaults(t *testing.T) {
	s := validSettings()
	s.Downstream.RoutingMode = RoutingModeDirect
	text, err := json.Marshal(s)
	require.NoError(t, err)
	s, err = Decode("e.json", text)
	require.NoError(t, err)
	require.Equal(t, defaultConnections, s.Connections)
	require.Equal(t, Constant, s.Routes[0].ServiceTime.Distribution)
	require.Equal(t, defaultDirectTries, s.Downstream.Tries)
	require.Equal(t, defaultDirectTryTimeoutMs, s.Downstream.TryTimeoutMs)
}

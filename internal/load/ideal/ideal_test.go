package ideal

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/galenacart/galenacart/internal/catalogue"
	"github.com/galenacart/galenacart/internal/load/deployment"
	"github.com/galenacart/galenacart/internal/load/experiment"
)

// TestPhaseRates uses Dørvakt's stock service: 30 slots of 100 ms, so 300 calls
// a second, and 60 when it is five times slower.
func TestPhaseRates(t *testing.T) {
	cat, err := catalogue.ReadFile("../../../examples/dorvakt/catalogue.json")
	require.NoError(t, err)
	d, err := deployment.ReadFile("../../../examples/dorvakt/deployment.json")
	require.NoError(t, err)
	slow := []experiment.Slow{{Service: "stock", Factor: 5}}
	rates := func(booking, fault, part float64) []experiment.Rate {
		return []experiment.Rate{
			{Route: "book-repair", PerSecond: booking}, {Route: "fault-log", PerSecond: fault}, {Route: "spare-part", PerSecond: part},
		}
	}
	cases := []struct {
		desc            string
		phase           experiment.Phase
		booking, lookup float64
	}{
		{"capacity suffices for all", experiment.Phase{Rates: rates(15, 80, 105)}, 15, 185},
		{"lookups get the remaining capacity", experiment.Phase{Rates: rates(100, 200, 200)}, 100, 200},
		{"bookings alone exceed the capacity", experiment.Phase{Rates: rates(400, 10, 10)}, 300, 0},
		{"slower", experiment.Phase{Rates: rates(45, 240, 315), Slow: slow}, 45, 15},
		{"bookings alone exceed the capacity when slower", experiment.Phase{Rates: rates(120, 100, 0), Slow: slow}, 60, 0},
		{"nothing offered", experiment.Phase{Rates: rates(0, 0, 0)}, 0, 0},
		{"upstream calls hold their slots", experiment.Phase{
			Rates: rates(45, 0, 0), Slow: []experiment.Slow{{Service: "dispatch", Factor: 1000}},
		}, 200 / 10.11, 0}, // contracts: 200 slots of 10 ms and of dispatch's 10 s and stock's 100 ms
	}
	for _, c := range cases {
		t.Run(c.desc, func(t *testing.T) {
			got, err := PhaseRates(cat, d, &c.phase)
			require.NoError(t, err)
			require.Equal(t, "booking", got[0].Class)
			require.Equal(t, "lookup", got[1].Class)
			require.InDelta(t, c.booking, got[0].PerSecond, 1e-6)
			require.InDelta(t, c.lookup, got[1].PerSecond, 1e-6)
		})
	}
	_, err = PhaseRates(cat, d, &experiment.Phase{Rates: []experiment.Rate{{Route: "no-such-route"}}})
	require.Error(t, err)
}

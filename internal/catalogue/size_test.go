package catalogue

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// largestCatalogue returns a catalogue of the largest planned deployment: 190 services in chains
// 12 deep, with ten routes each.
func largestCatalogue() *Catalogue {
	const services, routes, depth = 190, 10, 12
	c := &Catalogue{
		Classes:     []Class{{Name: "booking", Owner: "desk"}, {Name: "lookup", Owner: "field"}},
		Retry:       Retry{BudgetPerRequest: 3, PercentOfSuccesses: 10},
		Idempotency: Idempotency{TokenLifetimeMs: 60000, RecordsMax: 10000, AnswerBytesMax: 1024},
	}
	for i := range services {
		s := Service{Name: fmt.Sprintf("service-%d", i), Owner: "team", Class: "lookup", Limits: ServiceLimits{Slots: 50, Connections: 400, Queue: 100}}
		if (i+1)%depth != 0 && i+1 < services {
			s.Callees = []string{fmt.Sprintf("service-%d", i+1)}
		}
		c.Services = append(c.Services, s)
		for j := range routes {
			c.Routes = append(c.Routes, Route{
				Name: fmt.Sprintf("route-%d-%d", i, j), Owner: "team", Class: []string{"booking", "lookup"}[j%2], Service: s.Name, Method: "GET",
				Path: fmt.Sprintf("/s%d/r%d", i, j), Idempotent: true, Limits: RouteLimits{TimeoutMs: 1000},
			})
		}
	}
	return c
}

func TestLargestDeploymentFits(t *testing.T) {
	data, err := json.Marshal(largestCatalogue())
	require.NoError(t, err)
	require.Less(t, len(data), MaxBytes/2)
	c, err := Decode("c.json", data)
	require.NoError(t, err)
	require.Empty(t, c.Warnings())
}

func BenchmarkDecodeLargest(b *testing.B) {
	data, err := json.Marshal(largestCatalogue())
	require.NoError(b, err)
	b.ReportMetric(float64(len(data)), "bytes")
	b.ReportAllocs()
	for b.Loop() {
		_, _ = Decode("c.json", data)
	}
}

func BenchmarkIndexLargest(b *testing.B) {
	c := largestCatalogue()
	b.ReportAllocs()
	for b.Loop() {
		_ = NewIndex(c)
	}
}

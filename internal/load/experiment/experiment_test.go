package experiment

import (
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenacart/galenacart/internal/catalogue"
)

func readCatalogue(t *testing.T, name string) *catalogue.Catalogue {
	t.Helper()
	c, err := catalogue.ReadFile("../../../examples/" + name + "/catalogue.json")
	require.NoError(t, err)
	return c
}

func TestDemoExperimentsAreValid(t *testing.T) {
	for name, overloads := range map[string]int{"dorvakt": 1, "zampa": 1, "twice": 2} {
		example := name
		if name == "twice" {
			example = "dorvakt"
		}
		e, err := ReadFile("../../../demo/overload-"+name+".json", readCatalogue(t, example))
		require.NoError(t, err)
		kinds := map[Kind]int{}
		for _, p := range e.Phases {
			kinds[p.Kind]++
			require.Equal(t, p.Kind == Overload, len(p.Slow) > 0, p.Name)
		}
		require.Positive(t, kinds[Steady])
		require.Equal(t, overloads, kinds[Overload])
		require.Equal(t, overloads, kinds[Recovery])
		if overloads == 1 {
			require.Less(t, 2*e.Duration(), 60*time.Second, "the demo runs it twice within 90 s, including the build")
		}
	}
}

func TestDecodeRejectsInvalidInput(t *testing.T) {
	data, err := os.ReadFile("../../../demo/overload-dorvakt.json")
	require.NoError(t, err)
	good := string(data)
	cases := []struct {
		desc, old, changed, want string
	}{
		{"unknown field", `"seed"`, `"seeed"`, "seeed"},
		{"unknown route", `"route": "spare-part"`, `"route": "spare"`, `/phases/0/rates/2/route: no route of callers in the catalogue: "spare"`},
		{"internal route", `"route": "spare-part"`, `"route": "door-parts"`, "/phases/0/rates/2/route"},
		{"unknown service", `"service": "stock"`, `"service": "stick"`, `/phases/2/slow/0/service: no such service: "stick"`},
		{"unknown kind", `"kind": "steady"`, `"kind": "steadfast"`, `/phases/1/kind: have "steadfast"; want one of warmup, steady`},
		{"too long", `"durationMs": 3000`, `"durationMs": 1799000`, "/phases"},
		{"no limit on requests", `"maxRequests": 50000`, `"maxRequests": 0`, "/maxRequests: the value is missing or zero; want at least 1"},
		{"negative rate", `"perSecond": 15`, `"perSecond": -1`, "/phases/0/rates/0/perSecond: have -1; want at least 0"},
		{"no sends", `"maxSends": 10`, `"maxSends": 0`, "/resends/maxSends: the value is missing or zero; want at least 1"},
		{"empty", good, "", "the document is empty"},
	}
	for _, c := range cases {
		t.Run(c.desc, func(t *testing.T) {
			require.Contains(t, good, c.old)
			_, err := Decode("x.json", []byte(strings.Replace(good, c.old, c.changed, 1)), readCatalogue(t, "dorvakt"))
			require.ErrorContains(t, err, "x.json: ")
			require.ErrorContains(t, err, c.want)
		})
	}
}

func TestRetryPolicyOfPhase(t *testing.T) {
	aggressive := RetryPolicy{MaxSends: 10, PauseMs: 50, SendTimeoutMs: 1000}
	e := &Experiment{RetryPolicy: RetryPolicy{MaxSends: 1}, Phases: []Phase{{}, {RetryPolicy: &aggressive}}}
	require.Equal(t, 1, e.RetryPolicyOf(0).MaxSends)
	require.Equal(t, 50*time.Millisecond, e.RetryPolicyOf(1).Pause())
	require.Equal(t, time.Second, e.RetryPolicyOf(1).SendTimeout())
}

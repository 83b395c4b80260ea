package catalogue

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/galenacart/galenacart/internal/docpage"
)

const valid = `{
  "classes": [{"name": "booking", "owner": "desk"}, {"name": "lookup", "owner": "field"}],
  "services": [
    {"name": "contracts", "owner": "sales", "class": "lookup", "limits": {"slots": 50, "connections": 400, "queue": 100}, "callees": ["dispatch"]},
    {"name": "dispatch", "owner": "desk", "class": "lookup", "limits": {"slots": 60, "connections": 500, "queue": 100}, "callees": ["stock"]},
    {"name": "stock", "owner": "store", "class": "lookup", "limits": {"slots": 10, "connections": 200, "queue": 50}}
  ],
  "routes": [
    {"name": "book", "owner": "desk", "class": "booking", "service": "contracts", "method": "POST", "path": "/bookings", "idempotent": false, "limits": {"timeoutMs": 2000}},
    {"name": "reserve", "owner": "store", "class": "booking", "service": "stock", "method": "POST", "path": "/stock/reserve", "idempotent": false, "internal": true, "limits": {"timeoutMs": 1000}},
    {"name": "plan", "owner": "desk", "class": "lookup", "service": "dispatch", "method": "GET", "path": "/plan", "idempotent": true, "limits": {"timeoutMs": 1500}}
  ],
  "retry": {"budgetPerRequest": 3, "percentOfSuccesses": 10},
  "idempotency": {"tokenLifetimeMs": 60000, "recordsMax": 10000, "answerBytesMax": 1024}
}`

func decodeValid(t *testing.T) *Catalogue {
	t.Helper()
	c, err := Decode("c.json", []byte(valid))
	require.NoError(t, err)
	return c
}

func TestValid(t *testing.T) {
	c := decodeValid(t)
	require.Len(t, c.Routes, 3)
	require.Empty(t, c.Warnings())
}

func TestExamplesAreAccepted(t *testing.T) {
	files, err := filepath.Glob("../../examples/*/catalogue.json")
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for _, file := range files {
		_, err := ReadFile(file)
		require.NoError(t, err)
	}
}

func TestFaultsNamePointerAndFix(t *testing.T) {
	tests := []struct {
		desc, from, to string
		want           []string
	}{
		{"unknown field", `"retry":`, `"retries": {}, "retry":`, []string{"/retries: unknown field; known are classes,"}},
		{"duplicate key", `"retry":`, `"retry": {}, "retry":`, []string{"/retry: duplicate key"}},
		{"wrong type", `"slots": 50`, `"slots": "50"`, []string{"/services/0/limits/slots: have text; want a whole number"}},
		{"negative limit", `"queue": 50`, `"queue": -1`, []string{"/services/2/limits/queue: have -1; want at least 0"}},
		{"limit missing", `"slots": 10, `, ``, []string{"/services/2/limits/slots: the value is missing or zero; want at least 1"}},
		{"owner missing", `"owner": "store", "class": "booking"`, `"class": "booking"`, []string{"/routes/1/owner: the value is missing"}},
		{"class missing", `"class": "booking", "service": "contracts"`, `"service": "contracts"`, []string{"/routes/0/class: the value is missing"}},
		{"unknown class", `"class": "booking", "service": "contracts"`, `"class": "x", "service": "contracts"`, []string{`/routes/0/class: no such class: "x"; want a name from /classes`}},
		{"unknown class of a service", `"owner": "sales", "class": "lookup"`, `"owner": "sales", "class": "x"`, []string{`/services/0/class: no such class: "x"`}},
		{"unknown service", `"service": "stock"`, `"service": "stick"`, []string{`/routes/1/service: no such service: "stick"; want a name from /services`}},
		{"unknown callee", `["stock"]`, `["stock", "depot"]`, []string{`/services/1/callees/1: no such service: "depot"`}},
		{"duplicate callee", `["stock"]`, `["stock", "stock"]`, []string{"/services/1/callees: have 2 entries; want each entry once"}},
		{"duplicate class", `"name": "lookup", "owner": "field"`, `"name": "booking", "owner": "field"`, []string{
			`/classes/1/name: the class "booking" is defined twice`, "/services/0/class: no such class", "/services/1/class: no such class",
			"/services/2/class: no such class", "/routes/2/class: no such class",
		}},
		{"duplicate service", `{"name": "dispatch"`, `{"name": "stock"`, []string{
			`/services/2/name: the service "stock" is defined twice`, `/services/0/callees/0: no such service: "dispatch"`,
			`/routes/2/service: no such service`, "/services/1/callees/0: the services call each other in a cycle: stock → stock",
		}},
		{"duplicate route", `"name": "reserve"`, `"name": "book"`, []string{`/routes/1/name: the route "book" is defined twice`}},
		{"duplicate method and path", `/stock/reserve`, `/bookings`, []string{`/routes/1/path: POST /bookings is the route "book" already`}},
		{"cycle", `"queue": 50}}`, `"queue": 50}, "callees": ["contracts"]}`, []string{
			"/services/2/callees/0: the services call each other in a cycle: contracts → dispatch → stock → contracts;",
		}},
		{"calls itself", `["stock"]`, `["dispatch", "stock"]`, []string{"/services/1/callees/0: the services call each other in a cycle: dispatch → dispatch;"}},
		{"unknown method", `"method": "GET"`, `"method": "get"`, []string{`/routes/2/method: have "get"; want one of GET, HEAD, POST,`}},
		{"path without slash", `"/plan"`, `"plan"`, []string{`/routes/2/path: have "plan"; want a text that starts with /`}},
		{"unclean path", `"/plan"`, `"/a/../plan"`, []string{`/routes/2/path: have "/a/../plan"; want a clean path such as "/plan"`}},
		{"query in path", `"/plan"`, `"/plan?x"`, []string{`/routes/2/path: have "/plan?x"; want a clean path`}},
		{"reserved path", `"/plan"`, `"/galenacart/plan"`, []string{"/routes/2/path: paths below /galenacart/ belong to the nodes"}},
		{"name with a line break", `"name": "plan"`, `"name": "pl\nan"`, []string{`/routes/2/name: have "pl\nan"; want no control characters`}},
		{"limit too large", `"budgetPerRequest": 3`, `"budgetPerRequest": 101`, []string{"/retry/budgetPerRequest: have 101; want at most 100"}},
		{"section empty", `{"tokenLifetimeMs": 60000, "recordsMax": 10000, "answerBytesMax": 1024}`, `{}`, []string{
			"/idempotency/tokenLifetimeMs: the value is missing or zero; want at least 1000", "/idempotency/recordsMax: the value is missing",
		}},
		{"status out of range", `"queue": 50}}`, `"queue": 50}, "refusalStatuses": [200]}`, []string{"/services/2/refusalStatuses/0: have 200; want at least 400"}},
		{"several faults", `"budgetPerRequest": 3, "percentOfSuccesses": 10`, `"budgetPerRequest": -3, "percentOfSuccesses": 110`, []string{
			"/retry/budgetPerRequest: have -3; want at least 0", "/retry/percentOfSuccesses: have 110; want at most 100",
		}},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			data := strings.Replace(valid, tt.from, tt.to, 1)
			require.NotEqual(t, valid, data)
			_, err := Decode("c.json", []byte(data))
			require.Error(t, err)
			got := strings.Split(err.Error(), "\n")
			require.Len(t, got, len(tt.want), err.Error())
			for i, want := range tt.want {
				require.True(t, strings.HasPrefix(got[i], "c.json: "+want), "want %s, have %s", want, got[i])
			}
		})
	}
}

func TestFiles(t *testing.T) {
	file := filepath.Join(t.TempDir(), "c.json")
	_, err := ReadFile(file)
	require.ErrorIs(t, err, os.ErrNotExist)

	require.NoError(t, os.WriteFile(file, nil, 0o600))
	_, err = ReadFile(file)
	require.EqualError(t, err, file+": the document is empty; want an object")

	padding := strings.Repeat(" ", 2<<20)
	require.NoError(t, os.WriteFile(file, []byte(valid+padding), 0o600))
	_, err = ReadFile(file)
	require.EqualError(t, err, file+": the document is too large; want at most 1048576 bytes")
	_, err = Decode("c.json", []byte(valid+padding))
	require.EqualError(t, err, "c.json: the document is too large; want at most 1048576 bytes")
}

func TestWarnings(t *testing.T) {
	tests := []struct {
		desc, from, to, want string
	}{
		{"unused class", `{"name": "lookup", "owner": "field"}`, `{"name": "lookup", "owner": "field"}, {"name": "spare", "owner": "x"}`, `/classes/2: no route and no service has the class "spare"`},
		{"unreachable service", `"service": "dispatch"`, `"service": "contracts"`, `/services/1: no route leads to the service "dispatch"`},
		{"fewer connections than slots", `"connections": 200`, `"connections": 9`, "/services/2/limits/connections: fewer than the 10 slots"},
		{"GET that is not idempotent", `"idempotent": true`, `"idempotent": false`, "/routes/2/idempotent: a GET that is not idempotent"},
		{"timeout longer than that of any caller", `"timeoutMs": 1000`, `"timeoutMs": 1501`, "/routes/1/limits/timeoutMs: 1501 ms; its callers have at most 1500 ms"},
		{"token shorter than timeout", `"tokenLifetimeMs": 60000`, `"tokenLifetimeMs": 1999`, "/routes/0/limits/timeoutMs: longer than /idempotency/tokenLifetimeMs"},
		{"internal without callers", `"service": "contracts", "method"`, `"service": "contracts", "internal": true, "method"`, `/routes/0/internal: no service has "contracts"`},
		{"large total size of kept answers", `"answerBytesMax": 1024`, `"answerBytesMax": 1024, "answersTotalBytesMax": 102400000`, "/idempotency/answersTotalBytesMax: kept answers may take 97 MiB"},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			c, err := Decode("c.json", []byte(strings.Replace(valid, tt.from, tt.to, 1)))
			require.NoError(t, err)
			warnings := c.Warnings()
			require.Len(t, warnings, 1, "%v", warnings)
			require.True(t, strings.HasPrefix(warnings[0].Pointer+": "+warnings[0].Reason, tt.want), "%v", warnings[0])
		})
	}
}

// newChain returns a catalogue of services that form a single chain of calls.
func newChain(t *testing.T, length int) *Catalogue {
	t.Helper()
	c := decodeValid(t)
	c.Services, c.Routes = nil, c.Routes[:1]
	c.Routes[0].Service = "s0"
	for i := range length {
		s := Service{Name: fmt.Sprintf("s%d", i), Owner: "o", Class: "lookup", Limits: ServiceLimits{Slots: 1, Connections: 1}}
		if i < length-1 {
			s.Callees = []string{fmt.Sprintf("s%d", i+1)}
		}
		c.Services = append(c.Services, s)
	}
	require.Empty(t, c.Check())
	return c
}

func TestDeepChainIsAWarning(t *testing.T) {
	pointers := func(c *Catalogue) []string {
		var list []string
		for _, w := range c.Warnings() {
			list = append(list, w.Pointer)
		}
		return list
	}
	require.NotContains(t, pointers(newChain(t, 12)), "/services/0/callees")
	require.Contains(t, pointers(newChain(t, 13)), "/services/0/callees")
}

// TestCyclesAgreeWithReference compares the check with a reference algorithm, which
// removes services without callees until none is left or all the rest call another.
func TestCyclesAgreeWithReference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 6).Draw(t, "services")
		c := &Catalogue{}
		callees := make([]map[int]bool, n)
		for i := range n {
			callees[i] = map[int]bool{}
			s := Service{Name: fmt.Sprint(i)}
			for j := range n {
				if rapid.IntRange(0, 3).Draw(t, "edge") == 0 {
					s.Callees = append(s.Callees, fmt.Sprint(j))
					callees[i][j] = true
				}
			}
			c.Services = append(c.Services, s)
		}
		for range n {
			for i := range n {
				if len(callees[i]) > 0 {
					continue
				}
				for j := range n {
					delete(callees[j], i)
				}
			}
		}
		cyclic := false
		for i := range n {
			cyclic = cyclic || len(callees[i]) > 0
		}
		found := false
		for _, f := range c.Check() {
			found = found || strings.Contains(f.Reason, "cycle")
		}
		require.Equal(t, cyclic, found)
	})
}

func TestPageListsEveryField(t *testing.T) {
	var b strings.Builder
	for _, name := range []string{"Catalogue", "Class", "Service", "ServiceLimits", "Route", "RouteLimits", "Retry", "Idempotency"} {
		fmt.Fprintf(&b, "**%s**\n\n%s\n", name, docpage.StructTable(t, "types.go", name))
	}
	docpage.Section(t, "../../docs/OPERATIONS.md", "catalogue", b.String())
}

func TestDiff(t *testing.T) {
	before, after := decodeValid(t), decodeValid(t)
	require.Empty(t, Diff(before, after))
	after.Classes[0], after.Classes[1] = after.Classes[1], after.Classes[0]
	after.Services[2].Limits.Slots = 12
	after.Routes = after.Routes[1:]
	after.Routes = append(after.Routes, Route{Name: "cancel"})
	after.Retry.BudgetPerRequest = 2
	after.KeyHomes = []string{"vm-1"}
	after.Routes[1].Idempotent = false
	var lines []string
	risks := 0
	for _, change := range Diff(before, after) {
		lines = append(lines, change.String())
		if change.Risk() != "" {
			risks++
		}
	}
	require.Equal(t, 5, risks, "two ranks, a removed route, a route no longer idempotent, the key homes")
	require.Equal(t, []string{
		"changed class lookup: rank: 1 → 0",
		"changed class booking: rank: 0 → 1",
		"changed service stock: limits.slots: 10 → 12",
		"changed route plan: idempotent: true → false",
		"added route cancel",
		"removed route book",
		"changed retry: budgetPerRequest: 3 → 2",
		"changed keyHomes: list: [] → [vm-1]",
	}, lines)
}

func TestIndexFindsTheLongestPrefix(t *testing.T) {
	x := NewIndex(&Catalogue{Routes: []Route{
		{Name: "all", Method: "GET", Path: "/"},
		{Name: "doors", Method: "GET", Path: "/doors"},
		{Name: "log", Method: "GET", Path: "/doors/log"},
	}})
	for path, want := range map[string]string{"/doors": "doors", "/doors/7": "doors", "/doors/log/3": "log", "/doorstep": "all", "/": "all"} {
		require.Equal(t, want, x.Route("GET", path).Name, path)
	}
	require.Nil(t, x.Route("POST", "/doors"))
}

// FuzzDecode checks that an accepted catalogue can be indexed and is unchanged by a
// round trip.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(valid))
	f.Add([]byte(`{"classes":[{}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		c, err := Decode("f", data)
		if err != nil {
			require.Nil(t, c)
			return
		}
		_ = c.Warnings()
		again, err := json.Marshal(c)
		require.NoError(t, err)
		if len(again) > MaxBytes {
			return
		}
		same, err := Decode("f", again)
		require.NoError(t, err)
		require.Empty(t, Diff(c, same))
	})
}

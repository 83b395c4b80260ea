package delta

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

type testDocument struct {
	Classes []string       `json:"classes"`
	Routes  []int          `json:"routes"`
	Retry   map[string]int `json:"retry"`
}

func drawDocument(t *rapid.T, label string) testDocument {
	return testDocument{
		Classes: rapid.SliceOfN(rapid.SampledFrom([]string{"a", "b", "c<&>", "d\n"}), 1, 6).Draw(t, label+" classes"),
		Routes:  rapid.SliceOfN(rapid.IntRange(0, 30), 1, 30).Draw(t, label+" routes"),
		Retry:   map[string]int{"budget": rapid.IntRange(0, 3).Draw(t, label+" budget")},
	}
}

func mustSplit(t require.TestingT, s testDocument) *Document {
	data, err := json.MarshalIndent(s, "", "  ")
	require.NoError(t, err)
	d, err := Split(data)
	require.NoError(t, err)
	return d
}

func TestDiffAndApplyRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		before, after := drawDocument(t, "before"), drawDocument(t, "after")
		base, target := mustSplit(t, before), mustSplit(t, after)
		got, err := Apply(base, Diff(base, target))
		require.NoError(t, err)
		require.Equal(t, target.Hash(), got.Hash())
		joined, err := got.Join()
		require.NoError(t, err)
		var decoded testDocument
		require.NoError(t, json.Unmarshal(joined, &decoded))
		require.Equal(t, after, decoded)
	})
}

func TestSingleEditAddsOneEntry(t *testing.T) {
	s := testDocument{Classes: []string{"booking"}, Retry: map[string]int{}}
	for i := range 1000 {
		s.Routes = append(s.Routes, i)
	}
	base := mustSplit(t, s)
	s.Routes = append([]int{}, s.Routes...)
	s.Routes[500] = 5000
	x := Diff(base, mustSplit(t, s))
	require.Len(t, x.Entries, 1)
	require.Len(t, x.Steps, 3)
}

func TestApplyRejectsInvalidDeltas(t *testing.T) {
	base := mustSplit(t, testDocument{Classes: []string{"a"}, Routes: []int{1}})
	good := Diff(base, mustSplit(t, testDocument{Classes: []string{"a"}, Routes: []int{2}}))
	cases := []struct {
		desc   string
		change func(*Delta)
	}{
		{"other base", func(x *Delta) { x.Base = Hash{1} }},
		{"other content", func(x *Delta) { x.Entries[0] = []byte("[routes\n3") }},
		{"entry missing", func(x *Delta) { x.Entries = nil }},
		{"entry too many", func(x *Delta) { x.Entries = append(x.Entries, []byte("x")) }},
		{"copy beyond the base", func(x *Delta) { x.Steps[0].Count = 1 << 31 }},
		{"copy without end", func(x *Delta) {
			for range MaxEntries {
				x.Steps = append(x.Steps, Step{Count: 3})
			}
		}},
	}
	for _, c := range cases {
		t.Run(c.desc, func(t *testing.T) {
			x := &Delta{Base: good.Base, Hash: good.Hash}
			x.Steps = append(x.Steps, good.Steps...)
			x.Entries = append(x.Entries, good.Entries...)
			c.change(x)
			_, err := Apply(base, x)
			require.Error(t, err)
		})
	}
}

func FuzzSplit(f *testing.F) {
	f.Add([]byte(`{"classes":["a","b"],"retry":{"x":1},"n":null}`))
	f.Add([]byte(`{"[a":1,"a":[]}`))
	f.Add([]byte(`[]`))
	f.Fuzz(func(t *testing.T, data []byte) {
		d, err := Split(data)
		if err != nil {
			return
		}
		rebuilt, err := Apply(Empty, Diff(Empty, d))
		require.NoError(t, err)
		require.Equal(t, d.Hash(), rebuilt.Hash())
		_, _ = d.Join()
	})
}

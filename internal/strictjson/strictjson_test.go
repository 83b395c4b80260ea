package strictjson

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

type shelf struct {
	Name   string         `json:"name"`
	Count  int8           `json:"count"`
	Size   uint16         `json:"size,omitempty"`
	Weight float64        `json:"weight"`
	Cold   bool           `json:"cold"`
	Parts  []shelf        `json:"parts,omitempty"`
	Label  *string        `json:"label,omitempty"`
	Notes  map[string]int `json:"notes,omitempty"`
	Free   any            `json:"free,omitempty"`
	Hidden int            `json:"-"`
}

func faultsOf(t require.TestingT, err error) []Fault {
	var f *Faults
	require.True(t, errors.As(err, &f), "have %v", err)
	require.NotEmpty(t, f.List)
	return f.List
}

func TestFaults(t *testing.T) {
	deep := strings.Repeat(`{"parts":[`, 20) + strings.Repeat("]}", 20)
	tests := []struct {
		desc, data string
		want       []string // pointer, a space, the start of the reason
	}{
		{"empty", "", []string{" the document is empty"}},
		{"white space", " \n\t", []string{" the document is empty"}},
		{"not UTF-8", "{\"name\":\"\xff\"}", []string{" the text is not UTF-8"}},
		{"not an object", "[1]", []string{" have a list; want an object"}},
		{"null", "null", []string{" null is not allowed; want an object"}},
		{"text after the document", "{}\n x", []string{" line 2, column 2: text after the end"}},
		{"second document", "{}{}", []string{" line 1, column 3: text after the end"}},
		{"truncated", `{"name":"a"`, []string{" line 1, column 11: unexpected end"}},
		{"missing comma", "{\"name\":\"a\"\n\"cold\":true}", []string{" line 2, column 1: invalid character"}},
		{"trailing comma", `{"parts":[{},]}`, []string{" line 1, column 14: invalid character"}},
		{"unknown field", `{"colour":1}`, []string{"/colour unknown field; known are name, count,"}},
		{"wrong case", `{"Name":"a"}`, []string{`/Name unknown field; want "name"`}},
		{"hidden field", `{"Hidden":1}`, []string{"/Hidden unknown field"}},
		{"escaped name", `{"a/b~c":1}`, []string{"/a~1b~0c unknown field"}},
		{"duplicate key", `{"name":"a","name":"b"}`, []string{"/name duplicate key"}},
		{"duplicate key in a map", `{"notes":{"a":1,"a":2}}`, []string{"/notes/a duplicate key"}},
		{"duplicate key in a free value", `{"free":[{"a":1,"a":2}]}`, []string{"/free/0/a duplicate key"}},
		{"null member", `{"count":null}`, []string{"/count null is not allowed; want a whole number of 8 bits"}},
		{"too deep", deep, []string{"/parts/0"}},
		{
			"wrong types, all listed",
			`{"name":1,"count":"x","size":-1,"weight":true,"cold":"no","parts":{},"label":[],"notes":{"a":{}}}`,
			[]string{
				"/name have a number; want text", "/count have text; want a whole number of 8 bits",
				"/size have -1; want a whole number from 0, of 16 bits", "/weight have true or false; want a number",
				"/cold have text; want true or false", "/parts have an object; want a list", "/label have a list; want text",
				"/notes/a have an object; want a whole number",
			},
		},
		{
			"numbers out of range",
			`{"count":128,"size":1.5,"parts":[{"count":1e2},{"weight":1e999}]}`,
			[]string{"/count have 128", "/size have 1.5", "/parts/0/count have 1e2", "/parts/1/weight have 1e999"},
		},
		{
			"faults before a syntax error",
			`{"colour":1,"parts":[{"name":2},}`,
			[]string{"/colour unknown", "/parts/0/name have a number", " line 1, column 33: invalid character"},
		},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			err := Decode("f.json", []byte(tt.data), &shelf{})
			faults := faultsOf(t, err)
			require.Len(t, faults, len(tt.want), "have %v", faults)
			for i, want := range tt.want {
				require.True(t, strings.HasPrefix(faults[i].Pointer+" "+faults[i].Reason, want), "want %s, have %v", want, faults[i])
			}
			require.Equal(t, len(tt.want), strings.Count(err.Error(), "f.json: "))
		})
	}
}

func TestFaultsAreBounded(t *testing.T) {
	data := "{" + strings.TrimSuffix(strings.Repeat(`"name":1,`, 10000), ",") + "}"
	err := Decode("f", []byte(data), &shelf{})
	require.Len(t, faultsOf(t, err), maxFaults+1)
	require.Equal(t, maxLines, strings.Count(err.Error(), "\n"))
	require.Contains(t, err.Error(), "f: and 1 more")
	long := `{"` + strings.Repeat("é", 5000) + `":1}`
	require.Less(t, len(faultsOf(t, Decode("f", []byte(long), &shelf{}))[0].Pointer), 2*maxNameBytes)
}

func TestRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := shelf{
			Name:   rapid.String().Draw(t, "name"),
			Count:  rapid.Int8().Draw(t, "count"),
			Size:   rapid.Uint16().Draw(t, "size"),
			Weight: rapid.Float64Range(-1e9, 1e9).Draw(t, "weight"),
			Notes:  rapid.MapOfN(rapid.StringMatching(`[a-z/~]*`), rapid.Int(), 1, 4).Draw(t, "notes"),
			Parts:  []shelf{{Cold: true}},
		}
		data, err := json.Marshal(want)
		require.NoError(t, err)
		have := shelf{}
		require.NoError(t, Decode("f", data, &have))
		require.Equal(t, want, have)
	})
}

func TestReadFile(t *testing.T) {
	file := filepath.Join(t.TempDir(), "f.json")
	require.NoError(t, os.WriteFile(file, []byte("12345"), 0o600))
	data, err := ReadFile(file, 5)
	require.NoError(t, err)
	require.Equal(t, "12345", string(data))
	_, err = ReadFile(file, 4)
	require.ErrorContains(t, err, file+": the document is too large; want at most 4 bytes")
	_, err = ReadFile(file+".none", 4)
	require.ErrorContains(t, err, "f.json.none: no such file")
	require.ErrorIs(t, err, os.ErrNotExist)
}

// FuzzDecode checks that Decode accepts only what encoding/json accepts, with the same
// result, and that an error always contains a fault.
func FuzzDecode(f *testing.F) {
	for _, seed := range []string{`{"name":"a","parts":[{"count":1}]}`, `{"NAME":1}`, `[`, ``, `{"free":{"a":[1,null]}}`, `{"a":}`} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		have, want := shelf{}, shelf{}
		err := Decode("f", data, &have)
		if err != nil {
			faultsOf(t, err)
			return
		}
		require.NoError(t, json.Unmarshal(data, &want))
		require.Equal(t, want, have)
	})
}

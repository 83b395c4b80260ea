package problem

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/galenacart/galenacart/internal/docpage"
)

func page() string {
	var b strings.Builder
	b.WriteString(`# Errors

An answer that is not the endpoint's own has the media type ` + "`" + ContentType + "`" + ` (RFC 9457) and
names its kind and whether an endpoint ran the call, in its body and in headers:

| Header | Value |
|---|---|
| ` + "`" + HeaderKind + "`" + ` | the kind, from the table below |
| ` + "`" + HeaderRan + "`" + ` | ` + "`no`: not run and never will be; `yes`: it was run; `unknown`: nobody can tell" + ` |
| ` + "`Retry-After`" + ` | seconds after which another try may help |

"Retryable" says that the same request may be sent again, with its idempotency key if it has
one. A non-idempotent call without a key is sent again only after ` + "`no`" + `. The list is closed;
a kind never changes its name. This page is printed by the test of ` + "`internal/problem`" + `.

| Kind | Status | Retryable | Retry-After | Meaning |
|---|---|---|---|---|
`)
	for _, k := range Kinds() {
		row := k.Definition()
		retryable, after := "no", "-"
		if row.Retryable {
			retryable = "yes"
		}
		if row.RetryAfterSeconds > 0 {
			after = strconv.Itoa(row.RetryAfterSeconds) + " s"
		}
		fmt.Fprintf(&b, "| `%s` | %d | %s | %s | %s. |\n", row.Name, row.Status, retryable, after, row.Title)
	}
	return b.String()
}

func TestPageAgreesWithTable(t *testing.T) {
	docpage.Equal(t, "../../docs/ERRORS.md", page())
}

func TestEachKindHasARow(t *testing.T) {
	names := map[string]bool{}
	for _, k := range Kinds() {
		row := k.Definition()
		require.Regexp(t, `^[a-z_]+$`, row.Name, "kind %d", k)
		require.False(t, names[row.Name], "name %s is used twice", row.Name)
		names[row.Name] = true
		require.GreaterOrEqual(t, row.Status, 400, row.Name)
		require.LessOrEqual(t, row.Status, 599, row.Name)
		require.NotEmpty(t, row.Title, row.Name)
		if row.Retryable {
			require.Positive(t, row.RetryAfterSeconds, "%s: a caller that may send again needs a time", row.Name)
		}
		parsed, ok := ParseKind(row.Name)
		require.True(t, ok)
		require.Equal(t, k, parsed)
	}
	require.Len(t, names, int(kindCount)-1)
	_, ok := ParseKind("no such kind")
	require.False(t, ok)
	require.Equal(t, KindInternal.Definition(), Kind(200).Definition())
}

func TestEachKindIsWritten(t *testing.T) {
	for _, k := range Kinds() {
		for _, ran := range []Execution{NotExecuted, Executed, ExecutionUnknown} {
			w := httptest.NewRecorder()
			Write(w, New(k, ran, "cause %d", 7), "c-1")
			row := k.Definition()
			require.Equal(t, row.Status, w.Code)
			require.Equal(t, row.Name, w.Header().Get(HeaderKind))
			require.Equal(t, ran, ParseExecution(w.Header().Get(HeaderRan)))
			require.Equal(t, row.RetryAfterSeconds > 0, w.Header().Get("Retry-After") != "")
			require.Equal(t, strconv.Itoa(w.Body.Len()), w.Header().Get("Content-Length"))
			body := Body{}
			require.NoError(t, json.Unmarshal(w.Body.Bytes(), &body))
			require.Equal(t, Body{
				Type: "urn:galenacart:problem:" + row.Name, Title: row.Title, Status: row.Status, Detail: "cause 7",
				Kind: row.Name, Ran: ran.String(), Retryable: row.Retryable, Correlation: "c-1",
			}, body)
		}
	}
}

func TestWords(t *testing.T) {
	require.Equal(t, ExecutionUnknown, ParseExecution("perhaps"), "what can't be read is never taken for a promise")
	require.Equal(t, "unknown", Execution(9).String())
	require.Equal(t, "timeout (ran: unknown): late", New(KindTimeout, ExecutionUnknown, "late").Error())
	require.Equal(t, http.StatusOK, KindNone.Definition().Status)
	require.NotContains(t, Kinds(), KindNone)
}

package endpointlink

import (
	"fmt"
	"io"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestInvalidStatusIsNoAnswer checks that a response whose status is outside the range of HTTP (RFC
// 9110, 15) is none: the request may have run, whatever else the response says.
func TestInvalidStatusIsNoAnswer(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "600", "700", "999"} {
		for desc, header := range map[string]string{
			"without a seal":                       "",
			"with a seal":                          "Seal: s\r\n",
			"with a statement that it was not run": "Not-Started: 1\r\n",
		} {
			t.Run(status+" "+desc, func(t *testing.T) {
				e := serve(t, func(w io.Writer, _ int) bool {
					return writeResponse(w, fmt.Sprintf("HTTP/1.1 %s Odd\r\nRequest-Id: 1\r\n%sContent-Length: 2\r\n\r\nok", status, header))
				})
				p := New(e.address, testHeaders(), Bounds{})
				defer p.Close()
				for range 2 {
					a, outcome, err := p.Do(t.Context(), newCall("1"))
					require.Equal(t, Unknown, outcome, "%v", err)
					require.ErrorIs(t, err, ErrInvalidStatus)
					require.Nil(t, a)
				}
				require.EqualValues(t, 2, e.connections.Load(), "what follows on the connection is not trusted")
			})
		}
	}
}

// TestBoundaryStatusesAreAnswers checks the ends of the range.
func TestBoundaryStatusesAreAnswers(t *testing.T) {
	for _, status := range []int{200, 599} {
		e := serve(t, func(w io.Writer, _ int) bool {
			return writeResponse(w, fmt.Sprintf("HTTP/1.1 %d Odd\r\nRequest-Id: 1\r\nSeal: s\r\nContent-Length: 2\r\n\r\nok", status))
		})
		p := New(e.address, testHeaders(), Bounds{})
		defer p.Close()
		a, outcome, err := p.Do(t.Context(), newCall("1"))
		require.NoError(t, err)
		require.Equal(t, Answered, outcome)
		require.Equal(t, status, a.Status)
	}
}

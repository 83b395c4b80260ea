package endpoint

import (
	"context"
	"net/http"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

func TestSilencedConnectionsDoNotRespond(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := startEndpoint(t, func(s *Settings) {
			s.Slots = 10
			s.Connections = 2
		}, Options{})
		require.Equal(t, http.StatusOK, e.post("/warm").status) // leaves an idle connection

		// Silences one connection in use and one idle connection.
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		inUse := e.doAsync(e.request(http.MethodPost, "/in-use").WithContext(ctx))
		time.Sleep(500 * time.Millisecond)
		idle, err := e.listener.dial(t.Context(), "", "")
		require.NoError(t, err)
		synctest.Wait()
		require.Equal(t, 2, e.SilenceConnections())
		require.Zero(t, e.Status().Connections)

		// A new connection works although both silenced ones are still open.
		e.client.CloseIdleConnections()
		fresh := e.post("/fresh")
		require.Equal(t, http.StatusOK, fresh.status)
		require.Equal(t, time.Second, fresh.elapsed)

		// The call completed but the caller received no response.
		require.Equal(t, finishedKinds, e.kinds("/in-use"))
		require.ErrorIs(t, (<-inUse).err, context.DeadlineExceeded)

		// The idle connection remains open to its peer beyond the idle timeout.
		require.NoError(t, idle.SetReadDeadline(time.Now().Add(2*idleTimeout)))
		_, err = idle.Read(make([]byte, 1))
		require.ErrorIs(t, err, os.ErrDeadlineExceeded)
		require.NoError(t, idle.Close())
	})
}

func TestSilencedConnectionHidesDisconnect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := startEndpoint(t, nil, Options{})
		ctx, cancel := context.WithTimeout(t.Context(), 600*time.Millisecond)
		defer cancel()
		call := e.doAsync(e.request(http.MethodPost, "/a").WithContext(ctx))
		time.Sleep(500 * time.Millisecond)
		require.Equal(t, 1, e.SilenceConnections())
		require.Error(t, (<-call).err)
		time.Sleep(time.Second)
		require.Equal(t, finishedKinds, e.kinds("/a"))
	})
}

func TestConnectionsOverLimitAreClosedOnAccept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := startEndpoint(t, func(s *Settings) { s.Connections = 2 }, Options{})
		var open []interface{ Close() error }
		for range 2 {
			c, err := e.listener.dial(t.Context(), "", "")
			require.NoError(t, err)
			open = append(open, c)
		}
		synctest.Wait()
		require.Equal(t, 2, e.Status().Connections)
		require.Error(t, e.post("/a").err)
		require.EqualValues(t, 1, e.Status().ConnectionsRefused)

		require.NoError(t, open[0].Close())
		synctest.Wait()
		require.Equal(t, http.StatusOK, e.post("/a").status)
		require.NoError(t, open[1].Close())
	})
}

func TestConnectionCostDelaysFirstRequestOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := startEndpoint(t, func(s *Settings) {
			s.ConnectionCostMs = 1.5
			s.ProbeCostMs = 6
		}, Options{})
		require.Equal(t, time.Second+1500*time.Microsecond, e.post("/a").elapsed)
		require.Equal(t, time.Second, e.post("/a").elapsed)
		require.Equal(t, 6*time.Millisecond, e.do(e.request(http.MethodGet, HealthPath)).elapsed)
	})
}

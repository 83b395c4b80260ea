package platform

import (
	"context"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

func TestReads(t *testing.T) {
	p := newTestPlatform(t, nil)
	p.mustPut("catalogue", "one")
	p.mustPut("other", "two")
	tests := []struct {
		desc   string
		target string
		want   readResult
	}{
		{desc: "present", target: "/v1/keys/catalogue", want: readResult{status: 200, value: "one", revision: 2, keyRevision: 1}},
		{desc: "absent", target: "/v1/keys/none", want: readResult{status: 404, revision: 2}},
		{desc: "watch of an older revision", target: "/v1/keys/catalogue?after=0&waitMs=1000", want: readResult{status: 200, value: "one", revision: 2, keyRevision: 1}},
		{desc: "after is not a number", target: "/v1/keys/catalogue?after=x&waitMs=1", want: readResult{status: 400}},
		{desc: "waitMs missing", target: "/v1/keys/catalogue?after=1", want: readResult{status: 400}},
		{desc: "waitMs too long", target: "/v1/keys/catalogue?after=1&waitMs=300001", want: readResult{status: 400}},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			got := p.get(t.Context(), test.target)
			got.elapsed = 0
			require.Equal(t, test.want, got)
		})
	}
}

func TestMaximumValueSize(t *testing.T) {
	p := newTestPlatform(t, nil)
	p.mustPut("catalogue", largeValue(MaxValueBytes))
	require.Equal(t, http.StatusRequestEntityTooLarge,
		p.admin(http.MethodPut, "/admin/keys/catalogue", largeValue(MaxValueBytes+1)))
	got := p.read("catalogue")
	require.Len(t, got.value, MaxValueBytes)
	require.EqualValues(t, 1, got.revision)
}

func TestWatch(t *testing.T) {
	tests := []struct {
		desc   string
		change func(p *testPlatform)
		want   readResult
	}{
		{
			desc:   "no change",
			change: func(*testPlatform) {},
			want:   readResult{status: 304, revision: 1, keyRevision: 1, elapsed: 5 * time.Second},
		},
		{
			desc:   "key changes",
			change: func(p *testPlatform) { p.mustPut("catalogue", "two") },
			want:   readResult{status: 200, value: "two", revision: 2, keyRevision: 2, elapsed: 1500 * time.Millisecond},
		},
		{
			desc:   "another key changes",
			change: func(p *testPlatform) { p.mustPut("other", "two") },
			want:   readResult{status: 304, revision: 2, keyRevision: 1, elapsed: 5 * time.Second},
		},
		{
			desc:   "platform goes down",
			change: func(p *testPlatform) { p.mustSetMode(`{"mode":"down"}`) },
			want:   readResult{status: 503, elapsed: 1500 * time.Millisecond},
		},
		{
			desc:   "platform closes connections",
			change: func(p *testPlatform) { p.mustSetMode(`{"mode":"down","close":true}`) },
			want:   readResult{aborted: true, elapsed: 1500 * time.Millisecond},
		},
		{
			desc: "platform becomes stale and hides a write",
			change: func(p *testPlatform) {
				p.mustSetMode(`{"mode":"stale"}`)
				p.mustPut("catalogue", "two")
			},
			want: readResult{status: 304, revision: 1, keyRevision: 1, elapsed: 5 * time.Second},
		},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newTestPlatform(t, nil)
				p.mustPut("catalogue", "one")
				result := p.watch(t.Context(), "catalogue", 1, 5*time.Second)
				time.Sleep(1500 * time.Millisecond)
				test.change(p)
				require.Equal(t, test.want, <-result)
				require.Zero(t, p.Counters().Watches)
			})
		})
	}
}

func TestKeyChangeAtEndOfWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newTestPlatform(t, func(s *Settings) { s.History = 1 })
		for revision := uint64(1); revision < 300; revision++ {
			p.mustPut("catalogue", "x")
			result := p.watch(t.Context(), "catalogue", revision, time.Second)
			time.Sleep(time.Second)
			p.mustPut("catalogue", "x")
			revision++
			got := <-result
			want := readResult{status: 200, value: "x", revision: revision, keyRevision: revision, elapsed: time.Second}
			if got.status == 304 {
				want = readResult{status: 304, revision: revision - 1, keyRevision: revision - 1, elapsed: time.Second}
			}
			require.Equal(t, want, got)
		}
	})
}

func TestWatchAbsentKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newTestPlatform(t, nil)
		unchanged := p.watch(t.Context(), "catalogue", 0, time.Second)
		require.Equal(t, readResult{status: 404, elapsed: time.Second}, <-unchanged)
		created := p.watch(t.Context(), "catalogue", 0, 2*time.Second)
		time.Sleep(time.Second)
		p.mustPut("catalogue", "one")
		require.Equal(t, readResult{status: 200, value: "one", revision: 1, keyRevision: 1, elapsed: time.Second}, <-created)
	})
}

func TestWatchOfDisconnectedReader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newTestPlatform(t, nil)
		ctx, cancel := context.WithCancel(t.Context())
		result := p.watch(ctx, "catalogue", 0, time.Minute)
		time.Sleep(time.Second / 2)
		require.Equal(t, 1, p.Counters().Watches)
		cancel()
		require.Equal(t, readResult{aborted: true, elapsed: time.Second / 2}, <-result)
		require.Zero(t, p.Counters().Watches)
	})
}

func TestLoadKeysFromFiles(t *testing.T) {
	file := filepath.Join(t.TempDir(), "catalogue.json")
	require.NoError(t, os.WriteFile(file, []byte("{}"), 0o600))
	p := newTestPlatform(t, func(s *Settings) {
		s.FirstRevision = 7
		s.VMListLagMs = 60000
	})
	require.NoError(t, p.LoadKeys([]KeyFile{{Key: "catalogue", File: file}, {Key: VMListKey, File: file}}))
	require.EqualValues(t, 7, p.read("catalogue").keyRevision)
	require.EqualValues(t, 8, p.read(VMListKey).keyRevision)
	require.ErrorIs(t, p.LoadKeys([]KeyFile{{Key: "x", File: file + ".none"}}), os.ErrNotExist)
}

func TestServeEndsWaitingWatchesOnStop(t *testing.T) {
	p := newTestPlatform(t, nil)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ctx, stop := context.WithCancel(t.Context())
	serveErr := make(chan error, 1)
	go func() { serveErr <- serve(ctx, l, p.Handler()) }()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	clientErr := make(chan error, 1)
	go func() {
		response, err := client.Get("http://" + l.Addr().String() + "/v1/keys/x?after=0&waitMs=300000")
		if err == nil {
			_ = response.Body.Close()
		}
		clientErr <- err
	}()
	for p.Counters().Watches == 0 {
		time.Sleep(time.Millisecond)
	}
	stop()
	require.Error(t, <-clientErr)
	require.NoError(t, <-serveErr)
}

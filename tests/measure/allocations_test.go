package measure

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"bamboospread/internal/kernel/reporter"
	"bamboospread/internal/operator/requester"
	"bamboospread/internal/service/agent"
	"bamboospread/internal/service/server"
	"bamboospread/internal/standin/responder"
	"bamboospread/internal/standin/storer"
	"bamboospread/tests/harness"
)

// startInProcess runs store, entry, agent and upstream in this process, so that the
// testing package counts allocations and profiles the whole path. It returns the
// URLs of the entry and of the upstream.
func startInProcess(b *testing.B) (entry, upstream string) {
	b.Helper()
	store := httptest.NewServer(storer.New(storer.Config{}).Handler())
	b.Cleanup(store.Close)
	e, err := server.New(server.Config{
		ID: "entry", Listen: "127.0.0.1:0", RPCListen: "127.0.0.1:0", Zone: "zone-a", StoreURL: store.URL,
		Cell: "main", Reporter: reporter.Discard(), StopTimeout: time.Second,
	})
	if err != nil {
		b.Fatal(err)
	}
	a, err := agent.New(agent.Config{
		ID: "agent", VM: "vm", Zone: "zone-a", Rack: "rack", Entries: []string{e.RPCAddress()}, WorkerURL: "http://127.0.0.1:1",
		LocalListen: "127.0.0.1:0", Listen: "127.0.0.1:0", Cell: "main", Reporter: reporter.Discard(), StopTimeout: time.Second,
	})
	if err != nil {
		b.Fatal(err)
	}
	u := responder.New(responder.Config{ID: "upstream", Service: "labelling", Agent: "http://" + a.LocalAddress(), Announce: 200 * time.Millisecond})
	u.SetModes(responder.Modes{NoRecord: true})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	upstreamAddress := l.Addr().String()
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 3)
	go func() { ended <- e.Run(ctx) }()
	go func() { ended <- a.Run(ctx) }()
	go func() { ended <- u.Run(ctx, l) }()
	b.Cleanup(func() {
		cancel()
		for range 3 {
			<-ended
		}
	})
	q := requester.New(requester.Config{Entries: []string{e.HTTPAddress()}})
	if _, err := q.Apply(ctx, requester.ApplyOptions{Text: []byte(harness.FleetText), ChangeID: "first"}); err != nil {
		b.Fatal(err)
	}
	harness.WaitFor(b, 10*time.Second, "answer", func(context.Context) error {
		return sendRequest("http://" + e.HTTPAddress() + "/v1/services/labelling/x")
	})
	return "http://" + e.HTTPAddress(), "http://" + upstreamAddress
}

func sendRequest(url string) error {
	r, err := http.NewRequest(http.MethodPut, url, strings.NewReader(strings.Repeat("x", 256)))
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	if err == nil && resp.StatusCode != http.StatusOK {
		err = fmt.Errorf("status %s", resp.Status)
	}
	return err
}

// BenchmarkAllocations sends the same request through entry and agent and directly
// to the upstream; the difference is the cost of the path.
func BenchmarkAllocations(b *testing.B) {
	entry, upstream := startInProcess(b)
	for _, c := range []struct{ name, url string }{
		{"direct", upstream + "/x"},
		{"path", entry + "/v1/services/labelling/x"},
	} {
		b.Run(c.name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if err := sendRequest(c.url); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

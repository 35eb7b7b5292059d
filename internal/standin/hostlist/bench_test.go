package hostlist_test

import (
	"fmt"
	"net/http/httptest"
	"testing"

	"pulleyquay/internal/platform"
	"pulleyquay/internal/platform/hosthttp"
	"pulleyquay/internal/standin/hostlist"
)

// BenchmarkRead reads a list that does not change. Client and server are both measured.
func BenchmarkRead(b *testing.B) {
	for _, hosts := range []int{200, 2000} {
		b.Run(fmt.Sprint(hosts), func(b *testing.B) {
			l := hostlist.New(0)
			all := make([]platform.Host, hosts)
			for i := range all {
				all[i] = platform.Host{
					Name: fmt.Sprintf("worker-%04d", i), Role: platform.RoleWorker, Zone: "lake-a",
					Addr: fmt.Sprintf("10.0.%d.%d:7070", i/250, i%250), Rack: fmt.Sprintf("rack-%03d", i/8),
				}
			}
			l.Replace(all)
			server := httptest.NewServer(hostlist.Handler(l))
			defer server.Close()
			client := hosthttp.New(server.URL)
			for b.Loop() {
				got, err := client.Hosts(b.Context())
				if err != nil || len(got) != hosts {
					b.Fatal(len(got), err)
				}
			}
		})
	}
}

package linkshard

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"pulleyquay/internal/host"
)

// testMembers returns members of equal resources in two availability zones.
func testMembers(n int, cores, mbps float64) []Member {
	var out []Member
	for i := range n {
		out = append(out, Member{Name: fmt.Sprint("m", i), Addr: fmt.Sprint("a", i), Zone: fmt.Sprint("z", i%2), Cores: cores, LinkMbps: mbps})
	}
	return out
}

// TestSelectShards: the holder of a small cell calls its hosts itself; in a large one, or where
// links are slow, the members with the largest capacity do.
func TestSelectShards(t *testing.T) {
	mixed := append(testMembers(3, 0.8, 200), Member{Name: "weak", Addr: "w", Cores: 0.19, LinkMbps: 20})
	thin := append(testMembers(3, 0.8, 200), Member{Name: "thin", Addr: "w", Cores: 0.8, LinkMbps: 20})
	tests := map[string]struct {
		members []Member
		hosts   int
		want    int
	}{
		"48 hosts, 7 members of 0.4 cores":               {testMembers(7, 0.4, 1000), 48, 0},
		"48 hosts, links without limit":                  {testMembers(7, 0.4, 0), 48, 0},
		"120 hosts, 17 members of 0.12 cores and 2 Mbit": {testMembers(17, 0.12, 2), 120, 16},
		"1100 hosts, strong members and a weak one":      {mixed, 1100, 2},
		"1100 hosts, one member with a slow link":        {thin, 1100, 2},
		"no other member":                                {testMembers(1, 0.8, 200), 1100, 0},
		"the link is the limit, not the processor":       {testMembers(7, 0.8, 5), 48, 4},
		"no more shards than needed":                     {testMembers(15, 0.8, 200), 1100, 7},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			got := SelectShards(tc.members, "m0", tc.hosts)
			is.New(t).Equal(len(got), tc.want)
			for _, m := range got {
				is.New(t).True(m.Name != "m0" && m.Name != "weak" && m.Name != "thin")
			}
		})
	}
}

// TestShardsAreSelectedAcrossZones: the loss of a zone removes only its share of the shards.
func TestShardsAreSelectedAcrossZones(t *testing.T) {
	is := is.New(t)
	zones := map[string]int{}
	for _, m := range SelectShards(testMembers(16, 0.8, 200), "m0", 1100) {
		zones[m.Zone]++
	}
	is.True(zones["z0"] >= 3 && zones["z1"] >= 3)
}

// TestShardsOfHosts: hosts are called from their own zone, evenly; the removal of a shard moves
// only its own hosts; a host that is not reached is called through different shards in turn.
func TestShardsOfHosts(t *testing.T) {
	is := is.New(t)
	members := testMembers(10, 0.8, 200)
	zones := map[string]string{}
	for _, m := range members {
		zones[m.Name] = m.Zone
	}
	all, fewer := newShardSelector(members), newShardSelector(members[1:])
	const hosts = 1000
	share := map[string]int{}
	for i := range hosts {
		id, zone := host.ID(fmt.Sprint("host-", i)), fmt.Sprint("z", i%2)
		first := all.shardOf(id, zone, 0)
		share[first]++
		is.Equal(zones[first], zone)
		if first != "m0" {
			is.Equal(fewer.shardOf(id, zone, 0), first)
		}
		tried := map[string]bool{}
		for failedRoutes := range 12 {
			tried[all.shardOf(id, zone, failedRoutes)] = true
		}
		is.True(len(tried) > 3)
	}
	for _, m := range members {
		is.True(share[m.Name] > hosts/20) // a tenth would be even
	}
	is.Equal(newShardSelector(members).shardOf("h", "another zone", 0) != "", true)
}

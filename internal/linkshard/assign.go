package linkshard

import (
	"cmp"
	"hash/fnv"
	"slices"
	"strconv"

	"github.com/dgryski/go-rendezvous"

	"pulleyquay/internal/host"
)

// Member is a member that can be a shard, with its resources.
type Member struct {
	Name string
	Addr string
	Zone string // availability zone
	// Cores is its processor time in cores, LinkMbps the throughput of its link. Zero LinkMbps
	// means that the link is not a limit.
	Cores    float64
	LinkMbps float64
}

// Resources that calls to a host in use take at the usual rate of starts: two requests for each
// start.
const (
	// CoresPerHost is the processor time that the calls to a host take, in cores.
	CoresPerHost = 0.0005
	mbpsPerHost  = 0.036
)

// hostCapacity is how many hosts a member could call with all of its resources.
func (m Member) hostCapacity() float64 {
	hosts := m.Cores / CoresPerHost
	if m.LinkMbps > 0 {
		hosts = min(hosts, m.LinkMbps/mbpsPerHost)
	}
	return hosts
}

// Limits for the selection of shards.
const (
	// callShare is the part of a member's resources that calls to hosts may take: the rest is for
	// its callers, for a holder's decisions, and for bursts.
	callShare = 0.2
	// minRelativeCapacity is the least capacity of a shard relative to the member with the largest:
	// batches to many small members would cost the holder more than they save.
	minRelativeCapacity = 0.5
	// capacityFactor is the total capacity of the shards, within their call shares, as a multiple
	// of the hosts, so that enough remains when some fail.
	capacityFactor = 2
)

// SelectShards chooses the members that call a partition's hosts for its holder; none where the
// holder has the capacity to call them itself. It takes the members with the largest capacity, as
// many from each availability zone as from the others, and no more than are needed: the fewer there
// are, the more calls go in one batch.
func SelectShards(members []Member, self string, hosts int) []Member {
	maxCapacity, selfCapacity := 0.0, 0.0
	var others []Member
	for _, m := range members {
		if m.Name == self {
			selfCapacity = m.hostCapacity()
			continue
		}
		maxCapacity = max(maxCapacity, m.hostCapacity())
		others = append(others, m)
	}
	if float64(hosts) <= callShare*selfCapacity {
		return nil
	}
	slices.SortFunc(others, func(a, b Member) int {
		return cmp.Or(cmp.Compare(b.hostCapacity(), a.hostCapacity()), cmp.Compare(a.Name, b.Name))
	})
	var out []Member
	capacity := 0.0
	for _, m := range interleaveZones(others) {
		if capacity >= capacityFactor*float64(hosts) {
			break
		}
		if m.hostCapacity() >= minRelativeCapacity*maxCapacity {
			out = append(out, m)
			capacity += callShare * m.hostCapacity()
		}
	}
	return out
}

// interleaveZones orders members as the first of each availability zone, then the second of each,
// and so on.
func interleaveZones(members []Member) []Member {
	type ranked struct {
		Member
		rank int // within its zone
	}
	zoneCount := map[string]int{}
	all := make([]ranked, 0, len(members))
	for _, m := range members {
		all = append(all, ranked{m, zoneCount[m.Zone]})
		zoneCount[m.Zone]++
	}
	slices.SortStableFunc(all, func(a, b ranked) int { return cmp.Compare(a.rank, b.rank) })
	out := make([]Member, 0, len(all))
	for _, r := range all {
		out = append(out, r.Member)
	}
	return out
}

// shardSelector chooses the shard that calls a host: one in the host's availability zone if there
// is one, and another one for a host that was not reached. Adding or removing a shard moves only
// that shard's hosts.
type shardSelector struct {
	all    *rendezvous.Rendezvous
	byZone map[string]*rendezvous.Rendezvous
}

func newShardSelector(shards []Member) *shardSelector {
	s := &shardSelector{byZone: map[string]*rendezvous.Rendezvous{}, all: rendezvous.New(nil, hash)}
	for _, m := range shards {
		s.all.Add(m.Name)
		zone := s.byZone[m.Zone]
		if zone == nil {
			zone = rendezvous.New(nil, hash)
			s.byZone[m.Zone] = zone
		}
		zone.Add(m.Name)
	}
	return s
}

// shardOf returns the name of the shard that calls a host. failedRoutes is how many times the host
// was not reached through earlier shards.
func (s *shardSelector) shardOf(id host.ID, zone string, failedRoutes int) string {
	if sameZone := s.byZone[zone]; sameZone != nil && failedRoutes == 0 {
		return sameZone.Lookup(string(id))
	}
	return s.all.Lookup(string(id) + "/" + strconv.Itoa(failedRoutes))
}

func hash(s string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(s)) // a hash never returns an error
	return h.Sum64()
}

package result

import "net/http"

// Codes of members, partitions and the authority to act for a partition (3000 to 3099).
const (
	NotHolder        Code = 3000
	AuthorityExpired Code = 3001
	HomeFenced       Code = 3002
	NameTaken        Code = 3003
	PartitionCount   Code = 3004
	HandOverFailed   Code = 3005
	NotMember        Code = 3006
)

func init() {
	register(
		Info{NotHolder, "not-holder", http.StatusServiceUnavailable, "this process does not hold the partition"},
		Info{AuthorityExpired, "right-lapsed", http.StatusServiceUnavailable, "the holder can not prove now that it still may act"},
		Info{HomeFenced, "home-fenced", http.StatusConflict, "a home of a higher epoch has asked before"},
		Info{NameTaken, "name-taken", http.StatusConflict, "a live member has the same name"},
		Info{PartitionCount, "partition-count", http.StatusConflict, "the configured number of partitions differs from the store's"},
		Info{HandOverFailed, "hand-over-failed", http.StatusServiceUnavailable, "a partition could not be handed to its next holder"},
		Info{NotMember, "not-member", http.StatusServiceUnavailable, "the process has not joined the cell yet"},
	)
}

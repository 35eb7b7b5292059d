package host

// TokensPerEpoch is how many fencing tokens the holder of an epoch may use: the epoch itself and those up to
// the epoch of the next holder.
const TokensPerEpoch = 1000

// NextEpoch returns the epoch of the holder after one with the given epoch; zero if there was none.
func NextEpoch(previous uint64) uint64 {
	if previous == 0 {
		return 1
	}
	return previous + TokensPerEpoch
}

package scheduler

// String gives the status's name for logs and dumps.
func (s Status) String() string {
	switch s {
	case StatusUnclaimed:
		return "unclaimed"
	case StatusReady:
		return "ready"
	case StatusLeaving:
		return "leaving"
	case StatusSetAside:
		return "set-aside"
	case StatusOver:
		return "over"
	}
	return "unknown"
}

package scheduler

// String returns the name of the status for logs and state dumps.
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

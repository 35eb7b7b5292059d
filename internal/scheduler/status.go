package scheduler

// String returns the name of the status for logs and state dumps.
func (s Status) String() string {
	switch s {
	case StatusUnclaimed:
		return "unclaimed"
	case StatusReady:
		return "ready"
	case StatusDraining:
		return "leaving"
	case StatusExcluded:
		return "set-aside"
	case StatusOverloaded:
		return "over"
	}
	return "unknown"
}

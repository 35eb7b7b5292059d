package hold

import (
	"pulleyquay/internal/heartbeat"
	"pulleyquay/internal/right"
	"pulleyquay/internal/uptime"
	"pulleyquay/internal/view"
)

// State is the Manager's part of the process dump.
type State struct {
	Self            view.Member    `json:"self"`
	Membership      string         `json:"membership"`
	NotReadyReasons []string       `json:"lacks"`
	StoreUp         bool           `json:"store_up"`
	StoreAgeMS      int64          `json:"store_age_ms"`
	LeaseMS         int64          `json:"lease_ms"`
	VoterSet        right.VoterSet `json:"electorate"`
	Table           *view.Table    `json:"table"`
	Slots           []SlotState    `json:"slots"`
	Contacts        []ContactState `json:"heard"`
	Delegated       []int          `json:"covered"`
	// Fencing lists the dead holders whose partitions this process is to acquire.
	Fencing []FencingState `json:"fencing"`
}

// FencingState is the progress of fencing a dead holder.
type FencingState struct {
	MemberID right.MemberID `json:"subject"`
	// Pending are the voters whose replies are still needed.
	Pending []right.Voter `json:"open"`
	Done    bool          `json:"done"`
}

// SlotState is one partition that this process owns or executes a step for.
type SlotState struct {
	ID      int    `json:"id"`
	State   string `json:"state"`
	Epoch   uint64 `json:"epoch"`
	UntilMS int64  `json:"until_ms"`
	Busy    bool   `json:"busy,omitempty"`
}

// ContactState is the last status received from a member.
type ContactState struct {
	Status heartbeat.Status `json:"status"`
	AgeMS  int64            `json:"age_ms"`
}

// Dump returns the state for /debug/state.
func (m *Manager) Dump() any {
	notReady, delegated := m.NotReadyReasons(), m.delegated()
	m.mu.Lock()
	defer m.mu.Unlock()
	now := uptime.Now()
	out := State{
		Self: m.session.Self(), Membership: m.session.State(), NotReadyReasons: notReady,
		StoreUp: m.storeAvailable(), StoreAgeMS: m.storeAge().Milliseconds(), Table: m.Table(),
	}
	m.session.WithAuthority(func(a *right.Authority) {
		out.LeaseMS = a.Lease().Sub(now).Milliseconds()
		out.VoterSet = a.VoterSet()
	})
	for _, s := range m.slots {
		if s.owned() || s.busy {
			out.Slots = append(out.Slots, SlotState{
				ID: s.id, State: s.machine.Current(), Epoch: s.record.Epoch, Busy: s.busy,
				UntilMS: m.grant(now, s).Until.Sub(now).Milliseconds(),
			})
		}
	}
	for memberID, f := range m.fencings {
		out.Fencing = append(out.Fencing, FencingState{MemberID: memberID, Pending: f.answers.Pending(), Done: f.answers.Done(now)})
	}
	for _, h := range m.heartbeats.Contacts() {
		out.Contacts = append(out.Contacts, ContactState{Status: h.Status, AgeMS: now.Sub(h.ReceivedAt).Milliseconds()})
	}
	for _, p := range delegated {
		out.Delegated = append(out.Delegated, p.ID)
	}
	return out
}

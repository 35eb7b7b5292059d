package main

import (
	"context"

	"pulleyquay/internal/cellapi"
	"pulleyquay/internal/dispatch"
	"pulleyquay/internal/settings"
	"pulleyquay/internal/taskmsg"
	"pulleyquay/internal/view"
)

// source implements view.Source for the placer.
type source struct{ p *placer }

// Table implements view.Source.
func (s source) Table() *view.Table { return s.p.holdManager.Table() }

// Settings implements view.Source.
func (s source) Settings() *settings.Tree { return s.p.settings.Current() }

// otherPlacers lists the peer addresses of the other members, or the seeds while no
// other member is known.
func (p *placer) otherPlacers() []string {
	var addrs []string
	for _, m := range p.holdManager.Table().Members {
		if m.Addr != p.conf.Listen.Peer {
			addrs = append(addrs, m.Addr)
		}
	}
	if len(addrs) == 0 {
		return p.conf.Holding.Seeds
	}
	return addrs
}

// settingsUnreadyReasons returns why the settings are not ready, or nil. An empty tree is
// ready once the store or a peer has confirmed that there are no settings.
func (p *placer) settingsUnreadyReasons() []string {
	if err := p.settings.Ready(); err != nil {
		return []string{err.Error()}
	}
	return nil
}

// branchValues returns the effective settings of a branch.
func (p *placer) branchValues(branch string) (settings.Values, bool) {
	return settings.BranchValues(p.settings.Current(), branch)
}

// serviceValues returns the effective settings of a service.
func (p *placer) serviceValues(service string) (settings.Values, bool) {
	return settings.ServiceValues(p.settings.Current(), service)
}

// capacityDigests returns the capacity digest of every live member including this one.
func (p *placer) capacityDigests() map[string]taskmsg.Digest {
	all := map[string]taskmsg.Digest{p.conf.Name: p.fleet.Digest()}
	for _, m := range p.holdManager.Table().Members {
		var d taskmsg.Digest
		if _, ok := p.holdManager.Extra(m.Name, extraCapacity, &d); ok && m.Name != p.conf.Name {
			all[m.Name] = d
		}
	}
	return all
}

// settingsApplied returns the settings revision that is in force at each live member and
// at the entries that get their settings from it. A revision of -1 means unknown.
func (p *placer) settingsApplied() map[string]int64 {
	all := map[string]int64{}
	for _, m := range p.holdManager.Table().Members {
		revision := int64(-1)
		if _, ok := p.holdManager.Extra(m.Name, extraSettings, &revision); !ok {
			revision = -1
		}
		all[m.Name] = revision
	}
	all[p.conf.Name] = p.settings.AppliedRevision()
	return all
}

// collectsSettings reports whether this member deletes unreferenced settings. Only the
// holder of the first partition does.
func (p *placer) collectsSettings() bool {
	_, err := p.holdManager.Check(0)
	return err == nil
}

// remotes lists the other members with their free slots by service.
func (p *placer) remotes() []dispatch.Remote {
	var out []dispatch.Remote
	for _, m := range p.holdManager.Table().Members {
		var free map[string]int
		if m.Name == p.conf.Name || m.Leaving {
			continue
		}
		if _, ok := p.holdManager.Extra(m.Name, extraSlots, &free); ok {
			out = append(out, dispatch.Remote{Name: m.Name, Addr: m.Addr, Zone: m.Zone, Free: free})
		}
	}
	return out
}

// members handles peer.KindMembers: it returns this process's table of the cell and the
// settings revisions in force.
func (p *placer) members(context.Context, cellapi.MembersRequest) (cellapi.MembersReply, error) {
	return cellapi.MembersReply{Table: p.holdManager.Table(), Applied: p.settingsApplied()}, nil
}

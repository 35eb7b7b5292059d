package job

import "pulleyquay/internal/peer"

// Register registers the request handlers of the job owners with the peer link.
func (m *Manager) Register(mux *peer.Mux) {
	peer.Handle(mux, peer.KindJobSubmit, m.Submit)
	peer.Handle(mux, peer.KindJobGet, m.Get)
	peer.Handle(mux, peer.KindJobList, m.List)
	peer.Handle(mux, peer.KindJobCancel, m.Cancel)
	peer.Handle(mux, peer.KindJobUpdate, m.Update)
	peer.Handle(mux, peer.KindTaskUpdates, m.ReportRuns)
}

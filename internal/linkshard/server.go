package linkshard

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"pulleyquay/internal/host"
	"pulleyquay/internal/peer"
	"pulleyquay/internal/result"
	"pulleyquay/internal/wait"
)

// Timeouts and limits of reports.
const (
	// reportTimeout bounds the wait for the answer to one report: a link that breaks or becomes
	// silent ends the call sooner, and copies would only add to the load of an overloaded holder.
	// reportRetryDelay is the delay before it is sent again.
	reportTimeout    = 2 * time.Second
	reportRetryDelay = 50 * time.Millisecond
	// reportRetryPeriod is how long a report is retried: the holder has given its calls up by then.
	reportRetryPeriod = 4 * time.Second
	// maxReportOutcomes bounds the outcomes in one report, and with them its size.
	maxReportOutcomes = 512
)

// Server makes calls to hosts for the holders on other members.
type Server struct {
	hosts host.Client
	peers peer.Caller
	log   *logrus.Entry

	mu        sync.Mutex
	reporters map[reportKey]*reporter
}

// reportKey identifies the holding that a reporter reports to.
type reportKey struct {
	holder    string
	partition int
	epoch     uint64
}

// NewServer returns a server that handles batches received through mux.
func NewServer(mux *peer.Mux, hosts host.Client, peers peer.Caller, log *logrus.Entry) *Server {
	s := &Server{hosts: hosts, peers: peers, log: log, reporters: map[reportKey]*reporter{}}
	peer.Handle(mux, peer.KindHostCalls, s.handleBatch)
	return s
}

// handleBatch starts the calls of a batch and returns; their outcomes are reported later.
func (s *Server) handleBatch(_ context.Context, b Batch) (Empty, error) {
	calls, err := b.decode()
	if err != nil {
		return Empty{}, result.New(result.BadInput, result.RanNo, "%v", err)
	}
	r := s.reporter(reportKey{b.Holder, b.Partition, b.Epoch})
	for _, n := range calls {
		go func() {
			o := perform(context.Background(), s.hosts, &n.call)
			r.add(numberedOutcome{n.id, n.call.Poll != nil, o}, b.ReportEvery)
		}()
	}
	return Empty{}, nil
}

func (s *Server) reporter(key reportKey) *reporter {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.reporters[key]
	if r == nil {
		r = &reporter{server: s, key: key}
		s.reporters[key] = r
		for other := range s.reporters {
			if other.partition == key.partition && other.epoch < key.epoch {
				delete(s.reporters, other) // an earlier holding; its calls in flight end by themselves
			}
		}
	}
	return r
}

// reporter collects the outcomes for one holding and reports them, one report after the other:
// while the holder is slow to answer, the reports grow.
type reporter struct {
	server *Server
	key    reportKey

	mu         sync.Mutex
	outcomes   []numberedOutcome
	sending    bool
	lastReport time.Time // when a report was last sent
}

// add queues an outcome for the next report, which is sent no sooner than interval after the one
// before.
func (r *reporter) add(f numberedOutcome, interval time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outcomes = append(r.outcomes, f)
	if !r.sending {
		r.sending = true
		go r.send(interval)
	}
}

// takeOutcomes returns the outcomes of the next report, or nil and ends the sending when there are
// none.
func (r *reporter) takeOutcomes() []numberedOutcome {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := min(len(r.outcomes), maxReportOutcomes)
	if n == 0 {
		r.sending = false
		return nil
	}
	outcomes := r.outcomes[:n:n]
	r.outcomes = append([]numberedOutcome(nil), r.outcomes[n:]...)
	r.lastReport = time.Now()
	return outcomes
}

func (r *reporter) send(interval time.Duration) {
	for {
		if pause := interval - time.Since(r.lastReport); pause > 0 {
			time.Sleep(pause)
		}
		outcomes := r.takeOutcomes()
		if outcomes == nil {
			return
		}
		r.deliver(newReport(r.key.partition, r.key.epoch, outcomes))
	}
}

// deliver sends a report until the holder acknowledges it or refuses it, or the retry period is
// over.
func (r *reporter) deliver(report Report) {
	ctx, cancel := context.WithTimeout(context.Background(), reportRetryPeriod)
	defer cancel()
	for {
		callCtx, cancelCall := context.WithTimeout(ctx, reportTimeout)
		err := r.server.peers.Call(callCtx, r.key.holder, peer.KindHostReport, report, &Empty{})
		cancelCall()
		if err == nil {
			return
		}
		if result.CodeOf(err) == result.HolderUnreachable {
			return // the holding is over; the next holder polls the hosts itself
		}
		if !wait.For(ctx, reportRetryDelay) {
			r.server.log.WithError(err).WithFields(logrus.Fields{
				"partition": r.key.partition, "epoch": r.key.epoch, "outcomes": len(report.Replies) + len(report.Views),
			}).Info("link shard report not delivered within the retry period")
			return
		}
	}
}

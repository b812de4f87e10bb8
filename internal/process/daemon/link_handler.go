package daemon

import (
	"tarragonshore.example/tarragonshore/internal/connection/peer"
	"tarragonshore.example/tarragonshore/internal/connection/wire"
	"tarragonshore.example/tarragonshore/internal/process/logging"
	"tarragonshore.example/tarragonshore/internal/process/metrics"
	"tarragonshore.example/tarragonshore/internal/process/workers"
)

// linkHandler dispatches the events of peer links to the components, on the worker
// pool. The events of one link are handled in order.
type linkHandler struct {
	workerPool    *workers.Pool
	metrics       *metrics.Metrics
	configuration *configuration
	dispatcher    *dispatcher
	executor      *executor
	tickets       *tickets
	rates         *rates
	rateGroups    *rateGroups
	handover      *handover
}

// LinkUp implements peer.Handler.
func (l *linkHandler) LinkUp(link peer.Link) {
	l.metrics.RecordLinkEvent("up")
	logging.InfoEvent("links", "link-up", "peer", link.Peer().Member, "incarnation", link.Peer().Incarnation, "zone", link.Peer().Zone)
	l.workerPool.Submit(link.Number(), func() {
		l.dispatcher.onLinkUp(link)
	})
}

// LinkDown implements peer.Handler.
func (l *linkHandler) LinkDown(link peer.Link, reason string) {
	l.metrics.RecordLinkEvent("down")
	logging.InfoEvent("links", "link-down", "peer", link.Peer().Member, "reason", reason)
	l.workerPool.Submit(link.Number(), func() {
		l.dispatcher.onLinkDown(link)
		if _, ok := l.executor.hub.Current(link.Peer().Member); !ok {
			l.executor.linkDown(peerOf(link))
		}
		l.rates.onLinkDown(link)
	})
}

// Receive implements peer.Handler.
func (l *linkHandler) Receive(link peer.Link, m wire.Message) {
	l.workerPool.Submit(link.Number(), func() { l.handle(link, m) })
}

// handle passes a message to the component that handles its type. It does not
// block.
func (l *linkHandler) handle(link peer.Link, m wire.Message) {
	from := peerOf(link)
	switch m := m.(type) {
	case *wire.Attempt:
		l.executor.handle(from, m)
	case *wire.Answer:
		l.dispatcher.onAnswer(link, from, m)
	case *wire.AnswerAck:
		l.executor.ack(from, m.ID)
	case *wire.Settle:
		l.executor.settle(link, m.ID)
	case *wire.SettleResult:
		l.dispatcher.onSettleResult(link, m)
	case *wire.Cancel:
		l.executor.cancel(from, m.ID)
	case *wire.Forward:
		current := l.configuration.current()
		l.executor.handleForward(from, m, func() *wire.Answer { return l.tickets.answerForward(m, current) })
	case *wire.GrantRequest:
		l.rates.onGrantRequest(link, m)
	case *wire.GrantReply:
		l.rateGroups.addKeeperHints(m.Keepers)
		l.rates.applyReply(m)
	case *wire.ConsentRequest:
		l.rateGroups.onConsentRequest(link, m)
	case *wire.ConsentReply:
		l.rateGroups.onConsentReply(link, m)
	case *wire.Handover:
		l.handover.onHandover(link, m)
	case *wire.HandoverAck:
		l.handover.onAck(m)
	case *wire.TablesRequest:
		l.configuration.onTablesRequest(link, m, l.rateGroups.knownKeepers())
	case *wire.TablesReply:
		l.rateGroups.addKeeperHints(m.Keepers)
		l.configuration.onTablesReply(m)
	case *wire.GoAway:
		l.rateGroups.addKeeperHints(m.Keepers)
		logging.InfoEvent("links", "peer-leaving", "peer", from.Member, "reason", m.Reason)
	}
}

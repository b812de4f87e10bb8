package daemon

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"tarragonshore.example/tarragonshore/internal/connection/wire"
	"tarragonshore.example/tarragonshore/internal/process/logging"
	"tarragonshore.example/tarragonshore/internal/process/membership"
	"tarragonshore.example/tarragonshore/internal/request/ticket"
)

const (
	// leaveTimeout bounds the time in which the other members and the log are told
	// that this member has left.
	leaveTimeout = 1500 * time.Millisecond
)

// Stop stops the daemon gracefully (a planned stop): it aborts no request unless ctx
// ends first.
func (d *Daemon) Stop(ctx context.Context) error {
	logging.InfoEvent("daemon", "stopping", "member", d.self.Member)
	d.leaving.Store(true)
	d.members.setLeaving("")
	d.hub.Broadcast(wire.GoAway{Reason: "planned stop"})
	d.executor.startDraining()
	// Meanwhile callers are served and told to close their connections, so that
	// they send their next requests to other daemons.
	pause(ctx, d.cfg.LameDuck)
	d.rateGroups.handOverAll(ctx)
	var errs []error
	// Server.Stop waits for the requests of callers.
	errs = append(errs, d.servers["caller"].Stop(ctx, d.listeners["caller"]))
	errs = append(errs, d.handOverTickets(ctx))
	errs = append(errs, d.executor.drainRuns(ctx))
	errs = append(errs, waitFor(ctx, handoverRetryDelay, func() bool { return !d.dispatcher.hasPending() }))
	d.rates.returnAll()
	d.announceLeave(ctx)
	errs = append(errs, d.close())
	logging.InfoEvent("daemon", "stopped", "member", d.self.Member, "error", errorText(errors.Join(errs...)))
	return errors.Join(errs...)
}

// handOverTickets hands the tickets over to a successor. If the successor refuses, for
// example because it stops too, or cannot be reached, another one is chosen.
func (d *Daemon) handOverTickets(ctx context.Context) error {
	for {
		successor, ok := d.successor()
		if !ok {
			logging.InfoEvent("daemon", "tickets-not-handed-over", "reason", "no other member can take over the tickets")
			return nil
		}
		d.members.setLeaving(successor.Member)
		err := d.handover.handOverTickets(ctx, successor)
		if !errors.Is(err, errHandoverRefused) && !errors.Is(err, errHandoverNotSent) || ctx.Err() != nil {
			return err
		}
		if err := d.tickets.abortHandover(); err != nil {
			return err
		}
		pause(ctx, handoverRetryDelay)
	}
}

// announceLeave tells the other members, and later readers of the log, that this
// member has left.
func (d *Daemon) announceLeave(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	if err := d.members.service.Leave(ctx); err != nil {
		logging.InfoEvent("daemon", "leave-not-spread", "error", err.Error())
	}
	if err := d.announcer.Announce(ctx); err != nil {
		logging.InfoEvent("daemon", "leave-not-announced", "error", err.Error())
	}
}

// successor chooses the member that takes over the tickets. It is a random
// alive member that is not stopping itself, so that the tickets of many daemons do not
// accumulate at one member in rolling restarts.
func (d *Daemon) successor() (ticket.DaemonID, bool) {
	var candidates []ticket.DaemonID
	for _, member := range d.members.service.View().Members {
		if member.Name != d.self.Member && !member.Leaving && member.State == membership.StateAlive {
			candidates = append(candidates, ticket.DaemonID{Member: member.Name, Incarnation: member.Incarnation})
		}
	}
	if len(candidates) == 0 {
		return ticket.DaemonID{}, false
	}
	return candidates[rand.IntN(len(candidates))], true
}

// close stops all components.
func (d *Daemon) close() error {
	d.cancel()
	var errs []error
	for _, server := range d.servers {
		errs = append(errs, server.Close())
	}
	d.hub.Close()
	d.wg.Wait()
	d.workerPool.Close()
	return errors.Join(errs...)
}

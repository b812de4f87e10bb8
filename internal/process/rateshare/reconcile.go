package rateshare

import "time"

// Reported returns the workspaces in the reports of other daemons.
func Reported(members []Member) map[string]bool {
	workspaces := map[string]bool{}
	for _, m := range members {
		for workspace := range m.Usage {
			workspaces[workspace] = true
		}
	}
	return workspaces
}

// Workspaces returns the workspaces with a bucket and the given others.
func (l *Limiter) Workspaces(others map[string]bool) []string {
	list := make([]string, 0, len(l.buckets)+len(others))
	for workspace := range l.buckets {
		list = append(list, workspace)
	}
	for workspace := range others {
		if l.buckets[workspace] == nil {
			list = append(list, workspace)
		}
	}
	return list
}

// Reconcile updates all buckets with the reports of the other daemons and recomputes this
// daemon's share of each.
func (l *Limiter) Reconcile(now time.Time, members []Member, limit func(workspace string) Limit) {
	l.ReconcileSome(now, members, l.Workspaces(Reported(members)), limit)
}

// ReconcileSome is Reconcile for the buckets of some workspaces, which do not depend on each
// other, so that a caller that holds a lock can release it in between.
func (l *Limiter) ReconcileSome(now time.Time, members []Member, workspaces []string, limit func(workspace string) Limit) {
	demands := make([]float64, len(members))
	lasts := make([]*memberReport, len(members))
	indexes := make([]int, len(members))
	for i, m := range members {
		indexes[i] = l.indexOf(m.Name)
	}
	for _, workspace := range workspaces {
		b := l.bucket(now, workspace, limit(workspace), len(members)+1)
		b.limit = limit(workspace)
		if missing := len(l.indexes) - len(b.reports); missing > 0 {
			b.reports = append(b.reports, make([]memberReport, missing)...)
		}
		elapsed := now.Sub(b.updatedAt).Seconds()
		taken := b.taken
		b.level += b.limit.Rate*elapsed - taken
		b.updatedAt, b.taken = now, 0
		sum := b.demand
		for i := range members {
			last := &b.reports[indexes[i]]
			demand, known := b.applyReport(&members[i], last, workspace, l.ownIncarnation)
			if !known {
				demand = b.demand // assume this daemon's demand for a member without a report
			}
			demands[i], lasts[i] = demand, last
			sum += demand
		}
		n := float64(len(members) + 1)
		baseline := equalDivisionWeight*sum/n + baseDemand
		total := sum + n*baseline
		available := max(b.level, 0)
		takenPerShare := taken / max(b.share, minShare)
		for i := range members {
			share := (demands[i] + baseline) / total
			estimate := demands[i] * elapsed
			if members[i].ReportAge > lateReportAge {
				estimate = max(estimate, takenPerShare*share)
			}
			b.chargeEstimate(lasts[i], min(estimate, share*available))
		}
		// Late reports can drive the level below zero; the debt is capped at one burst.
		b.level = min(max(b.level, -b.limit.Burst), b.limit.Burst)
		b.daemons, b.othersDemand = n, sum-b.demand
		b.share = (b.demand + baseline) / total
	}
}

// indexOf returns the index of a member in the reports of each bucket.
func (l *Limiter) indexOf(member string) int {
	index, ok := l.indexes[member]
	if !ok {
		index = len(l.indexes)
		l.indexes[member] = index
	}
	return index
}

// chargeEstimate charges the tokens that a member is estimated to have taken since
// the last Reconcile. The next report of the member replaces the estimate.
func (b *bucket) chargeEstimate(last *memberReport, estimate float64) {
	if !last.seen {
		return // without an earlier report, applyReport could not correct the estimate
	}
	last.estimated += estimate
	b.level -= estimate
}

// applyReport replaces the estimated usage of a member by what it reported having
// admitted since its last report, and returns its demand. known is false if the
// member has not reported yet.
func (b *bucket) applyReport(m *Member, last *memberReport, workspace string, ownIncarnation uint64) (demand float64, known bool) {
	usage, known := m.Usage[workspace]
	switch {
	case !known:
		if last.estimated > 0 && last.number != m.ReportNumber {
			// A newer report without the workspace: the member admitted no requests.
			b.level += last.estimated
			last.number, last.estimated = m.ReportNumber, 0
		}
		return 0, m.Usage != nil
	case last.seen && last.incarnation == m.Incarnation && last.number == m.ReportNumber:
		return usage.Demand, true
	}
	b.level += last.estimated
	switch {
	case last.seen && last.incarnation == m.Incarnation && usage.Admitted >= last.admitted:
		b.level -= float64(usage.Admitted - last.admitted)
	case last.seen || m.Incarnation+uint64(sameStartWindow) > ownIncarnation:
		b.level -= float64(usage.Admitted) // the count of a new incarnation starts at zero
	}
	*last = memberReport{seen: true, incarnation: m.Incarnation, number: m.ReportNumber, admitted: usage.Admitted}
	return usage.Demand, true
}

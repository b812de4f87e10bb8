package load

import (
	"fmt"
	"io"
)

// addPeak finds the greatest rate of good answers in the phases that search for
// the peak, and the share of it that each phase reaches. Without such phases both stay 0.
func (r *Report) addPeak(s *Scenario) {
	for i, phase := range s.Phases {
		if phase.Peak {
			r.Peak = max(r.Peak, r.Phases[i].Served)
		}
	}
	if r.Peak == 0 {
		return
	}
	for i := range r.Phases {
		r.Phases[i].ShareOfPeak = r.Phases[i].Served / r.Peak
	}
}

// WriteSummary prints the systems side by side: good answers per second by the
// time of the answer, their share of the same system's own peak, and the time to
// recovery for each phase.
func WriteSummary(w io.Writer, reports []*Report) {
	if len(reports) == 0 {
		return
	}
	fmt.Fprintf(w, "summary: served/s, share of the system's own peak, recovery from the begin of the phase\n%-18s", "phase")
	for _, r := range reports {
		fmt.Fprintf(w, " | %-24s", r.System)
	}
	fmt.Fprintln(w)
	for i, phase := range reports[0].Phases {
		fmt.Fprintf(w, "%-18s", phase.Name)
		for _, r := range reports {
			p := r.Phases[i]
			fmt.Fprintf(w, " | %7.1f %7s %8s", p.Served, formatShare(p.ShareOfPeak, r.Peak), formatRecovery(p))
		}
		fmt.Fprintln(w)
	}
}

// shareText returns a share of the peak, or "-" if no phase searched for the peak.
func formatShare(share, peak float64) string {
	if peak == 0 {
		return "-"
	}
	return fmt.Sprintf("%.3f", share)
}

// recoveryText returns the time to recovery, or that the phase ended before.
func formatRecovery(p PhaseReport) string {
	if p.RecoverySeconds < 0 {
		return fmt.Sprintf(">%.1fs", p.Seconds)
	}
	return fmt.Sprintf("%.1fs", p.RecoverySeconds)
}

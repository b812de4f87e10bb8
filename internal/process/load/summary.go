package load

import (
	"fmt"
	"io"
)

// addPeak computes the greatest rate of good responses in the peak phases, and the
// ratio of each phase's rate to it. Without peak phases, both stay 0.
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

// WriteSummary prints the systems side by side. For each phase, it prints the rate
// of good responses that arrived in the phase, the ratio of that rate to the same
// system's peak, and the time to recovery.
func WriteSummary(w io.Writer, reports []*Report) {
	if len(reports) == 0 {
		return
	}
	fmt.Fprintf(w, "summary: served/s, share of the system's own peak, recovery from the start of the phase\n%-18s", "phase")
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

// formatShare formats a ratio to the peak, or returns "-" without a peak.
func formatShare(share, peak float64) string {
	if peak == 0 {
		return "-"
	}
	return fmt.Sprintf("%.3f", share)
}

// formatRecovery formats the time to recovery, or the phase's duration as a lower
// bound if the system did not recover.
func formatRecovery(p PhaseReport) string {
	if p.RecoverySeconds < 0 {
		return fmt.Sprintf(">%.1fs", p.Seconds)
	}
	return fmt.Sprintf("%.1fs", p.RecoverySeconds)
}

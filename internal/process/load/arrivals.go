package load

import (
	"math/rand/v2"
	"time"
)

// Arrival is a request that a caller sends at a scheduled time.
type Arrival struct {
	Number    int
	At        time.Duration // since the start of the run
	Workspace int           // index in Scenario.Workspaces
	Phase     int           // index in Scenario.Phases
}

// Arrivals returns the arrivals of a scenario in order of time. Each phase is a
// Poisson process.
func Arrivals(s *Scenario, seed uint64) []Arrival {
	rng := rand.New(rand.NewPCG(seed, 0))
	var arrivals []Arrival
	var begin time.Duration
	for index, phase := range s.Phases {
		weights, total := phaseWeights(s, phase)
		rate := s.Rate * phase.Demand * total.scale
		end := begin + phase.Duration
		for at := begin; ; {
			at += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
			if at >= end {
				break
			}
			w := sampleIndex(rng, weights, total.sum)
			arrivals = append(arrivals, Arrival{Number: len(arrivals), At: at, Workspace: w, Phase: index})
		}
		begin = end
	}
	return arrivals
}

// weightTotal holds the sum of the workspaces' weights in a phase, and the ratio of that
// sum to the one without a hot workspace, by which the total demand is scaled.
type weightTotal struct{ sum, scale float64 }

// phaseWeights returns the weights of the workspaces in the demand of a phase. The
// weight of the hot workspace is multiplied by HotFactor.
func phaseWeights(s *Scenario, phase Phase) ([]float64, weightTotal) {
	weights := make([]float64, len(s.Workspaces))
	var baseTotal, total float64
	for i, w := range s.Workspaces {
		weights[i] = w.Weight
		baseTotal += w.Weight
		if w.Name == phase.HotWorkspace {
			weights[i] *= phase.HotFactor
		}
		total += weights[i]
	}
	return weights, weightTotal{sum: total, scale: total / baseTotal}
}

// sampleIndex draws an index with a probability proportional to its weight.
func sampleIndex(rng *rand.Rand, weights []float64, total float64) int {
	x := rng.Float64() * total
	for i, w := range weights {
		if x -= w; x < 0 {
			return i
		}
	}
	return len(weights) - 1
}

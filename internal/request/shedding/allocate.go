package shedding

import (
	"maps"
	"slices"
)

// adjustCorrections lowers the correction factor, and thereby the planned capacity, of
// services whose queueing time exceeds Options.WaitTarget, and raises that of the others.
func (p *Plan) adjustCorrections(services map[string]*serviceState) {
	for name, service := range services {
		c, known := p.correction[name]
		if !known {
			c = 1
		}
		switch excess := service.queueTime / p.options.WaitTarget.Seconds(); {
		case excess > 1:
			c -= correctionStepDown * min(excess, maxWaitExcess)
		case service.running < idleUtilization*service.capacity:
			c += correctionStepUpIdle
		default:
			c += correctionStepUp
		}
		p.correction[name] = min(max(c, minCorrection), maxCorrection)
	}
	for name := range p.correction {
		if services[name] == nil {
			delete(p.correction, name)
		}
	}
}

// classLoad is the load that a class of requests puts on one service.
type classLoad struct {
	class
	rate float64 // requests per second
	cost float64 // slot-seconds per request
}

// allocate divides the capacity budget of a service between the classes of requests that
// need it: each importance first gets the floor share of its demand, and the rest goes to
// the most important ones. It returns the admitted share of every class that cannot be
// admitted in full, and the total demand.
func (p *Plan) allocate(budget float64, loads []classLoad) (shares map[class]float64, total float64) {
	demand, rates := map[uint8]float64{}, map[uint8]float64{}
	for _, l := range loads {
		load := l.rate * l.cost
		demand[l.importance] += load
		rates[l.importance] += l.rate
		total += load
	}
	if total <= budget {
		return nil, total
	}
	granted := Divide(budget, demand, rates, p.options.Floor)
	shares = map[class]float64{}
	for _, l := range loads {
		if share := granted[l.importance]; share < 1 {
			shares[l.class] = share
		}
	}
	return shares, total
}

// Divide divides a budget between importances and returns the share of each importance's
// demand that fits. Each importance first gets the floor, relative to the share of all
// requests that is served, and the rest goes to the most important ones. demand and rates
// hold the load and the rate of requests of each importance.
func Divide(budget float64, demand, rates map[uint8]float64, floor float64) map[uint8]float64 {
	total, requested := 0.0, 0.0
	byImportance := slices.Sorted(maps.Keys(demand))
	for _, importance := range byImportance {
		total += demand[importance]
		requested += rates[importance]
	}
	maxFloor := maxFloorShare * budget / total
	granted := grant(byImportance, demand, budget, 0)
	for range floorIterations {
		served := 0.0
		for _, importance := range byImportance {
			served += rates[importance] * granted[importance]
		}
		granted = grant(byImportance, demand, budget, min(floor*served/requested, maxFloor))
	}
	return granted
}

// grant divides a budget between importances: each gets the floor share of its
// demand, and the remainder goes to the most important ones first. It returns the
// granted share of each importance's demand.
func grant(byImportance []uint8, demand map[uint8]float64, budget, floor float64) map[uint8]float64 {
	remaining := budget
	for _, importance := range byImportance {
		remaining -= floor * demand[importance]
	}
	granted := make(map[uint8]float64, len(byImportance))
	for _, importance := range byImportance {
		extra := min(demand[importance]*(1-floor), remaining)
		remaining -= extra
		granted[importance] = floor
		if demand[importance] > 0 {
			granted[importance] += extra / demand[importance]
		}
	}
	return granted
}

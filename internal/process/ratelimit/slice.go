// Package ratelimit enforces the rate limits of workspaces across the whole
// fleet. The rate of a workspace is divided into slices, and each slice belongs
// to a rate group. One daemon is the keeper of a group: it has the token buckets
// of the group's slices. Every daemon is a holder: it obtains grants of tokens
// from the keepers and spends one token per admitted request. The keeper of a
// group is elected by claims in a log, the keepers stream of the platform.
//
// A keeper may grant only while it has a lease. Reading the log up to its end
// without finding a later claim renews the lease; so does the consent of the
// successor that the claim names, if the platform is down.
//
// The types of this package are pure state machines. Time is a parameter of
// each call, and all times of one value must come from the monotonic clock of
// one process. No type is safe for concurrent use.
package ratelimit

import (
	"math"

	"github.com/cespare/xxhash/v2"

	"tarragonshore.example/tarragonshore/internal/version/tables"
)

// MaxSlices is the greatest number of slices into which a workspace's rate is
// divided.
const MaxSlices = 4

// minSliceBurst is the least burst of a slice of a workspace with several. Only
// whole tokens are granted, and fractions in different buckets do not add up:
// four slices that have 2.6 tokens together may have a single whole one.
const minSliceBurst = 2

const (
	microPerToken = 1_000_000
	// maxRate (requests/s) and maxSliceBurst (requests) keep the integer
	// arithmetic of a bucket within 64 bits.
	maxRate       = 1e9
	maxSliceBurst = 1_000_000_000
)

// SliceLimit is one slice's part of a workspace's limits.
type SliceLimit struct {
	// MicroRate is in millionths of a request per second.
	MicroRate uint64
	// Burst is in requests. A slice with burst 0 never grants.
	Burst uint64
}

// Group returns the rate group of a slice, given the number of rate groups.
func Group(workspace string, slice uint8, groups uint32) uint32 {
	d := xxhash.NewWithSeed(uint64(slice))
	_, _ = d.WriteString(workspace) // never fails
	return uint32(d.Sum64() % uint64(groups))
}

// Division is the division of a workspace's rate and burst into slices. It depends
// only on the workspace's row of the tables, so that all daemons agree on it.
type Division struct {
	// Count is the number of slices: 1, 2 or 4, or 0 if rate or burst is 0.
	Count uint8
	// First is the number of the first slice; the others follow. Divisions with
	// different counts have no slice number in common, so that no tokens pass
	// between a keeper and a holder that have different versions of the tables.
	First uint8
	// Limits[:Count] are the limits of the slices.
	Limits [MaxSlices]SliceLimit
}

// Divide returns the division of a workspace. The sums of the limits are the
// workspace's burst and its rate, rounded down to a millionth of a request per
// second.
func Divide(w tables.Workspace) Division {
	burst := uint64(min(max(w.Burst, 0), MaxSlices*maxSliceBurst))
	rate := uint64(0)
	if w.Rate > 0 { // false for NaN
		rate = uint64(math.Floor(min(w.Rate, maxRate) * microPerToken))
	}
	var d Division
	switch {
	case burst == 0 || rate == 0:
		return d
	case burst >= 4*minSliceBurst:
		d.Count, d.First = 4, 0
	case burst >= 2*minSliceBurst:
		d.Count, d.First = 2, 4
	default:
		d.Count, d.First = 1, 6
	}
	for i := range uint64(d.Count) {
		d.Limits[i] = SliceLimit{
			MicroRate: part(rate, uint64(d.Count), i),
			Burst:     part(burst, uint64(d.Count), i),
		}
	}
	return d
}

// part returns the i-th of n integer parts of total; the parts differ by at most 1.
func part(total, n, i uint64) uint64 {
	p := total / n
	if i < total%n {
		p++
	}
	return p
}

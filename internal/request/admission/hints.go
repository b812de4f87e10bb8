package admission

import (
	"iter"
	"time"

	"tarragonshore.example/tarragonshore/internal/connection/wire"
)

const (
	// hintHoldTime is how long a received threshold applies unchanged.
	hintHoldTime = 250 * time.Millisecond
	// hintDecayTime is the time over which the threshold then rises until it admits
	// everything. Without the decay, a requesting daemon that sheds everything would
	// receive no answers, and so no newer threshold.
	hintDecayTime = time.Second
	// maxHints bounds the number of stored thresholds. One daemon does not use
	// more combinations of upstream and workspace than this.
	maxHints = 8192
)

type hintKey struct{ upstream, workspace string }

// hint is a received threshold and the time of its arrival.
type hint struct {
	level int
	at    time.Time
}

// ThresholdCache caches, per upstream and workspace, the shedding threshold that the
// upstream sent with its latest answer, so that the requesting daemon can shed
// requests without sending them. It implements routing.Thresholds.
type ThresholdCache struct {
	levels map[hintKey]hint
}

// NewThresholdCache returns an empty cache.
func NewThresholdCache() *ThresholdCache { return &ThresholdCache{levels: map[hintKey]hint{}} }

// Store stores the threshold that came with an answer to an attempt of the
// workspace.
func (h *ThresholdCache) Store(now time.Time, upstream, workspace string, t wire.Threshold) {
	level := fromThreshold(t)
	key := hintKey{upstream, workspace}
	if level >= maxLevel {
		delete(h.levels, key)
		return
	}
	if _, known := h.levels[key]; !known && len(h.levels) >= maxHints {
		h.Prune(now)
		if len(h.levels) >= maxHints {
			return // without a hint, the upstream sheds the request itself
		}
	}
	h.levels[key] = hint{level: level, at: now}
}

// Highest returns the highest threshold of the given upstreams for a workspace.
// A request that it sheds would be shed by each of them. An upstream without a
// known threshold counts as admitting everything.
func (h *ThresholdCache) Highest(now time.Time, upstreams iter.Seq[string], workspace string) wire.Threshold {
	greatest := 0
	for upstream := range upstreams {
		t, known := h.levels[hintKey{upstream, workspace}]
		if !known {
			return AdmitAll()
		}
		greatest = max(greatest, t.decayed(now))
	}
	if greatest == 0 {
		return AdmitAll() // no upstream was given
	}
	return toThreshold(greatest)
}

// Admits reports whether the upstream is expected to admit a request. Without a
// known threshold it is.
func (h *ThresholdCache) Admits(now time.Time, upstream, workspace string, importance, rootHash uint8) bool {
	t, known := h.levels[hintKey{upstream, workspace}]
	if !known {
		return true
	}
	key := int(min(importance, importanceCount-1))*hashesPerImportance + int(rootHash)
	return key < t.decayed(now)
}

// Prune removes the thresholds that have decayed to admitting everything.
func (h *ThresholdCache) Prune(now time.Time) {
	for key, t := range h.levels {
		if t.decayed(now) >= maxLevel {
			delete(h.levels, key)
		}
	}
}

// decayed returns the level of the threshold at a time.
func (t hint) decayed(now time.Time) int {
	age := now.Sub(t.at) - hintHoldTime
	if age <= 0 {
		return t.level
	}
	return min(maxLevel, t.level+int(int64(maxLevel-t.level)*int64(age)/int64(hintDecayTime)))
}

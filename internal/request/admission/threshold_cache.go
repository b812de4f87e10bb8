package admission

import (
	"iter"
	"time"

	"tarragonshore.example/tarragonshore/internal/connection/wire"
)

const (
	// thresholdHoldTime is how long a received threshold applies unchanged.
	thresholdHoldTime = 250 * time.Millisecond
	// thresholdDecayTime is the time over which the threshold then rises until it admits
	// everything. Without the decay, a requesting daemon that sheds everything would
	// receive no answers, and so no newer threshold.
	thresholdDecayTime = time.Second
	// maxCachedThresholds bounds the number of stored thresholds. One daemon does not use
	// more combinations of upstream and workspace than this.
	maxCachedThresholds = 8192
)

type thresholdKey struct{ upstream, workspace string }

// cachedThreshold is a received threshold and the time of its arrival.
type cachedThreshold struct {
	level int
	at    time.Time
}

// ThresholdCache caches, per upstream and workspace, the shedding threshold that the
// upstream sent with its latest answer, so that the requesting daemon can shed
// requests without sending them. It implements routing.Thresholds.
type ThresholdCache struct {
	levels map[thresholdKey]cachedThreshold
}

// NewThresholdCache returns an empty cache.
func NewThresholdCache() *ThresholdCache {
	return &ThresholdCache{levels: map[thresholdKey]cachedThreshold{}}
}

// Store stores the threshold that came with an answer to an attempt of the
// workspace.
func (c *ThresholdCache) Store(now time.Time, upstream, workspace string, t wire.Threshold) {
	level := fromThreshold(t)
	key := thresholdKey{upstream, workspace}
	if level >= maxLevel {
		delete(c.levels, key)
		return
	}
	if _, known := c.levels[key]; !known && len(c.levels) >= maxCachedThresholds {
		c.Prune(now)
		if len(c.levels) >= maxCachedThresholds {
			return // without a known threshold, the upstream sheds the request itself
		}
	}
	c.levels[key] = cachedThreshold{level: level, at: now}
}

// Highest returns the highest threshold of the given upstreams for a workspace.
// A request that it sheds would be shed by each of them. An upstream without a
// known threshold counts as admitting everything.
func (c *ThresholdCache) Highest(now time.Time, upstreams iter.Seq[string], workspace string) wire.Threshold {
	highest := 0
	for upstream := range upstreams {
		t, known := c.levels[thresholdKey{upstream, workspace}]
		if !known {
			return AdmitAll()
		}
		highest = max(highest, t.decayed(now))
	}
	if highest == 0 {
		return AdmitAll() // no upstream was given
	}
	return toThreshold(highest)
}

// Admits reports whether the upstream is expected to admit a request. Without a
// known threshold it is.
func (c *ThresholdCache) Admits(now time.Time, upstream, workspace string, importance, rootHash uint8) bool {
	t, known := c.levels[thresholdKey{upstream, workspace}]
	if !known {
		return true
	}
	key := int(min(importance, importanceCount-1))*hashesPerImportance + int(rootHash)
	return key < t.decayed(now)
}

// Prune removes the thresholds that have decayed to admitting everything.
func (c *ThresholdCache) Prune(now time.Time) {
	for key, t := range c.levels {
		if t.decayed(now) >= maxLevel {
			delete(c.levels, key)
		}
	}
}

// decayed returns the level that applies at the given time. It stays unchanged for
// thresholdHoldTime and then rises linearly to maxLevel within thresholdDecayTime.
func (t cachedThreshold) decayed(now time.Time) int {
	age := now.Sub(t.at) - thresholdHoldTime
	if age <= 0 {
		return t.level
	}
	return min(maxLevel, t.level+int(int64(maxLevel-t.level)*int64(age)/int64(thresholdDecayTime)))
}

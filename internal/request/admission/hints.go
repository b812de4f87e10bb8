package admission

import (
	"iter"
	"time"

	"tarragonshore.example/tarragonshore/internal/connection/wire"
)

const (
	// hintHold is the time for which a threshold from an answer applies unchanged.
	hintHold = 250 * time.Millisecond
	// hintDecay is the time in which it then rises to admit everything. An
	// asker that sheds everything gets no answers with newer thresholds.
	hintDecay = time.Second
	// maxHints bounds the store; more upstreams times workspaces than this are
	// not in use at one daemon.
	maxHints = 8192
)

type hintKey struct{ upstream, workspace string }

type hint struct {
	level int
	at    time.Time
}

// Hints keeps the shedding thresholds that upstreams sent with their answers,
// per upstream and workspace. It implements routing.Thresholds.
type Hints struct {
	levels map[hintKey]hint
}

// NewHints returns an empty store.
func NewHints() *Hints { return &Hints{levels: map[hintKey]hint{}} }

// Learn stores the threshold of an answer to an attempt of the workspace.
func (h *Hints) Learn(now time.Time, upstream, workspace string, t wire.Threshold) {
	level := fromThreshold(t)
	key := hintKey{upstream, workspace}
	if level >= maxLevel {
		delete(h.levels, key)
		return
	}
	if _, known := h.levels[key]; !known && len(h.levels) >= maxHints {
		h.Prune(now)
		if len(h.levels) >= maxHints {
			return // without a hint the upstream itself refuses
		}
	}
	h.levels[key] = hint{level: level, at: now}
}

// Greatest returns the greatest known threshold of the upstreams for a
// workspace. None of them admits what it rejects.
func (h *Hints) Greatest(now time.Time, upstreams iter.Seq[string], workspace string) wire.Threshold {
	greatest := 0
	for upstream := range upstreams {
		t, known := h.levels[hintKey{upstream, workspace}]
		if !known {
			return AdmitsAll()
		}
		greatest = max(greatest, t.decayed(now))
	}
	if greatest == 0 {
		return AdmitsAll() // there is no upstream
	}
	return toThreshold(greatest)
}

// Allows tells whether the known threshold admits a request.
func (h *Hints) Allows(now time.Time, upstream, workspace string, importance, rootHash uint8) bool {
	t, known := h.levels[hintKey{upstream, workspace}]
	if !known {
		return true
	}
	key := int(min(importance, importances-1))*hashes + int(rootHash)
	return key < t.decayed(now)
}

// Prune removes thresholds that have decayed.
func (h *Hints) Prune(now time.Time) {
	for key, t := range h.levels {
		if t.decayed(now) >= maxLevel {
			delete(h.levels, key)
		}
	}
}

// decayed returns the level at a time.
func (t hint) decayed(now time.Time) int {
	age := now.Sub(t.at) - hintHold
	if age <= 0 {
		return t.level
	}
	return min(maxLevel, t.level+int(int64(maxLevel-t.level)*int64(age)/int64(hintDecay)))
}

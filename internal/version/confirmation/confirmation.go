// Package confirmation decides from whom a daemon learns that its tables are still the
// newest, and how old that knowledge is.
//
// A withdrawn key must be refused everywhere within seconds, so every daemon needs a
// proof, renewed every few seconds, that nothing newer was published. If each of several
// hundred daemons asked the store for it, the calls would grow with the hosts. Instead,
// one daemon per availability zone reads the store, and the others ask it. A question is
// parked there until the reader's next confirmation, like a long poll at the store, so
// that the tables of all daemons are about as old as the reader's.
//
// The proof needs no agreed clocks. The reader answers how long ago its own confirmation
// was (age) and how long it has held the question (held), both on its own clock. The
// question was sent before it was received, so the confirmation is at most age before the
// time of the question plus held, on the clock of the asker (ProvenTime). Delays, pauses
// and duplicates of messages make the tables look older, never fresher. The answer counts
// only for the version that the asker has in force.
//
// Which daemon reads is not agreed upon: each daemon ranks the members that it knows. A
// wrong choice costs calls or freshness, never the truth of a proof. A daemon that finds
// no reader turns to the store itself, before its tables are too old to be used.
//
// A Chooser is a pure state machine and not safe for concurrent use. Times are readings
// of a clock that goes on while the host is suspended.
package confirmation

import "time"

const (
	// clockDrift is the fraction by which the clocks of two hosts may run at different
	// speeds.
	clockDrift = 0.01
	// maxUsefulAge is the age above which an answer proves nothing of use; a daemon that
	// was never confirmed reports a greater one.
	maxUsefulAge = time.Minute
)

// Answer is a peer's answer to a question.
type Answer struct {
	Version uint64        // of the tables in force at the peer
	Age     time.Duration // since the peer's tables were confirmed
	Held    time.Duration // from the receipt of the question to the answer
}

// ProvenTime returns the time up to which an answer proves that the version in force was
// the newest one. asked is when the question was sent. ok is false if it proves nothing.
func ProvenTime(asked, now time.Duration, version uint64, answer Answer) (proven time.Duration, ok bool) {
	if answer.Version != version || answer.Age < 0 || answer.Age > maxUsefulAge || answer.Held < 0 {
		return 0, false
	}
	held := min(answer.Held, now-asked)
	return asked + time.Duration(float64(held)*(1-clockDrift)) - time.Duration(float64(answer.Age)*(1+clockDrift)), true
}

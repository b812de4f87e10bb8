package main

import (
	"os/signal"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a SIGTERM that is lost behind SIGHUPs that arrive during a reload: the
// process would serve on until the platform kills it.
func TestHangupsDoNotDisplaceAStop(t *testing.T) {
	g := NewWithT(t)
	stops, hangups := notifySignals()
	defer signal.Stop(stops)
	defer signal.Stop(hangups)
	done := make(chan struct{})
	send := func(s syscall.Signal) {
		g.Expect(syscall.Kill(syscall.Getpid(), s)).To(Succeed())
		time.Sleep(50 * time.Millisecond) // the system merges equal signals that are pending
	}
	reloading, reloaded := make(chan struct{}, 10), make(chan struct{})
	go func() {
		defer close(done)
		waitForStop(stops, hangups, func() {
			reloading <- struct{}{}
			<-reloaded
		})
	}()
	send(syscall.SIGHUP)
	g.Eventually(reloading, "5s").Should(Receive())
	for range 3 {
		send(syscall.SIGHUP)
	}
	send(syscall.SIGTERM)
	close(reloaded)
	g.Eventually(done, "5s").Should(BeClosed())
}

// Package testbed runs the project's programs as separate processes on the
// loopback address, for the quick start, for load measurements and for tests
// that need real processes. It is for development only.
package testbed

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

const (
	readyTimeout      = 15 * time.Second
	readyPollInterval = 20 * time.Millisecond
	stopTimeout       = 20 * time.Second
)

// Process is a started program whose output goes to a log file.
type Process struct {
	Name    string
	LogPath string
	cmd     *exec.Cmd
	log     *os.File
	done    chan struct{} // closed when the process has ended
}

// StartProcess starts a program and appends its output to NAME.log in dir.
func StartProcess(dir, name, program string, args ...string) (*Process, error) {
	path := filepath.Join(dir, name+".log")
	log, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	cmd := exec.Command(program, args...)
	cmd.Stdout, cmd.Stderr = log, log
	// The kernel kills the child when its parent dies, so that an aborted run leaves
	// no processes.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		_ = log.Close()
		return nil, fmt.Errorf("start %s: %w", name, err)
	}
	p := &Process{Name: name, LogPath: path, cmd: cmd, log: log, done: make(chan struct{})}
	go func() {
		_ = cmd.Wait()
		close(p.done)
	}()
	return p, nil
}

// Signal sends a signal to the process.
func (p *Process) Signal(signal syscall.Signal) error { return p.cmd.Process.Signal(signal) }

// PID returns the process ID.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Running reports whether the process has not ended.
func (p *Process) Running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// Wait waits until the process has ended. It returns an error if that takes longer than
// timeout.
func (p *Process) Wait(timeout time.Duration) error {
	select {
	case <-p.done:
		_ = p.log.Close()
		return nil
	case <-time.After(timeout):
		return fmt.Errorf("%s has not ended within %s; see %s", p.Name, timeout, p.LogPath)
	}
}

// Stop sends SIGTERM and kills the process if it has not ended within stopTimeout.
func (p *Process) Stop() error {
	if !p.Running() {
		return nil
	}
	if err := p.Signal(syscall.SIGTERM); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return err
	}
	if err := p.Wait(stopTimeout); err != nil {
		_ = p.Kill()
		return err
	}
	return nil
}

// Kill sends SIGKILL and waits until the process has ended.
func (p *Process) Kill() error {
	if err := p.Signal(syscall.SIGKILL); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return err
	}
	return p.Wait(stopTimeout)
}

// Log returns the output so far.
func (p *Process) Log() string {
	content, err := os.ReadFile(p.LogPath)
	if err != nil {
		return ""
	}
	return string(content)
}

// Ports are chosen below the kernel's ephemeral range, from which the kernel takes the
// local ports of outgoing connections. A port of that range can be taken between the
// check that it is free and its use, which makes concurrent runs fail.
const (
	firstPort = 20_000
	lastPort  = 32_000
)

// FreePorts returns n ports of the loopback address that are free for both TCP and
// UDP, since a daemon uses its peer port for both. It searches upwards from a random
// port, so that concurrent runs rarely choose the same ports.
func FreePorts(n int) ([]int, error) {
	ports := make([]int, 0, n)
	port := firstPort + rand.IntN(lastPort-firstPort)
	for range lastPort - firstPort {
		if port++; port == lastPort {
			port = firstPort
		}
		if isFree(fmt.Sprintf("127.0.0.1:%d", port)) {
			ports = append(ports, port)
		}
		if len(ports) == n {
			return ports, nil
		}
	}
	return nil, fmt.Errorf("%d ports from %d to %d are free, %d are needed; end other runs", len(ports), firstPort, lastPort, n)
}

// isFree reports whether an address can be bound for both TCP and UDP.
func isFree(address string) bool {
	tcp, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	_ = tcp.Close()
	udp, err := net.ListenPacket("udp", address)
	if err != nil {
		return false
	}
	_ = udp.Close()
	return true
}

// WaitReady polls a URL until it responds with a status below 300, at most for
// readyTimeout.
func WaitReady(ctx context.Context, url string) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	last := errors.New("no response before the deadline")
	for {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
		if err != nil {
			return err
		}
		response, err := http.DefaultClient.Do(request)
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode < http.StatusMultipleChoices {
				return nil
			}
			err = fmt.Errorf("status %d", response.StatusCode)
		}
		if ctx.Err() == nil {
			last = err
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%s is not ready: %w", url, last)
		case <-time.After(readyPollInterval):
		}
	}
}

// Build compiles the programs of this module into dir.
func Build(dir string) error {
	cmd := exec.Command("go", "build", "-o", dir+string(filepath.Separator), "./cmd/...")
	root, err := moduleRoot()
	if err != nil {
		return err
	}
	cmd.Dir = root
	if output, err := cmd.CombinedOutput(); err != nil {
		return fmt.Errorf("build programs: %w\n%s", err, output)
	}
	return nil
}

// moduleRoot returns the directory that contains go.mod.
func moduleRoot() (string, error) {
	output, err := exec.Command("go", "env", "GOMOD").Output()
	if err != nil {
		return "", err
	}
	return filepath.Dir(strings.TrimSpace(string(output))), nil
}

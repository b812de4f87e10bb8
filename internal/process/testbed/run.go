package testbed

import (
	"context"
	"errors"
	"os/exec"
)

// run executes a program and returns its output, with errors, and its exit code.
func run(ctx context.Context, program string, args ...string) (string, int, error) {
	output, err := exec.CommandContext(ctx, program, args...).CombinedOutput()
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		return string(output), exit.ExitCode(), nil
	}
	return string(output), 0, err
}

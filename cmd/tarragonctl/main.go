// Command tarragonctl validates, publishes and inspects the routes and pools tables, and checks
// configurations of a shared platform.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"tarragonshore.example/tarragonshore/internal/process/operator"
	"tarragonshore.example/tarragonshore/platform"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	context.AfterFunc(ctx, stop) // a second signal ends the process at once
	env := operator.SystemEnvironment()
	env.Configurations = platform.ConfigurationChecker{}
	code := operator.Run(ctx, os.Args[1:], env)
	stop()
	os.Exit(code)
}

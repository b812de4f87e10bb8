// Command tarragonctl validates, publishes and inspects the routes and pools tables.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"tarragonshore.example/tarragonshore/internal/process/operator"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	context.AfterFunc(ctx, stop) // a second signal ends the process at once
	code := operator.Run(ctx, os.Args[1:], operator.SystemEnvironment())
	stop()
	os.Exit(code)
}

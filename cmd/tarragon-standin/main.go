// Command tarragon-standin runs stand-ins (test doubles) for the platform's log and for
// backend servers, for development only.
package main

import (
	"os"

	"tarragonshore.example/tarragonshore/internal/process/standin"
)

func main() { os.Exit(standin.Main(os.Args[1:])) }

// Command tarragon-standin runs development stand-ins for what surrounds the
// system.
package main

import (
	"os"

	"tarragonshore.example/tarragonshore/internal/process/standin"
)

func main() { os.Exit(standin.Main(os.Args[1:])) }

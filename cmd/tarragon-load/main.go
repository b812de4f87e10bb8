// Command tarragon-load drives seeded open-loop load against tarragonshore and
// reports goodput, latency, recovery and fairness.
package main

import (
	"os"

	"tarragonshore.example/tarragonshore/internal/process/load"
)

func main() { os.Exit(load.Main(os.Args[1:])) }

// Command tarragon-load drives seeded open-loop load and reports the measures.
package main

import (
	"os"

	"tarragonshore.example/tarragonshore/internal/process/load"
)

func main() { os.Exit(load.Main(os.Args[1:])) }

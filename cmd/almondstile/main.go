// Command almondstile contains the proxy daemon of an entry VM ("serve"), a small
// fleet for trials ("demo") and the operators' commands in one binary.
package main

import (
	"os"

	"almondstile/cli"
)

func main() {
	os.Exit(cli.Run(os.Args[1:], serveCommand(), demoCommand()))
}

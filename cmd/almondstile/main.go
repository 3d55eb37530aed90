// Command almondstile is the proxy daemon of an entry VM and the operators'
// client in one binary.
package main

import (
	"os"

	"almondstile/cli"
)

func main() {
	os.Exit(cli.Run(os.Args[1:], serveCommand(), demoCommand()))
}

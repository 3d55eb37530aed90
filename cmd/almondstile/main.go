// Command almondstile is the proxy daemon and the operators' client.
package main

import (
	"os"

	"almondstile/cli"
)

func main() { os.Exit(cli.Run(os.Args[1:])) }

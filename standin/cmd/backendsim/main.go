// Command backendsim runs simulated backend servers until it receives SIGINT or
// SIGTERM.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"almondstile/standin/backendsim"

	"github.com/jessevdk/go-flags"
	"github.com/sourcegraph/conc"
)

// options are the flags of the command.
type options struct {
	Servers string `long:"servers" required:"true" description:"JSON file with a list of backendsim.Config"`
	Admin   string `long:"admin" default:"127.0.0.1:0" description:"address of the admin interface"`
}

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "backendsim:", err)
		os.Exit(1)
	}
}

// run starts the configured servers and serves the admin interface.
func run() error {
	var opts options
	if _, err := flags.Parse(&opts); err != nil {
		return err
	}
	data, err := os.ReadFile(opts.Servers)
	if err != nil {
		return err
	}
	var configs []backendsim.Config
	if err := json.Unmarshal(data, &configs); err != nil {
		return err
	}
	host := backendsim.NewHost()
	defer host.Close()
	for _, c := range configs {
		if _, err := host.Start(c); err != nil {
			return err
		}
	}
	return serveAdmin(host, opts.Admin)
}

// serveAdmin serves the admin interface until the process receives SIGINT or
// SIGTERM. It prints the address of the interface as the first line of standard
// output, so that the parent process can connect to it.
func serveAdmin(host *backendsim.Host, address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	fmt.Println(listener.Addr())
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	server := &http.Server{Handler: host.Admin(), ReadHeaderTimeout: 5 * time.Second}
	var wg conc.WaitGroup
	defer wg.Wait()
	wg.Go(func() {
		<-ctx.Done()
		_ = server.Close()
	})
	defer cancel()
	if err := server.Serve(listener); err != http.ErrServerClosed {
		return err
	}
	return nil
}

// Command almondstile is the proxy daemon and the operators' client.
package main

func main() {}

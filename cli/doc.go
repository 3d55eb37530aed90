// Package cli implements the operators' command line. Its own commands call the
// HTTP API of package operator, except check, which only reads files. The caller
// of Run passes further commands, such as the daemon's "serve".
//
// Exit codes: 0 done, 1 failed or refused, 2 wrong usage or settings, 3 outcome
// unknown. After exit code 3 the operator repeats the confirm, which is safe
// because a repeated confirm never applies a plan twice. After exit code 3 of "vm
// discard" the operator looks at the member list with "status".
package cli

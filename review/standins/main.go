// Command standins plays a case of the review: a small deployment on loopback addresses, whose clients, hosts, routers and
// store are stand-ins that follow PROTOCOL.md, and whose entries and agents are the project's own programs.
package main

import (
	"fmt"
	"os"
)

func main() {
	if len(os.Args) != 5 {
		fmt.Fprintln(os.Stderr, "usage: standins CASE PROGRAM RECORD TROUBLE")
		os.Exit(2)
	}
	run, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case")
		os.Exit(2)
	}
	run(os.Args[2], os.Args[3], os.Args[4] != "0")
}

var cases = map[string]func(program, record string, trouble bool){
	"long-flow-upload": longFlowUpload,
	"explore":          explore,
	"moved-route":      movedRoute,
	"stepped-host":     steppedHost,
}

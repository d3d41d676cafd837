//go:build review3

// Command standins-3 plays the cases of the third review: the project's own processes run beside stand-ins for hosts, clients,
// routers and the platform's store.
package main

import (
	"fmt"
	"os"
)

func main() { os.Exit(run()) }

// run plays a case: the name of the scenario and the folder of the case. It returns 1 if the rule was broken, 0 if it held and 2 if the
// case couldn't run.
func run() int {
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins-3 SCENARIO FOLDER")
		return 2
	}
	l, err := newLab(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer l.end()
	if err := scenarios[os.Args[1]](l, os.Getenv("TROUBLE") != "0"); err != nil {
		l.note("could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.couldNotRun {
		return 2
	}
	for _, f := range l.failures {
		fmt.Println(f)
	}
	if len(l.failures) > 0 {
		l.noteLocked("the rule was broken")
		return 1
	}
	l.noteLocked("the rule held")
	return 0
}

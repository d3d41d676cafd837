package main

import (
	"fmt"
	"os"
	"os/signal"
	"sync/atomic"
	"syscall"
)

// running is the fleet of the scenario, nil before it starts.
var running atomic.Pointer[fleet]

// stopOnSignal ends all processes of the scenario and the program when it is told to stop.
func stopOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-signals
		if f := running.Load(); f != nil {
			f.stopAll()
		}
		os.Exit(exitFailed)
	}()
}

// scenarios are the scenarios by name. Each returns an error if it could not be played.
var scenarios = map[string]func(*record) error{
	"growth":       growth,
	"moved-route":  movedRoute,
	"clock-ahead":  clockAhead,
	"stale-entry":  staleEntry,
	"equal-tags":   equalTags,
	"long-request": longRequest,
}

const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	if len(args) != 3 || scenarios[args[0]] == nil || args[1] != "--out" {
		fmt.Fprintln(os.Stderr, "usage: reviewfleet SCENARIO --out FILE")
		return exitFailed
	}
	stopOnSignal()
	rec, err := newRecord(args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	if err := scenarios[args[0]](rec); err != nil {
		rec.add("could not be played: %v", err)
		fmt.Println("could not be played:", err)
		return exitFailed
	}
	broken := rec.brokenRules()
	for _, b := range broken {
		fmt.Println(b)
	}
	rec.add("broken rules: %d", len(broken))
	if len(broken) > 0 {
		return exitBroken
	}
	fmt.Println("no rule was broken")
	return exitHeld
}

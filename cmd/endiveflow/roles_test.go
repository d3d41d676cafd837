package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// scriptTimeout bounds each wait in a script.
const scriptTimeout = 20 * time.Second

// randomLoopback returns the first three bytes of loopback addresses, so that scripts that run concurrently
// do not conflict.
func randomLoopback() string {
	return fmt.Sprintf("127.%d.%d", 1+rand.IntN(254), rand.IntN(256))
}

// expandFiles expands variables such as $LOOPBACK in files of a script.
func expandFiles(ts *testscript.TestScript, _ bool, args []string) {
	for _, name := range args {
		text := os.Expand(ts.ReadFile(name), ts.Getenv)
		ts.Check(os.WriteFile(ts.MkAbs(name), []byte(text), 0o600))
	}
}

// awaitAnswer waits until a URL answers with a status code, as in "answers 200 URL".
func awaitAnswer(ts *testscript.TestScript, _ bool, args []string) {
	want, err := strconv.Atoi(args[0])
	ts.Check(err)
	var last string
	for begin := time.Now(); time.Since(begin) < scriptTimeout; time.Sleep(20 * time.Millisecond) {
		res, err := http.Get(args[1])
		if err != nil {
			last = err.Error()
			continue
		}
		_ = res.Body.Close()
		if res.StatusCode == want {
			return
		}
		last = res.Status
	}
	ts.Fatalf("%s does not answer %d: %s", args[1], want, last)
}

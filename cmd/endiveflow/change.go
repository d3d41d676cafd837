package main

import (
	"context"
	"fmt"
	"io"
	"os"

	"endiveflow.example/endiveflow/apply"
)

// changeFlags are the flags of commands that change the configuration.
type changeFlags struct {
	writeFlags
	waitFlags
	outputFlags
}

// changeOutput is the JSON form of a change.
type changeOutput struct {
	Results []changeResult `json:"results"`
	// NotAttempted holds the objects after the first failure, which were not written.
	NotAttempted []string `json:"notTried,omitempty"`
	// Wait is the state of the change when --wait ended.
	Wait *waitOutput `json:"wait,omitempty"`
	// OpenFlows is the number of open flows of the drained host; nil if its agent was not queried.
	OpenFlows *int `json:"openFlows,omitempty"`
}

type changeResult struct {
	Object  string       `json:"object"`
	Action  apply.Action `json:"action"`
	Version uint64       `json:"version,omitempty"`
	// Recovered reports that the store's answer was lost and the write was found by reading back.
	Recovered bool   `json:"recovered,omitempty"`
	Error     string `json:"error,omitempty"`
}

// finish prints the writes of a run that ended with err and, if there was no error, waits if --wait is set.
// With JSON output, standard output must contain a single object, so the progress of the wait is printed to
// standard error.
func (f changeFlags) finish(ctx context.Context, out io.Writer, report apply.Report, err error) error {
	return f.finishWith(ctx, out, report, err, nil)
}

// finishWith is finish for a command that reports the open flows of a host after
// its writes; openFlows may be nil.
func (f changeFlags) finishWith(ctx context.Context, out io.Writer, report apply.Report, err error, openFlows func(context.Context) (int, error)) error {
	if f.Output != outputJSON {
		printReport(out, report)
		if err != nil {
			return err
		}
		if _, err = f.awaitInForce(ctx, out, report); err != nil || openFlows == nil {
			return err
		}
		flows, err := openFlows(ctx)
		if err != nil {
			return err
		}
		_, err = fmt.Fprintf(out, "%d flows are open at the host\n", flows)
		return wrapPrinting(err)
	}
	result := newChangeOutput(report)
	if err == nil {
		result.Wait, err = f.awaitInForce(ctx, os.Stderr, report)
	}
	if err == nil && openFlows != nil {
		var flows int
		if flows, err = openFlows(ctx); err == nil {
			result.OpenFlows = &flows
		}
	}
	if printErr := printJSON(out, result); printErr != nil && err == nil {
		err = printErr
	}
	return err
}

func newChangeOutput(report apply.Report) changeOutput {
	result := changeOutput{Results: []changeResult{}}
	for _, r := range report.Results {
		c := changeResult{Object: r.Key.String(), Action: r.Action, Version: r.Version, Recovered: r.Recovered}
		if r.Err != nil {
			c.Error = r.Err.Error()
		}
		result.Results = append(result.Results, c)
	}
	for _, s := range report.NotAttempted {
		result.NotAttempted = append(result.NotAttempted, s.Key.String())
	}
	return result
}

// printReport prints one line for each write.
func printReport(out io.Writer, report apply.Report) {
	for _, r := range report.Results {
		switch {
		case r.Err != nil:
			_, _ = fmt.Fprintf(out, "%s: %s failed\n", r.Key, r.Action)
		case r.Action == apply.ActionNone:
			_, _ = fmt.Fprintf(out, "%s: unchanged at version %d\n", r.Key, r.Version)
		case r.Recovered:
			_, _ = fmt.Fprintf(out, "%s: %s, version %d (answer lost, found by reading back)\n", r.Key, r.Action, r.Version)
		default:
			_, _ = fmt.Fprintf(out, "%s: %s, version %d\n", r.Key, r.Action, r.Version)
		}
	}
	for _, s := range report.NotAttempted {
		_, _ = fmt.Fprintf(out, "%s: not tried\n", s.Key)
	}
}

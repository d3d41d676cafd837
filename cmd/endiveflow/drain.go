package main

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"

	"endiveflow.example/endiveflow/config"
)

type drainCommand struct {
	changeFlags
	Agent string     `placeholder:"URL" help:"Base URL of the admin endpoint of the host's agent, which is then asked how many flows are still open."`
	Host  netip.Addr `arg:"" help:"IP address of the host."`
}

// Help returns an example of the command.
func (drainCommand) Help() string {
	return `Writes an exception that keeps new flows and new work away from a host. Its open flows stay open and are served through other hosts. With --wait, the command ends when the drain is in force at every live node of the region.

Example:
  endiveflow drain --platform http://127.0.0.2:7400 --why "disk swap" --wait --admin http://127.0.0.11:7004 --agent http://127.0.0.21:7004 127.0.0.21`
}

// Run writes the exception that drains a host. The reason of the exception is that of the change.
func (c drainCommand) Run(ctx context.Context, out io.Writer) error {
	if err := c.check(); err != nil {
		return err
	}
	if c.Agent != "" {
		if _, err := parseAdmin(c.Agent); err != nil {
			return err
		}
	}
	a, err := c.writer()
	if err != nil {
		return err
	}
	objects, err := a.Objects(ctx)
	if err != nil {
		return fmt.Errorf("draining %s: %w", c.Host, err)
	}
	if !hostAllowed(objects, c.Host) {
		return errors.NotFoundf("host %s in the networks of the upstreams", c.Host)
	}
	if keys := drainExceptions(objects, c.Host); len(keys) > 0 {
		return errors.AlreadyExistsf("drain of host %s, %s,", c.Host, keys[0])
	}
	exception := config.Object{
		Key:       config.Key{Kind: config.KindException, Name: "drain-" + strings.ReplaceAll(c.Host.String(), ".", "-")},
		Exception: &config.Exception{Target: config.HostTarget(c.Host), Setting: config.SettingDrain, Value: "true", Reason: c.Why},
	}
	report, err := a.Apply(ctx, config.NewSet(exception), c.Why)
	if c.Agent == "" {
		return c.finish(ctx, out, report, err)
	}
	return c.finishWith(ctx, out, report, err, c.openFlows)
}

// flowsMetric is the gauge of an agent's open flows. An agent's member record does not contain the address
// of its admin endpoint, so the operator passes it with --agent.
const flowsMetric = "endiveflow_flowserver_flows"

// agentTimeout bounds the request to the agent.
const agentTimeout = 5 * time.Second

// openFlows fetches the number of open flows from the host's agent.
func (c drainCommand) openFlows(ctx context.Context) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, agentTimeout)
	defer cancel()
	body, err := getAdmin(ctx, c.Agent, "/metrics", nil)
	if err != nil {
		return 0, fmt.Errorf("the drain is written, but the number of open flows could not be read: %w", err)
	}
	for line := range strings.Lines(string(body)) {
		name, value, _ := strings.Cut(strings.TrimSpace(line), " ")
		if name == flowsMetric {
			return strconv.Atoi(value)
		}
	}
	return 0, errors.NotFoundf("the drain is written, but %s in the metrics of %s", flowsMetric, c.Agent)
}

func hostAllowed(objects []config.Object, host netip.Addr) bool {
	view := config.NewView()
	for _, o := range objects {
		view.Apply(o)
	}
	for name := range view.Services() {
		if view.AllowsHost(config.TagOf(name), host) {
			return true
		}
	}
	return false
}

// drainExceptions returns the live exceptions that drain a host.
func drainExceptions(objects []config.Object, host netip.Addr) []config.Key {
	var out []config.Key
	for _, o := range objects {
		e := o.Exception
		if !o.Deleted && e != nil && e.Setting == config.SettingDrain && e.Target == config.HostTarget(host) && e.Value == "true" {
			out = append(out, o.Key)
		}
	}
	return out
}

package main

import (
	"context"
	"io"

	"endiveflow.example/endiveflow/config"
)

type deleteCommand struct {
	changeFlags
	Keys []string `arg:"" help:"Objects to delete, such as Service/rota."`
}

// Help returns an example of the command.
func (deleteCommand) Help() string {
	return `A deleted object keeps its versions and its history. An object that others refer to is deleted together with them or not at all.

Example:
  endiveflow delete --platform http://127.0.0.2:7400 --why "season end" Upstream/draws-hosts Service/draws`
}

// Run marks objects as deleted.
func (c deleteCommand) Run(ctx context.Context, out io.Writer) error {
	if err := c.check(); err != nil {
		return err
	}
	keys, err := parseKeys(c.Keys)
	if err != nil {
		return err
	}
	a, err := c.writer()
	if err != nil {
		return err
	}
	report, err := a.Delete(ctx, c.Why, keys...)
	return c.finish(ctx, out, report, err)
}

func parseKeys(texts []string) ([]config.Key, error) {
	var out []config.Key
	for _, text := range texts {
		k, err := config.ParseKey(text)
		if err != nil {
			return nil, err
		}
		out = append(out, k)
	}
	return out, nil
}

package main

import (
	"context"
	"io"

	"endiveflow.example/endiveflow/config"
)

type deleteCommand struct {
	writeFlags
	Keys []string `arg:"" help:"Objects to delete, such as Service/rota."`
}

// Run marks objects as deleted.
func (c deleteCommand) Run(ctx context.Context, out io.Writer) error {
	keys, err := parseKeys(c.Keys)
	if err != nil {
		return err
	}
	a, err := c.writer()
	if err != nil {
		return err
	}
	report, err := a.Delete(ctx, c.Why, keys...)
	return printReport(out, report, err)
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

package main

import (
	"context"
	"fmt"
	"io"

	"github.com/juju/errors"

	"endiveflow.example/endiveflow/config"
)

type getCommand struct {
	storeFlags
	Keys []string `arg:"" optional:"" help:"Objects to print, such as Service/rota; default all."`
}

// Run prints objects as documents that apply reads, with their versions.
func (c getCommand) Run(ctx context.Context, out io.Writer) error {
	keys, err := parseKeys(c.Keys)
	if err != nil {
		return err
	}
	a, err := c.reader()
	if err != nil {
		return err
	}
	objects, err := a.Objects(ctx)
	if err != nil {
		return err
	}
	live := make(map[config.Key]config.Object)
	for _, o := range objects {
		if !o.Deleted {
			live[o.Key] = o
			if len(c.Keys) == 0 {
				keys = append(keys, o.Key)
			}
		}
	}
	for i, k := range keys {
		o, ok := live[k]
		if !ok {
			return errors.NotFoundf("%s", k)
		}
		text, err := config.MarshalYAML(o)
		if err != nil {
			return err
		}
		if i > 0 {
			text = append([]byte("---\n"), text...)
		}
		if _, err := out.Write(text); err != nil {
			return fmt.Errorf("printing %s: %w", k, err)
		}
	}
	return nil
}

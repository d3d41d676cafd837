package demo

import (
	"context"
	"fmt"

	"endiveflow.example/endiveflow/config"
	"endiveflow.example/endiveflow/platform"
)

// Apply writes objects to the store.
func (f *Fleet) Apply(ctx context.Context, objects ...config.Object) error {
	client, err := platform.New(platform.Config{URL: f.platformURL()})
	if err != nil {
		return fmt.Errorf("making store client: %w", err)
	}
	for _, o := range objects {
		value, err := config.EncodeValue(o)
		if err != nil {
			return fmt.Errorf("encoding %s: %w", o, err)
		}
		version, err := client.Put(ctx, "config/"+o.String(), value, 0)
		if err != nil {
			return fmt.Errorf("writing %s: %w", o, err)
		}
		o.Version = version
		f.applied = append(f.applied, o)
	}
	for _, e := range f.entries {
		for _, o := range f.applied {
			e.part.Board().Config.Apply(o)
		}
	}
	return nil
}

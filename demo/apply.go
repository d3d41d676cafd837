package demo

import (
	"context"
	"fmt"

	"endiveflow.example/endiveflow/apply"
	"endiveflow.example/endiveflow/config"
	"endiveflow.example/endiveflow/platform"
)

// Apply writes objects to the store, like an operator with endiveflow apply.
func (f *Fleet) Apply(ctx context.Context, why string, objects ...config.Object) error {
	client, err := platform.New(platform.Config{URL: f.platformURL()})
	if err != nil {
		return fmt.Errorf("creating store client: %w", err)
	}
	applier, err := apply.New(apply.Config{Client: client, Who: "demo"})
	if err != nil {
		return fmt.Errorf("creating applier: %w", err)
	}
	if _, err := applier.Apply(ctx, config.NewSet(objects...), why); err != nil {
		return fmt.Errorf("applying: %w", err)
	}
	return nil
}

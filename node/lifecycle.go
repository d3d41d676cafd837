package node

import (
	"context"
	"fmt"
	"log/slog"

	"go.uber.org/fx"
)

// Controller is a part of a process that runs in the background.
type Controller struct {
	// Name appears in logs.
	Name string
	// Run starts the controller. The returned channel receives the result when it ends.
	Run func(context.Context) <-chan error
	// Stop stops the controller gracefully before its context is cancelled; nil means that cancelling is
	// enough.
	Stop func(context.Context) error
}

// AppendController adds a controller to the lifecycle: it starts with the application, and stops before the controllers
// that were appended before it. A controller that ends with an error before its context is cancelled shuts
// down the application.
func AppendController(lc fx.Lifecycle, shutdown fx.Shutdowner, log *slog.Logger, c Controller) {
	ctx, cancel := context.WithCancel(context.Background())
	var done <-chan error
	result := make(chan error, 1)
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			done = c.Run(ctx)
			go watchEnd(ctx, done, result, func(err error) {
				log.Error("controller ended", "controller", c.Name, "error", err)
				_ = shutdown.Shutdown(fx.ExitCode(1))
			})
			return nil
		},
		OnStop: func(stopCtx context.Context) error {
			defer cancel()
			if err := stopGracefully(stopCtx, c); err != nil {
				log.Warn("graceful stop failed", "controller", c.Name, "error", err)
			}
			cancel()
			return awaitEnd(stopCtx, c.Name, result)
		},
	})
}

func watchEnd(ctx context.Context, done <-chan error, result chan<- error, onFailure func(error)) {
	err := <-done
	result <- err
	if ctx.Err() == nil && err != nil {
		onFailure(err)
	}
}

func stopGracefully(ctx context.Context, c Controller) error {
	if c.Stop == nil {
		return nil
	}
	if err := c.Stop(ctx); err != nil {
		return fmt.Errorf("stopping %s: %w", c.Name, err)
	}
	return nil
}

func awaitEnd(ctx context.Context, name string, result <-chan error) error {
	select {
	case err := <-result:
		if err != nil {
			return fmt.Errorf("running %s: %w", name, err)
		}
		return nil
	case <-ctx.Done():
		return fmt.Errorf("waiting for %s to end: %w", name, ctx.Err())
	}
}

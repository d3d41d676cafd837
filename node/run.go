package node

import (
	"context"
	"fmt"
	"log/slog"
	"time"

	"github.com/juju/errors"
	"go.uber.org/fx"

	"endiveflow.example/endiveflow/config"
	"endiveflow.example/endiveflow/member"
)

// configBuffer is the number of changed objects that wait to be sent on. Those
// that don't fit are found by the exchange of digests.
const configBuffer = 256

// SupersededError says that a newer incarnation of this process is known. A
// new start must use an incarnation above it.
type SupersededError struct {
	Incarnation member.Incarnation
}

// Error returns the text of the error.
func (e *SupersededError) Error() string {
	return fmt.Sprintf("incarnation %d of this process is already known", e.Incarnation)
}

// ErrController says that a controller ended by itself.
const ErrController = errors.ConstError("a controller failed")

// RunApp starts an application and stops it gracefully when ctx ends, when
// one of its controllers fails, or when the process is superseded.
func RunApp(ctx context.Context, app *fx.App, b *Board) <-chan error {
	done := make(chan error, 1)
	go func() { done <- runApp(ctx, app, b) }()
	return done
}

func runApp(ctx context.Context, app *fx.App, b *Board) error {
	if err := app.Start(context.WithoutCancel(ctx)); err != nil {
		return fmt.Errorf("starting: %w", err)
	}
	var cause error
	select {
	case <-ctx.Done():
	case signal := <-app.Wait():
		// An ordinary signal of the operating system has exit code 0.
		if signal.ExitCode != 0 {
			cause = ErrController
		}
	case inc := <-b.Self.Superseded():
		cause = &SupersededError{Incarnation: inc}
	}
	stopCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), app.StopTimeout())
	defer cancel()
	if err := app.Stop(stopCtx); err != nil {
		return fmt.Errorf("stopping: %w", err)
	}
	return cause
}

// Sleep waits for d or until ctx ends, then with its error.
func Sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// EncodeObjects returns the encoded form of objects. One that can't be
// encoded is left out and logged.
func EncodeObjects(log *slog.Logger, objects []config.Object) [][]byte {
	out := make([][]byte, 0, len(objects))
	for _, o := range objects {
		b, err := config.EncodeObject(o)
		if err != nil {
			log.Error("configuration object is not passed on", "object", o.String(), "error", err)
			continue
		}
		out = append(out, b)
	}
	return out
}

// ApplyEncoded returns a function that applies encoded objects to a view.
func ApplyEncoded(v *config.View) func([]byte) error {
	return func(b []byte) error {
		o, err := config.DecodeObject(b)
		if err != nil {
			return fmt.Errorf("decoding configuration object: %w", err)
		}
		v.Apply(o)
		return nil
	}
}

// EncodedChanges returns a channel of the objects that change, encoded, until ctx ends.
func EncodedChanges(ctx context.Context, b *Board) <-chan []byte {
	out := make(chan []byte, configBuffer)
	changes := b.Config.Subscribe(ctx)
	go func() {
		for c := range changes {
			o, ok := b.Config.Get(c.Key)
			if !ok {
				continue
			}
			for _, encoded := range EncodeObjects(b.Log, []config.Object{o}) {
				select {
				case out <- encoded:
				default:
				}
			}
		}
	}()
	return out
}

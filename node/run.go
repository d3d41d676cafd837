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

// changeBuffer is the number of changed objects that can wait to be sent. Further ones reach other processes
// through the exchange of digests.
const changeBuffer = 256

// SupersededError reports that a newer incarnation of this process exists. A restart must use a higher
// incarnation than that.
type SupersededError struct {
	Incarnation member.Incarnation
}

// Error implements error.
func (e *SupersededError) Error() string {
	return fmt.Sprintf("incarnation %d of this process is already known", e.Incarnation)
}

// ErrController reports that a controller failed.
const ErrController = errors.ConstError("a controller failed")

// RunApp starts an application and stops it gracefully when ctx ends, when one of its controllers fails, or
// when the process is superseded. The channel receives the result.
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
		// A signal of the operating system has exit code 0, a failed controller 1.
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

// Sleep waits for d. If ctx ends first, it returns ctx.Err().
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

// EncodeObjects encodes objects. Objects that can't be encoded are logged and left out.
func EncodeObjects(log *slog.Logger, objects []config.Object) [][]byte {
	out := make([][]byte, 0, len(objects))
	for _, o := range objects {
		b, err := config.EncodeObject(o)
		if err != nil {
			log.Error("cannot encode configuration object", "object", o.String(), "error", err)
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

// EncodedChanges returns a channel that receives each changed object in encoded form, until ctx ends.
func EncodedChanges(ctx context.Context, b *Board) <-chan []byte {
	out := make(chan []byte, changeBuffer)
	changes := b.Config.Subscribe(ctx)
	go func() {
		for change := range changes {
			o, ok := b.Config.Get(change.Key)
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

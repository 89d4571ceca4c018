// Package startup retries the steps of a process's start that fail for what passes by itself. It keeps no state; its functions may be called
// from any goroutine.
package startup

import (
	"context"
	"log/slog"
	"time"

	"topazshed/internal/constants"
)

// Wait says what a step of the start waits for.
type Wait struct {
	// Part names the step in the log.
	Part string
	// AtMost bounds the wait.
	AtMost time.Duration
	// PassesByItself tells whether an error of the step can end without anyone's help; it is false for no error.
	PassesByItself func(error) bool
}

// Retry does a step, and does it again every constants.StartRetry while its error passes by itself. It gives the step's last error, or that of
// ctx if it ends first.
func (w Wait) Retry(ctx context.Context, log *slog.Logger, step func() error) error {
	begun := time.Now()
	err := step()
	if !w.PassesByItself(err) {
		return err
	}
	log.Warn("the start waits for what passes by itself", "part", w.Part, "reason", err.Error(), "at_most", w.AtMost.String())
	for w.PassesByItself(err) && time.Since(begun) < w.AtMost {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(constants.StartRetry):
		}
		err = step()
	}
	if err == nil {
		log.Info("the start goes on", "part", w.Part, "milliseconds", time.Since(begun).Milliseconds())
	}
	return err
}

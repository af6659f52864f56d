// Package telemetry creates the gateway's logger and metrics, and serves the metrics and health checks on the admin
// address. The values of metric labels are names from the settings or constants, never client input, so the number of
// time series is bounded.
//
// Loggers and metrics are safe for concurrent use.
package telemetry

import (
	"fmt"
	"io"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

const (
	// samplingInterval is the interval in which lines with the same message and level are counted.
	samplingInterval = time.Second
	// samplingThereafter is N: after the first perSecond lines of an interval, only every Nth line is written.
	samplingThereafter = 100
)

// NewLogger returns a logger that writes to out. Of the lines with the same message and level it writes the first
// perSecond of each second and then every hundredth, so that many failures in a short time do not flood the log.
func NewLogger(out io.Writer, format, level string, perSecond int) (*zap.Logger, error) {
	lvl, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, fmt.Errorf("log level: %w", err)
	}
	cfg := zap.NewProductionEncoderConfig()
	cfg.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	cfg.EncodeDuration = zapcore.StringDurationEncoder
	enc := zapcore.NewJSONEncoder(cfg)
	if format == "console" {
		enc = zapcore.NewConsoleEncoder(cfg)
	}
	core := zapcore.NewCore(enc, zapcore.Lock(zapcore.AddSync(out)), lvl)
	return zap.New(zapcore.NewSamplerWithOptions(core, samplingInterval, perSecond, samplingThereafter)), nil
}

// Package telemetry makes the gateway's logger and metrics and serves them on the management address. What is
// measured is named here once; labels come from the settings (classes) or are fixed words, so their number is
// bounded.
//
// Loggers and metrics may be used from any goroutine.
package telemetry

import (
	"fmt"
	"io"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

const (
	// samplingInterval is the time in which lines with the same message and level are counted together.
	samplingInterval = time.Second
	// samplingRest is how many of them one is written for, once the bound of the interval is reached.
	samplingRest = 100
)

// NewLogger writes to out. Of lines with the same message and level, perSecond are written each second and every
// hundredth after that, so that a storm of failures does not become a storm of lines.
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
	return zap.New(zapcore.NewSamplerWithOptions(core, samplingInterval, perSecond, samplingRest)), nil
}

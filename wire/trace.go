package wire

import (
	"context"
	"net/http"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
)

const tracerName = "emberlead"

// Exporter selects where traces are sent.
type Exporter string

// Exporters of traces.
const (
	ExporterNone   Exporter = "none"
	ExporterStdout Exporter = "stdout"
	ExporterOTLP   Exporter = "otlp"
)

var propagator = propagation.TraceContext{}

// NewTracerProvider returns a tracer provider for an exporter; its Shutdown sends the remaining spans. It fails with KindInvalid.
func NewTracerProvider(ctx context.Context, exporter Exporter, endpoint string, fraction float64) (*sdktrace.TracerProvider, error) {
	sampler := sdktrace.ParentBased(sdktrace.TraceIDRatioBased(fraction))
	switch exporter {
	case ExporterStdout:
		out, err := stdouttrace.New()
		if err != nil {
			return nil, &Error{Op: "trace", Kind: "invalid", Err: err}
		}
		return sdktrace.NewTracerProvider(sdktrace.WithSampler(sampler), sdktrace.WithBatcher(out)), nil
	case ExporterOTLP:
		out, err := otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(endpoint))
		if err != nil {
			return nil, &Error{Op: "trace", Kind: "invalid", Err: err}
		}
		return sdktrace.NewTracerProvider(sdktrace.WithSampler(sampler), sdktrace.WithBatcher(out)), nil
	}
	return sdktrace.NewTracerProvider(sdktrace.WithSampler(sdktrace.NeverSample())), nil
}

// SetTracerProvider sets the global tracer provider.
func SetTracerProvider(provider *sdktrace.TracerProvider) { otel.SetTracerProvider(provider) }

func startSpan(ctx context.Context, name string, kind trace.SpanKind, attrs ...attribute.KeyValue) (context.Context, trace.Span) {
	return otel.Tracer(tracerName).Start(ctx, name, trace.WithSpanKind(kind), trace.WithAttributes(attrs...))
}

func endSpan(s trace.Span, err error) {
	if err != nil {
		s.SetStatus(codes.Error, err.Error())
	}
	s.End()
}

func injectTrace(ctx context.Context, header http.Header) {
	propagator.Inject(ctx, propagation.HeaderCarrier(header))
}

func extractTrace(ctx context.Context, header http.Header) context.Context {
	return propagator.Extract(ctx, propagation.HeaderCarrier(header))
}

package trace

import (
	"context"
	"encoding/binary"
	"io"
	"os"

	"github.com/cespare/xxhash/v2"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdk "go.opentelemetry.io/otel/sdk/trace"
	api "go.opentelemetry.io/otel/trace"

	"github.com/cyclamendock/cyclamendock/lib/fault"
)

// Off is the value of Config.Output that turns tracing off.
const Off = "off"

// Config configures a Tracer.
type Config struct {
	Output  string  // a file's path, "stderr" or "off"
	Process string  // name of the process in its spans
	Ratio   float64 // share of flows that are traced, from 0 to 1
}

// Tracer creates the spans of one process.
type Tracer struct {
	provider *sdk.TracerProvider
	tracer   api.Tracer
}

// NewTracer returns a tracer, or an Invalid fault when its output can't be opened.
func NewTracer(config Config) (*Tracer, error) {
	var writer io.Writer = os.Stderr
	switch config.Output {
	case Off, "":
		writer = io.Discard
		config.Ratio = 0
	case "stderr":
	default:
		file, err := os.OpenFile(config.Output, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
		if err != nil {
			return nil, fault.Wrap(err, fault.Invalid, "the trace output can't be opened", "give a writable path, stderr or off")
		}
		writer = file
	}
	exporter, err := stdouttrace.New(stdouttrace.WithWriter(writer))
	if err != nil {
		return nil, fault.Wrap(err, fault.Internal, "the trace exporter can't be created", "report this")
	}
	provider := sdk.NewTracerProvider(
		sdk.WithBatcher(exporter),
		sdk.WithResource(resource.NewSchemaless(attribute.String("process", config.Process))),
		sdk.WithSampler(sdk.TraceIDRatioBased(config.Ratio)),
	)
	return &Tracer{provider: provider, tracer: provider.Tracer("cyclamendock")}, nil
}

// FlowContext returns a context for the trace of a flow. The trace ID is derived from the service and the flow's first
// connection ID, so that all processes use the same one.
func FlowContext(ctx context.Context, service uint16, firstID []byte) context.Context {
	var traceID api.TraceID
	var spanID api.SpanID
	digest := xxhash.New()
	_, _ = digest.Write(binary.BigEndian.AppendUint16(nil, service))
	_, _ = digest.Write(firstID)
	binary.BigEndian.PutUint64(spanID[:], digest.Sum64())
	binary.BigEndian.PutUint64(traceID[:8], digest.Sum64())
	_, _ = digest.Write([]byte{1})
	binary.BigEndian.PutUint64(traceID[8:], digest.Sum64())
	return api.ContextWithRemoteSpanContext(ctx, api.NewSpanContext(api.SpanContextConfig{Remote: true, SpanID: spanID, TraceID: traceID}))
}

// Start starts a span with string attributes, given as alternating names and values.
func (t *Tracer) Start(ctx context.Context, name string, pairs ...string) (context.Context, api.Span) {
	ctx, span := t.tracer.Start(ctx, name)
	if span.IsRecording() {
		for i := 0; i+1 < len(pairs); i += 2 {
			span.SetAttributes(attribute.String(pairs[i], pairs[i+1]))
		}
	}
	return ctx, span
}

// Inject writes the trace of the context into the headers of an HTTP request.
func Inject(ctx context.Context, carrier propagation.TextMapCarrier) {
	propagation.TraceContext{}.Inject(ctx, carrier)
}

// Extract returns a context that continues the trace in the headers of an HTTP request.
func Extract(ctx context.Context, carrier propagation.TextMapCarrier) context.Context {
	return propagation.TraceContext{}.Extract(ctx, carrier)
}

// Close exports the remaining spans.
func (t *Tracer) Close() { _ = t.provider.Shutdown(context.Background()) }

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

// Off is the output that exports nothing.
const Off = "off"

// A Config holds where spans go.
type Config struct {
	Output  string  // a file's path, "stderr" or "off"
	Process string  // name of the member
	Ratio   float64 // share of flows that are traced
}

// A Tracer makes spans of one process.
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
		return nil, fault.Wrap(err, fault.Internal, "the trace exporter can't be made", "report this")
	}
	provider := sdk.NewTracerProvider(
		sdk.WithBatcher(exporter),
		sdk.WithResource(resource.NewSchemaless(attribute.String("process", config.Process))),
		sdk.WithSampler(sdk.TraceIDRatioBased(config.Ratio)),
	)
	return &Tracer{provider: provider, tracer: provider.Tracer("cyclamendock")}, nil
}

// Flow returns a context whose spans share the trace of one flow in every process.
func Flow(ctx context.Context, service uint16, firstID []byte) context.Context {
	var id api.TraceID
	var span api.SpanID
	d := xxhash.New()
	_, _ = d.Write(binary.BigEndian.AppendUint16(nil, service))
	_, _ = d.Write(firstID)
	binary.BigEndian.PutUint64(span[:], d.Sum64())
	binary.BigEndian.PutUint64(id[:8], d.Sum64())
	_, _ = d.Write([]byte{1})
	binary.BigEndian.PutUint64(id[8:], d.Sum64())
	return api.ContextWithRemoteSpanContext(ctx, api.NewSpanContext(api.SpanContextConfig{Remote: true, SpanID: span, TraceID: id}))
}

// Start starts a span with text attributes given as alternating names and values.
func (t *Tracer) Start(ctx context.Context, name string, pairs ...string) (context.Context, api.Span) {
	ctx, span := t.tracer.Start(ctx, name)
	if span.IsRecording() {
		for i := 0; i+1 < len(pairs); i += 2 {
			span.SetAttributes(attribute.String(pairs[i], pairs[i+1]))
		}
	}
	return ctx, span
}

// Inject writes the context's trace into the headers of an HTTP request.
func Inject(ctx context.Context, carrier propagation.TextMapCarrier) {
	propagation.TraceContext{}.Inject(ctx, carrier)
}

// Extract returns a context that continues the trace of an HTTP request's headers.
func Extract(ctx context.Context, carrier propagation.TextMapCarrier) context.Context {
	return propagation.TraceContext{}.Extract(ctx, carrier)
}

// Close exports the spans that wait.
func (t *Tracer) Close() { _ = t.provider.Shutdown(context.Background()) }

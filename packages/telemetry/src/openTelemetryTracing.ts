/** Tracing with the OpenTelemetry SDK, exported to an OTLP endpoint, a file or both. */

import { ROOT_CONTEXT, SpanStatusCode, trace, TraceFlags } from "@opentelemetry/api";
import type { Context, Span } from "@opentelemetry/api";
import { OTLPTraceExporter } from "@opentelemetry/exporter-trace-otlp-http";
import { resourceFromAttributes } from "@opentelemetry/resources";
import {
    BasicTracerProvider,
    BatchSpanProcessor,
    ParentBasedSampler,
    TraceIdRatioBasedSampler,
} from "@opentelemetry/sdk-trace-base";
import type { SpanExporter } from "@opentelemetry/sdk-trace-base";
import { newFileSpanExporter } from "./fileSpanExporter";
import { traceparentPattern } from "./Tracing";
import type { TraceSpan, Tracing, TracingSettings } from "./Tracing";

/** Parses a W3C `traceparent` header; a missing or malformed one starts a new trace. */
const toParentContext = (traceparent: string | undefined): Context => {
    const match = traceparent ? traceparentPattern.exec(traceparent) : undefined;
    if (!match) {
        return ROOT_CONTEXT;
    }
    const [, traceId, spanId, flags] = match;
    return trace.setSpanContext(ROOT_CONTEXT, {
        traceId: traceId!,
        spanId: spanId!,
        traceFlags: parseInt(flags!, 16) & TraceFlags.SAMPLED,
        isRemote: true,
    });
};

const getExporters = (settings: TracingSettings): readonly SpanExporter[] => [
    ...(settings.otlpUrl ? [new OTLPTraceExporter({ url: settings.otlpUrl })] : []),
    ...(settings.file ? [newFileSpanExporter(settings.file)] : []),
];

export const newOpenTelemetryTracing = (settings: TracingSettings): Tracing => {
    const exporters = getExporters(settings);
    const provider = new BasicTracerProvider({
        resource: resourceFromAttributes({
            "service.name": "anvilmux",
            "service.instance.id": settings.instanceId,
            "anvilmux.zone": settings.zone,
        }),
        sampler: new ParentBasedSampler({ root: new TraceIdRatioBasedSampler(settings.sampleRatio) }),
        spanProcessors: exporters.map(exporter => new BatchSpanProcessor(exporter)),
    });
    const tracer = provider.getTracer("anvilmux");
    const wrapSpan = (span: Span, context: Context): TraceSpan => ({
        child: (name, attributes = {}) => {
            const child = tracer.startSpan(name, { attributes }, context);
            return wrapSpan(child, trace.setSpan(context, child));
        },
        set: attributes => {
            span.setAttributes(attributes);
        },
        end: failure => {
            if (failure !== undefined) {
                span.setStatus({ code: SpanStatusCode.ERROR, message: failure });
            }
            span.end();
        },
        traceparent: () => {
            const { traceId, spanId, traceFlags } = span.spanContext();
            return `00-${traceId}-${spanId}-${traceFlags.toString(16).padStart(2, "0")}`;
        },
        traceId: span.spanContext().traceId,
    });
    return {
        start: (name, traceparent, attributes = {}) => {
            const parent = toParentContext(traceparent);
            const span = tracer.startSpan(name, { attributes }, parent);
            return wrapSpan(span, trace.setSpan(parent, span));
        },
        shutdown: () => provider.shutdown(),
    };
};

/** Spans for each hop of a request or job, through the OpenTelemetry SDK, with W3C trace context in and out. */

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

export type SpanAttributes = Readonly<Record<string, string | number | boolean>>;

/** One hop's span; ends once. */
export interface Hop {
    /** Starts a span below this one. */
    readonly child: (name: string, attributes?: SpanAttributes) => Hop;
    readonly set: (attributes: SpanAttributes) => void;
    readonly end: (failure?: string) => void;
    /** Value of the `traceparent` header that passes this span on. */
    readonly traceparent: () => string;
    readonly traceId: string;
}

export interface Tracing {
    /** Starts the first span in this process; `traceparent` is the header received, if any. */
    readonly start: (name: string, traceparent: string | undefined, attributes?: SpanAttributes) => Hop;
    readonly shutdown: () => Promise<void>;
}

export interface TracingSettings {
    readonly instanceId: string;
    readonly zone: string;
    /** Share of requests traced when the caller did not decide, 0 to 1. */
    readonly sampleRatio: number;
    /** OTLP over HTTP endpoint. */
    readonly otlpUrl?: string;
    /** File that receives spans as JSON lines. */
    readonly file?: string;
}

const traceparentPattern = /^00-([0-9a-f]{32})-([0-9a-f]{16})-([0-9a-f]{2})$/;

/** Reads a W3C `traceparent`; anything malformed starts a new trace. */
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

export const newTracing = (settings: TracingSettings): Tracing => {
    const exporters = getExporters(settings);
    if (exporters.length === 0) {
        return newDisabledTracing();
    }
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
    const wrapSpan = (span: Span, context: Context): Hop => ({
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

/** Tracing with no exporter: passes a received trace context on and records nothing. */
export const newDisabledTracing = (): Tracing => ({
    start: (...[, traceparent]) => {
        const received = traceparent && traceparentPattern.test(traceparent) ? traceparent : "";
        const hop: Hop = {
            child: () => hop,
            set: () => undefined,
            end: () => undefined,
            traceparent: () => received,
            traceId: received.slice(3, 35),
        };
        return hop;
    },
    shutdown: async () => undefined,
});

/** Trace spans of requests and jobs; the trace context is propagated in the W3C `traceparent` header. */

export type SpanAttributes = Readonly<Record<string, string | number | boolean>>;

/** A trace span; it is ended once. */
export interface TraceSpan {
    /** Starts a child span. */
    readonly child: (name: string, attributes?: SpanAttributes) => TraceSpan;
    readonly set: (attributes: SpanAttributes) => void;
    readonly end: (failure?: string) => void;
    /** Value of the `traceparent` header that propagates this span as the parent. */
    readonly traceparent: () => string;
    readonly traceId: string;
}

export interface Tracing {
    /** Starts the first span in this process; `traceparent` is the header received, if any. */
    readonly start: (name: string, traceparent: string | undefined, attributes?: SpanAttributes) => TraceSpan;
    readonly shutdown: () => Promise<void>;
}

export interface TracingSettings {
    readonly instanceId: string;
    readonly zone: string;
    /** Share of requests that are sampled when the caller sent no sampling decision, 0 to 1. */
    readonly sampleRatio: number;
    /** URL of an OTLP endpoint over HTTP. */
    readonly otlpUrl?: string;
    /** Path of a file to which spans are appended as JSON lines. */
    readonly file?: string;
}

export const traceparentPattern = /^00-([0-9a-f]{32})-([0-9a-f]{16})-([0-9a-f]{2})$/;

/** Tracing without an exporter: propagates a received trace context and records nothing. */
export const newDisabledTracing = (): Tracing => ({
    start: (...[, traceparent]) => {
        const received = traceparent && traceparentPattern.test(traceparent) ? traceparent : "";
        const span: TraceSpan = {
            child: () => span,
            set: () => undefined,
            end: () => undefined,
            traceparent: () => received,
            traceId: received.slice(3, 35),
        };
        return span;
    },
    shutdown: async () => undefined,
});

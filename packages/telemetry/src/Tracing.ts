/** Spans for each hop of a request or job, with W3C trace context in and out. */

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

export const traceparentPattern = /^00-([0-9a-f]{32})-([0-9a-f]{16})-([0-9a-f]{2})$/;

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

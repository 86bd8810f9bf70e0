/** Appends finished spans to a file, one JSON document per line. */

import { ExportResultCode } from "@opentelemetry/core";
import { hrTimeToMilliseconds } from "@opentelemetry/core";
import type { ReadableSpan, SpanExporter } from "@opentelemetry/sdk-trace-base";
import { createWriteStream } from "node:fs";

const toLine = (span: ReadableSpan): string =>
    JSON.stringify({
        traceId: span.spanContext().traceId,
        spanId: span.spanContext().spanId,
        parentSpanId: span.parentSpanContext?.spanId,
        name: span.name,
        startMs: hrTimeToMilliseconds(span.startTime),
        durationMs: hrTimeToMilliseconds(span.duration),
        attributes: span.attributes,
        failure: span.status.message,
        instance: span.resource.attributes["service.instance.id"],
        zone: span.resource.attributes["anvilmux.zone"],
    }) + "\n";

export const newFileSpanExporter = (path: string): SpanExporter => {
    const stream = createWriteStream(path, { flags: "a" });
    stream.on("error", () => undefined);
    return {
        export: (spans, finish) => {
            stream.write(spans.map(toLine).join(""), error => {
                finish({ code: error ? ExportResultCode.FAILED : ExportResultCode.SUCCESS });
            });
        },
        shutdown: () => new Promise(resolve => stream.end(resolve)),
    };
};

/**
 * Creates tracing according to the settings. The OpenTelemetry SDK is loaded only where spans are exported, because it
 * takes a large share of a small instance's memory.
 */

import { newDisabledTracing } from "./Tracing";
import type { Tracing, TracingSettings } from "./Tracing";

export const newTracing = async (settings: TracingSettings): Promise<Tracing> => {
    if (!settings.otlpUrl && !settings.file) {
        return newDisabledTracing();
    }
    const { newOpenTelemetryTracing } = await import("./openTelemetryTracing");
    return newOpenTelemetryTracing(settings);
};

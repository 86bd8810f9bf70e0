/** Counters, gauges and latency histograms, exported in the Prometheus text format. */

import type { Histogram } from "hdr-histogram-js";
import histogramModule from "hdr-histogram-js/dist/Int32Histogram.js";

export type Labels = Readonly<Record<string, string>>;

const microsecondsPerMillisecond = 1_000;
const lowestMicroseconds = 1;
const highestMicroseconds = 600_000_000;
const significantDigits = 3;
const exportedQuantiles = [0.5, 0.9, 0.99, 0.999];

/** A histogram of durations with microsecond resolution and three significant digits. */
export const newLatencyHistogram = (): Histogram =>
    new histogramModule.default(lowestMicroseconds, highestMicroseconds, significantDigits);

/** Records a duration given in milliseconds. */
export const recordMilliseconds = (histogram: Histogram, milliseconds: number): void => {
    const microseconds = Math.round(milliseconds * microsecondsPerMillisecond);
    histogram.recordValue(Math.min(highestMicroseconds, Math.max(0, microseconds)));
};

/** The duration in milliseconds below which `percentile` percent of the values lie. */
export const getPercentileMilliseconds = (histogram: Histogram, percentile: number): number =>
    histogram.getValueAtPercentile(percentile) / microsecondsPerMillisecond;

const toLabelText = (labels: Labels): string => {
    let text = "";
    for (const key in labels) {
        text += `${text === "" ? "{" : ","}${key}="${escapeLabelValue(labels[key]!)}"`;
    }
    return text === "" ? "" : text + "}";
};

/** Most values have nothing to escape, and each counted event passes here. */
const escapeLabelValue = (value: string): string =>
    charactersToEscape.test(value)
        ? value.replaceAll("\\", "\\\\").replaceAll("\"", "\\\"").replaceAll("\n", "\\n")
        : value;

const charactersToEscape = /["\\\n]/;

interface HistogramSeries {
    readonly histogram: Histogram;
    sum: number;
}

/** The metrics of one instance. */
export class Metrics {
    private readonly counters = new Map<string, Map<string, number>>();
    private readonly gauges = new Map<string, () => number>();
    private readonly histograms = new Map<string, Map<string, HistogramSeries>>();

    count(name: string, labels: Labels = {}, amount = 1): void {
        const series = getOrAdd(this.counters, name, () => new Map<string, number>());
        const label = toLabelText(labels);
        series.set(label, (series.get(label) ?? 0) + amount);
    }

    /** The current value of a counter, summed over all series whose labels contain `labels`. */
    getCount(name: string, labels: Labels = {}): number {
        const wanted = Object.keys(labels).length === 0 ? [] : toLabelText(labels).slice(1, -1).split(",");
        let sum = 0;
        for (const [label, value] of this.counters.get(name) ?? []) {
            sum += wanted.every(part => label.includes(part)) ? value : 0;
        }
        return sum;
    }

    /** Registers a gauge whose value is the result of `read` at the time of each export. */
    gauge(name: string, labels: Labels, read: () => number): void {
        this.gauges.set(name + toLabelText(labels), read);
    }

    /** Records a duration in a histogram. */
    observe(name: string, labels: Labels, milliseconds: number): void {
        const byLabel = getOrAdd(this.histograms, name, () => new Map<string, HistogramSeries>());
        const series = getOrAdd(byLabel, toLabelText(labels), () => ({ histogram: newLatencyHistogram(), sum: 0 }));
        recordMilliseconds(series.histogram, milliseconds);
        series.sum += milliseconds;
    }

    /** All metrics in the Prometheus text exposition format. */
    toPrometheusText(): string {
        const lines: string[] = [];
        for (const [name, series] of this.counters) {
            lines.push(`# TYPE ${name} counter`);
            series.forEach((value, label) => lines.push(`${name}${label} ${value}`));
        }
        this.gauges.forEach((read, key) => lines.push(`${key} ${read()}`));
        for (const [name, byLabel] of this.histograms) {
            lines.push(`# TYPE ${name} summary`);
            byLabel.forEach((series, label) => lines.push(...toSummaryLines(name, label, series)));
        }
        return lines.join("\n") + "\n";
    }
}

const toSummaryLines = (name: string, label: string, series: HistogramSeries): readonly string[] => {
    const labelPairs = label.slice(1, -1);
    const quantiles = exportedQuantiles.map(quantile => {
        const labels = [labelPairs, `quantile="${quantile}"`].filter(part => part !== "").join(",");
        return `${name}{${labels}} ${getPercentileMilliseconds(series.histogram, quantile * 100)}`;
    });
    return [...quantiles, `${name}_sum${label} ${series.sum}`, `${name}_count${label} ${series.histogram.totalCount}`];
};

const getOrAdd = <Key, Value>(map: Map<Key, Value>, key: Key, make: () => Value): Value => {
    const present = map.get(key);
    if (present !== undefined) {
        return present;
    }
    const value = make();
    map.set(key, value);
    return value;
};

/** Benches, their results and the targets that the results are compared with. */

export type Metrics = Readonly<Record<string, number>>;

/** A bound that a metric must meet. */
export interface Target {
    readonly metric: string;
    readonly bound: "at-most" | "at-least";
    readonly value: number;
}

export interface BenchResult {
    readonly metrics: Metrics;
    /** Metrics of the baselines, measured in the same run. */
    readonly baseline: Metrics;
    readonly targets: readonly Target[];
}

export interface Bench {
    readonly name: string;
    readonly description: string;
    readonly run: (seed: number) => Promise<BenchResult>;
}

export const isMet = (target: Target, metrics: Metrics): boolean => {
    const value = metrics[target.metric];
    if (value === undefined || Number.isNaN(value)) {
        return false;
    }
    return target.bound === "at-most" ? value <= target.value : value >= target.value;
};

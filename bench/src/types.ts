/** Benches and their results. */

export type Figures = Readonly<Record<string, number>>;

/** One bound from a stated target. */
export interface Target {
    readonly metric: string;
    readonly bound: "at-most" | "at-least";
    readonly value: number;
}

export interface BenchResult {
    readonly metrics: Figures;
    /** Figures of the baselines, measured in the same run. */
    readonly baseline: Figures;
    readonly targets: readonly Target[];
}

export interface Bench {
    readonly name: string;
    readonly description: string;
    readonly run: (seed: number) => Promise<BenchResult>;
}

export const isMet = (target: Target, metrics: Figures): boolean => {
    const value = metrics[target.metric];
    if (value === undefined || Number.isNaN(value)) {
        return false;
    }
    return target.bound === "at-most" ? value <= target.value : value >= target.value;
};

/** Percentiles, means, rounding and line fits for bench results. */

/** The value below which `percentile` percent of the values lie; NaN when there are none. */
export const getPercentile = (values: readonly number[], percentile: number): number => {
    if (values.length === 0) {
        return NaN;
    }
    const sorted = [...values].sort((left, right) => left - right);
    return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * percentile / 100))]!;
};

export const getMean = (values: readonly number[]): number =>
    values.reduce((sum, value) => sum + value, 0) / values.length;

export const round = (value: number, digits = 3): number => Number(value.toFixed(digits));

/** Slope and intercept of the least-squares line, with the largest deviation from it. */
export const fitLine = (points: readonly (readonly [number, number])[]) => {
    const meanX = getMean(points.map(([x]) => x));
    const meanY = getMean(points.map(([, y]) => y));
    const covariance = points.reduce((sum, [x, y]) => sum + (x - meanX) * (y - meanY), 0);
    const variance = points.reduce((sum, [x]) => sum + (x - meanX) ** 2, 0);
    const slope = covariance / variance;
    const intercept = meanY - slope * meanX;
    const residual = Math.max(...points.map(([x, y]) => Math.abs(y - intercept - slope * x)));
    return { slope, intercept, residual };
};

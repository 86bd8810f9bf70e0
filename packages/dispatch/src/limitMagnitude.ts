/** The value, or the nearest one whose magnitude is at most `limit`. */
export const limitMagnitude = (value: number, limit: number): number => Math.min(limit, Math.max(-limit, value));

/** Periods and bounds of held connections between instances. */

/** Time without a line after which an end sends an empty one. */
export const beatPeriodMs = 150;
/** Silence after which a connection counts as lost, whether or not it was reset. */
export const silenceLimitMs = 600;
/** Time between two looks at all held connections. */
export const checkPeriodMs = 50;
/** Lateness of a look that shows that this process itself stood still. */
export const ownStallMs = 200;
/** Time a connection may take to be made. */
export const connectTimeoutMs = 500;
export const firstReconnectPauseMs = 50;
export const longestReconnectPauseMs = 1_000;
/** Bytes that may wait for a slow peer before the connection is given up. */
export const maximumUnsentBytes = 8 * 1_048_576;
/** Length of the longest line that is read. */
export const maximumLineBytes = 8 * 1_048_576;

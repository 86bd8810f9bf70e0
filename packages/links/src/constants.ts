/** Periods and limits of persistent connections between instances. */

/** Time without received data after which the peer of an urgent connection is probed, and again after each further one. */
export const heartbeatPeriodMs = 200;
/** Time without received data after which an urgent connection is closed, whether or not it was reset. */
export const heartbeatTimeoutMs = 600;
/** The same times on a connection on which neither an answer nor a decision is awaited. */
export const idleHeartbeatPeriodMs = 1_000;
export const idleHeartbeatTimeoutMs = 2_500;
/**
 * Silence, or time until a probe is answered, after which what is received next may have been on its way, or waited to be
 * read, for so long that its sender has given it up. Longer than the probes of an idle connection are apart.
 */
export const doubtfulSilenceMs = 1_250;
/** Time between two checks of all connections. */
export const checkPeriodMs = 100;
/** A check that is late by more than this shows that this process itself stalled. */
export const stallThresholdMs = 200;
/** Time within which a connection must be established. */
export const connectTimeoutMs = 500;
export const initialReconnectDelayMs = 50;
export const maximumReconnectDelayMs = 1_000;
/** Unsent bytes above which the connection to a slow peer is closed. */
export const maximumUnsentBytes = 8 * 1_048_576;
/** Length of an incomplete line above which the connection is closed. */
export const maximumLineCharacters = 8 * 1_048_576;
/** The same for an accepted connection that has not said who it is; the message that does has a few hundred. */
export const maximumFirstLineCharacters = 65_536;
/** Values of a line above which it is not parsed; the largest list of workers and the widest job have fewer. */
export const maximumLineValues = 250_000;
/** Time within which an accepted connection has to say who it is. */
export const identificationTimeoutMs = 5_000;
/** Time within which a line on an accepted connection must be complete; the longest takes 4 s at 17.5 Mbit/s. */
export const lineTimeoutMs = 10_000;
/**
 * Incomplete line, and unread output, of a known peer that are not charged, so that it is not disconnected because
 * callers have used up the memory.
 */
export const freeCharacters = 65_536;
/**
 * Probes and answers to them that a connection may carry between two checks. A peer sends one each 100 ms, and some
 * twenty come together after a stall.
 */
export const maximumProbeLines = 200;
/** Memory of an accepted connection before what it receives and does not read. */
export const channelBytes = 16_384;

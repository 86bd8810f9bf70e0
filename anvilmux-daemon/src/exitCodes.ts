/** Exit codes of the command line. */

export const exitCodes = {
    success: 0,
    /** The command ran and what it checked did not hold, or the deployment refused it. */
    failure: 1,
    /** Flags or settings cannot be used. */
    usage: 2,
    /** The deployment does not answer. */
    unreachable: 3,
    /** Stopped by a second signal. */
    interrupted: 130,
} as const;

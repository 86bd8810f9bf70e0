/** Exit codes of the command line. */

export const exitCodes = {
    success: 0,
    /** The command ran, but its check failed or the deployment refused the request. */
    failure: 1,
    /** Flags or settings are invalid. */
    usage: 2,
    /** The deployment could not be reached. */
    unreachable: 3,
    /** The instance exited on a second termination signal. */
    interrupted: 130,
} as const;

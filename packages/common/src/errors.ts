/** Base class of the project's errors, with a machine-readable code. */

import VError from "verror";

/** Machine-readable kind of an error, stable across releases. */
export type ErrorCode = string;

/** An error with a stable `code`; `cause` keeps the error of the layer below. */
export class AnvilmuxError extends VError {
    readonly code: ErrorCode;

    constructor(code: ErrorCode, message: string, cause?: unknown) {
        super({ name: "AnvilmuxError", ...(cause instanceof Error ? { cause } : {}) }, "%s", message);
        this.code = code;
    }
}

/** Text of any thrown value. */
export const getErrorMessage = (error: unknown): string => error instanceof Error ? error.message : String(error);

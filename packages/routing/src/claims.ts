/** Claims of idempotency keys: a key runs at most once, and every repetition of it receives the same answer. */

import type { Milliseconds } from "@anvilmux/common";
import * as z from "zod";

export type ClaimAnswer =
    | { readonly state: "granted"; }
    | { readonly state: "pending"; }
    | { readonly state: "mismatch"; }
    | { readonly state: "answered"; readonly answer: Uint8Array; };

/** Claims committed by a majority of the control group. Calls reject when no majority responds in time. */
export interface ClaimStore {
    /** `holder` identifies this attempt; repeating a claim with the same holder returns the same result. */
    readonly claim: (
        key: string,
        requestDigest: string,
        holder: string,
        retention: Milliseconds,
    ) => Promise<ClaimAnswer>;
    /** Stores the answer for repetitions. */
    readonly record: (key: string, holder: string, answer: Uint8Array) => Promise<void>;
    /** Releases the key because nothing ran. */
    readonly release: (key: string, holder: string) => Promise<void>;
}

const recordedAnswerSchema = z.object({
    status: z.number(),
    headers: z.record(z.string(), z.union([z.string(), z.array(z.string())])),
    body: z.string(),
});

/** An answer as callers receive it. */
export interface CallAnswer {
    readonly status: number;
    readonly headers: Readonly<Record<string, string | string[]>>;
    readonly body: Buffer;
    readonly trailers?: Readonly<Record<string, string>>;
}

export const encodeRecordedAnswer = (answer: CallAnswer): Uint8Array =>
    Buffer.from(JSON.stringify({
        status: answer.status,
        headers: answer.headers,
        body: answer.body.toString("base64"),
    }));

export const decodeRecordedAnswer = (bytes: Uint8Array): CallAnswer => {
    const recorded = recordedAnswerSchema.parse(JSON.parse(Buffer.from(bytes).toString()));
    return { status: recorded.status, headers: recorded.headers, body: Buffer.from(recorded.body, "base64") };
};

/**
 * Handles service calls from admission to answer. A call with an idempotency key claims the key first. Attempts
 * follow, each with its own slot, until an answer, a refusal, the deadline or the retry limit.
 */

import { getErrorMessage } from "@anvilmux/common";
import type { Clock, Milliseconds } from "@anvilmux/common";
import type { Caller, WorkKind } from "@anvilmux/manifest";
import type { DecisionLog, Metrics, TraceSpan } from "@anvilmux/telemetry";
import { decodeRecordedAnswer, encodeRecordedAnswer } from "./claims";
import type { CallAnswer, ClaimStore } from "./claims";
import { brokenExchangesToGiveUp, maximumAttempts, maximumRecordedAnswerBytes } from "./constants";
import { toCallerHeaders } from "./forwardedHeaders";
import {
    deadlineHeader,
    newProblem,
    newRefusalProblem,
    newUnknownProblem,
    outcomeHeader,
    problemContentType,
    replayedHeader,
    requestIdHeader,
    teamHeader,
} from "./outcomes";
import type { Outcome, Problem } from "./outcomes";
import { RetryBudget } from "./RetryBudget";
import type { ServiceSlots } from "./ServiceSlots";
import type { SlotGranted, SlotOutcomeName } from "./types";
import type { ExchangeResult, UpstreamConnections } from "./upstreamExchange";

/** A call whose caller was authenticated and whose work kind is known. */
export interface Call {
    readonly requestId: string;
    readonly service: string;
    readonly kind: WorkKind;
    readonly caller: Caller;
    readonly method: string;
    /** Path and query sent to the upstream. */
    readonly path: string;
    readonly headers: Readonly<Record<string, string | string[]>>;
    readonly body: Buffer | undefined;
    readonly deadline: Milliseconds;
    /** Key, digest and retention of a claim; undefined without an `Idempotency-Key`. */
    readonly idempotency:
        | { readonly key: string; readonly digest: string; readonly retention: Milliseconds; }
        | undefined;
    readonly span: TraceSpan;
    /** Aborted when the caller disconnects. */
    readonly signal: AbortSignal;
}

export interface CallHandlerOptions {
    readonly instanceId: string;
    readonly clock: Clock;
    readonly metrics: Metrics;
    readonly decisions: DecisionLog;
    readonly claims: ClaimStore;
    readonly connections: UpstreamConnections;
    readonly getSlots: (service: string) => ServiceSlots;
}

interface AttemptResult {
    readonly outcome: Outcome;
    readonly answer: CallAnswer;
    /** True when another attempt may follow. */
    readonly retryable?: boolean;
    readonly upstreamId?: string;
}

/** True for an answer in which the upstream reports that it did not start the work. */
const isDeclinedByUpstream = (result: ExchangeResult): boolean =>
    result.kind === "answered" && result.status === 503 && result.headers[outcomeHeader] === "not-run";

const firstServerError = 500;

export class CallHandler {
    private readonly budgets = new Map<string, RetryBudget>();
    private inFlight = 0;

    constructor(private readonly options: CallHandlerOptions) {}

    /** Calls that have not been answered yet. */
    get callsInFlight(): number {
        return this.inFlight;
    }

    /** Answers a call; never rejects. */
    async handle(call: Call): Promise<CallAnswer> {
        this.inFlight += 1;
        const startedAt = this.options.clock.now();
        try {
            const result = call.idempotency
                ? await this.handleClaimed(call)
                : await this.handleUnclaimed(call, call.signal);
            this.recordCall(call, result, startedAt);
            return result.answer;
        }
        catch (error) {
            const result = this.fail(call, newUnknownProblem(`internal error: ${getErrorMessage(error)}`, false));
            this.recordCall(call, result, startedAt);
            return result.answer;
        }
        finally {
            this.inFlight -= 1;
        }
    }

    private recordCall(call: Call, result: AttemptResult, startedAt: Milliseconds): void {
        const labels = { service: call.service, kind: call.kind.name };
        this.options.metrics.count("anvilmux_calls_total", { ...labels, outcome: result.outcome });
        this.options.metrics.observe("anvilmux_call_milliseconds", labels, this.options.clock.now() - startedAt);
    }

    /** Claims the key, then runs the call if the claim is granted. The outcome decides what repetitions receive. */
    private async handleClaimed(call: Call): Promise<AttemptResult> {
        const { key, digest, retention } = call.idempotency!;
        const holder = `${this.options.instanceId}/${call.requestId}`;
        const span = call.span.child("claim");
        try {
            const claim = await this.options.claims.claim(key, digest, holder, retention);
            span.end();
            this.explain(call, `idempotency key ${claim.state}`);
            switch (claim.state) {
                case "granted":
                    return await this.runClaimed(call, key, holder);
                case "answered":
                    return this.replay(call, claim.answer);
                case "mismatch":
                    return this.fail(call, keyReusedProblem);
                case "pending":
                    return this.fail(call, keyPendingProblem);
            }
        }
        catch (error) {
            span.end(getErrorMessage(error));
            this.explain(call, `no claim: ${getErrorMessage(error)}`);
            // The claim may still be committed; releasing it allows a repetition to run.
            void this.options.claims.release(key, holder).catch(() => undefined);
            return this.fail(call, newNoQuorumProblem(getErrorMessage(error)));
        }
    }

    /** Runs the call to completion even when the caller disconnects, so that a repetition receives the answer. */
    private async runClaimed(call: Call, key: string, holder: string): Promise<AttemptResult> {
        const result = await this.handleUnclaimed(call, new AbortController().signal);
        if (result.outcome === "not-run") {
            await this.options.claims.release(key, holder).catch(() => undefined);
            return result;
        }
        try {
            await this.options.claims.record(key, holder, encodeRecordedAnswer(result.answer));
        }
        catch (error) {
            this.explain(call, `answer not recorded: ${getErrorMessage(error)}`);
        }
        return result;
    }

    private replay(call: Call, recorded: Uint8Array): AttemptResult {
        const answer = decodeRecordedAnswer(recorded);
        const headers = { ...answer.headers, [requestIdHeader]: call.requestId, [replayedHeader]: "true" };
        const outcome = answer.headers[outcomeHeader] === "answered" ? "answered" : "unknown";
        return { outcome, answer: { ...answer, headers } };
    }

    /** Attempts the call until no retry follows. Once an attempt may have run, the outcome is no longer not-run. */
    private async handleUnclaimed(call: Call, signal: AbortSignal): Promise<AttemptResult> {
        const excluded: string[] = [];
        let earlier: AttemptResult | undefined;
        let brokenExchanges = 0;
        for (let attempt = 1;; attempt++) {
            const result = await this.attempt(call, excluded, signal);
            brokenExchanges += result.outcome === "unknown" ? 1 : 0;
            const reported = result.outcome === "not-run" && earlier ? earlier : result;
            if (
                !result.retryable || attempt >= maximumAttempts || brokenExchanges >= brokenExchangesToGiveUp
                || signal.aborted || !this.getBudget(call.service).tryWithdraw()
            ) {
                return reported;
            }
            earlier = reported.outcome === "not-run" ? earlier : reported;
            this.options.metrics.count("anvilmux_retries_total", { service: call.service });
            excluded.push(result.upstreamId!);
        }
    }

    private async attempt(call: Call, excluded: readonly string[], signal: AbortSignal): Promise<AttemptResult> {
        const slots = this.options.getSlots(call.service);
        const queuedSpan = call.span.child("queued");
        const decision = await slots.acquire({
            requestId: call.requestId,
            kind: call.kind.name,
            team: call.caller.team,
            urgent: call.kind.urgent,
            remaining: call.deadline - this.options.clock.now(),
            excludedUpstreams: excluded,
            forwarded: false,
            maySpill: true,
        }, signal);
        if (!decision.granted) {
            queuedSpan.end(decision.reason);
            this.explain(call, `refused, not run: ${decision.reason}`);
            return this.fail(call, newRefusalProblem(decision.reason, decision.retryAfter));
        }
        queuedSpan.end();
        this.explain(call, `slot at ${decision.upstreamId} after ${decision.queued.toFixed(1)} ms in the queue`);
        if (signal.aborted) {
            slots.release(decision.grantId, "unused", 0);
            return this.fail(call, newRefusalProblem("caller-left", 0));
        }
        return this.dispatch(call, slots, decision, signal);
    }

    private async dispatch(
        call: Call,
        slots: ServiceSlots,
        slot: SlotGranted,
        signal: AbortSignal,
    ): Promise<AttemptResult> {
        const span = call.span.child("dispatched", { upstream: slot.upstreamId });
        const dispatchedAt = this.options.clock.now();
        const remaining = call.deadline - dispatchedAt;
        this.options.metrics.count("anvilmux_attempts_total", { service: call.service });
        const result = await this.options.connections.exchange({
            address: slot.address,
            method: call.method,
            path: call.path,
            headers: {
                ...call.headers,
                [requestIdHeader]: call.requestId,
                [teamHeader]: call.caller.team,
                [deadlineHeader]: String(Math.max(0, Math.floor(remaining))),
                ...(span.traceparent() === "" ? {} : { traceparent: span.traceparent() }),
            },
            body: call.body,
            timeout: Math.max(0, remaining),
            maximumAnswerBytes: call.idempotency
                ? Math.min(call.kind.maximumAnswerBytes, maximumRecordedAnswerBytes)
                : call.kind.maximumAnswerBytes,
            signal,
        });
        const runTime = this.options.clock.now() - dispatchedAt;
        const attemptResult = this.toAttemptResult(call, slot, result);
        slots.release(slot.grantId, getSlotOutcome(result, signal), runTime);
        span.end(result.kind === "answered" ? undefined : result.reason);
        this.explain(call, describeResult(slot, result, runTime));
        return attemptResult;
    }

    /** Converts the result of an exchange to the caller's answer, and decides whether another attempt may follow. */
    private toAttemptResult(call: Call, slot: SlotGranted, result: ExchangeResult): AttemptResult {
        const { upstreamId } = slot;
        if (result.kind === "not-run" || isDeclinedByUpstream(result)) {
            const detail = result.kind === "not-run" ? result.reason : "the upstream declined the request";
            const problem = newProblem(503, "not-started", "Upstream did not start", "not-run", detail);
            return { ...this.fail(call, problem), retryable: true, upstreamId };
        }
        if (result.kind === "unknown") {
            const timedOut = this.options.clock.now() >= call.deadline;
            const attemptResult = this.fail(call, newUnknownProblem(result.reason, timedOut));
            return { ...attemptResult, retryable: call.kind.repeatable && !timedOut, upstreamId };
        }
        const isFailure = result.status >= firstServerError;
        if (!isFailure) {
            this.getBudget(call.service).deposit();
        }
        return {
            outcome: "answered",
            answer: {
                status: result.status,
                headers: {
                    ...toCallerHeaders(result.headers),
                    [outcomeHeader]: "answered",
                    [requestIdHeader]: call.requestId,
                },
                body: result.body,
                trailers: result.trailers,
            },
            retryable: isFailure && call.kind.repeatable,
            upstreamId,
        };
    }

    private fail(call: Call, problem: Problem): AttemptResult {
        return { outcome: problem.outcome, answer: toProblemAnswer(problem, call.requestId) };
    }

    private explain(call: Call, text: string): void {
        this.options.decisions.add(call.requestId, text);
    }

    private getBudget(service: string): RetryBudget {
        let budget = this.budgets.get(service);
        if (!budget) {
            budget = new RetryBudget();
            this.budgets.set(service, budget);
        }
        return budget;
    }
}

/** Converts a problem document to an answer. */
export const toProblemAnswer = (problem: Problem, requestId: string): CallAnswer => ({
    status: problem.status,
    headers: {
        "content-type": problemContentType,
        [outcomeHeader]: problem.outcome,
        [requestIdHeader]: requestId,
        ...(problem.retryAfter === undefined ? {} : { "retry-after": String(Math.ceil(problem.retryAfter / 1_000)) }),
    },
    body: Buffer.from(JSON.stringify(problem)),
});

const getSlotOutcome = (result: ExchangeResult, signal: AbortSignal): SlotOutcomeName => {
    if (result.kind === "answered") {
        return result.status >= firstServerError ? "failed" : "answered";
    }
    if (signal.aborted) {
        return "unused";
    }
    return result.kind === "not-run" ? "not-started" : "failed";
};

const describeResult = (slot: SlotGranted, result: ExchangeResult, runTime: Milliseconds): string =>
    result.kind === "answered"
        ? `${slot.upstreamId} answered ${result.status} after ${runTime.toFixed(1)} ms`
        : `${slot.upstreamId}: ${result.kind}, ${result.reason}`;

const keyReusedProblem = newProblem(
    422,
    "key-reused",
    "Idempotency key reused",
    "not-run",
    "the key was used with another request before",
);

const keyPendingProblem = newProblem(
    409,
    "key-pending",
    "Request with this key still open",
    "unknown",
    "an earlier request with this key has not been answered yet; its outcome is not known here",
    1_000,
);

const newNoQuorumProblem = (detail: string): Problem =>
    newProblem(503, "no-quorum", "Key cannot be claimed", "not-run", `${detail}; nothing was run`, 1_000);

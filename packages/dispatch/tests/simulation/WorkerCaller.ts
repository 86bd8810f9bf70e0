/** A caller of one job that sends it again, mostly through another entry, after no answer or one other than a result. */

import { pickOne } from "@anvilmux/common";
import type { Random, VirtualTime } from "@anvilmux/common";
import type { JobRequest } from "@anvilmux/dispatch";
import type { CallRecords } from "./CallRecords";
import type { SimulatedEntry } from "./SimulatedEntry";
import type { StallingTimers } from "./StallingTimers";

/** An entry as its callers see it. */
export interface CalledEntry {
    readonly entry: SimulatedEntry;
    readonly timers: StallingTimers;
}

export interface WorkerCallerOptions {
    readonly time: VirtualTime;
    readonly random: Random;
    readonly records: CallRecords;
    readonly entries: readonly CalledEntry[];
    readonly request: JobRequest;
    /** Share of the attempts whose connection breaks before an answer. */
    readonly brokenShare: number;
}

const maximumAttempts = 4;
const longestUnbrokenMs = 600;
const resubmitDelayMs = 20;
const resubmitSpreadMs = 400;
/** The caller gives up this much later than an entry should have answered. */
const patienceMarginMs = 30;

export class WorkerCaller {
    private attempts = 0;

    constructor(private readonly options: WorkerCallerOptions) {}

    submit({ entry, timers }: CalledEntry): void {
        const { time, random, records, request, brokenShare } = this.options;
        this.attempts += 1;
        const attempt = records.addAttempt(request.id);
        let isOpen = true;
        let abandon = () => undefined as void;
        timers.after(1, () => {
            if (!isOpen) {
                return;
            }
            abandon = entry.pendingJobs.accept(request, answer => {
                if (isOpen) {
                    isOpen = false;
                    attempt.answer = answer;
                    if (answer.kind === "refused" || answer.kind === "unknown") {
                        this.resubmitLater();
                    }
                }
            });
        });
        const patienceMs = random.next() < brokenShare
            ? random.integer(longestUnbrokenMs)
            : request.remainingMs + patienceMarginMs;
        time.after(patienceMs, () => {
            if (isOpen) {
                isOpen = false;
                timers.after(1, () => abandon());
                this.resubmitLater();
            }
        });
    }

    private resubmitLater(): void {
        const { time, random, entries } = this.options;
        if (this.attempts < maximumAttempts) {
            const next = pickOne(random, entries)!;
            time.after(resubmitDelayMs + random.integer(resubmitSpreadMs), () => this.submit(next));
        }
    }
}

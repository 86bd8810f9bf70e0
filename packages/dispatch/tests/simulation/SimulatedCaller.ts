/** A caller of one job: it waits, gives up or submits the same job again, at the same entry or at another one. */

import { pickOne } from "@anvilmux/common";
import type { Milliseconds, Random, VirtualTime } from "@anvilmux/common";
import type { JobRequest } from "@anvilmux/dispatch";
import type { CallRecords } from "./CallRecords";
import type { SimulatedEntry } from "./SimulatedEntry";

export interface SimulatedCallerOptions {
    readonly time: VirtualTime;
    readonly random: Random;
    readonly records: CallRecords;
    readonly entries: readonly SimulatedEntry[];
    readonly request: JobRequest;
    /** Shortest time after which a caller submits its job again. */
    readonly resubmitDelayMs: Milliseconds;
}

const maximumAttempts = 3;
const longestPatienceMs = 2_500;
const resubmitSpreadMs = 300;
const giveUpShare = 0.3;
const sameEntryShare = 0.5;
const resubmitShare = 0.7;

export class SimulatedCaller {
    private attempts = 0;

    constructor(private readonly options: SimulatedCallerOptions) {}

    /** Submits the job at an entry; a later attempt follows at random after an answer other than a result. */
    submit(entry: SimulatedEntry): void {
        const { time, random, records, request } = this.options;
        this.attempts += 1;
        const attempt = records.addAttempt(request.id);
        let isOpen = true;
        const abandon = entry.pendingJobs.accept(request, answer => {
            if (!isOpen) {
                return;
            }
            isOpen = false;
            attempt.answer = answer;
            if (answer.kind === "refused" || answer.kind === "unknown") {
                this.resubmitLater(entry);
            }
        });
        if (random.next() < giveUpShare) {
            time.after(random.integer(longestPatienceMs), () => {
                if (isOpen) {
                    isOpen = false;
                    abandon();
                    this.resubmitLater(entry);
                }
            });
        }
    }

    private resubmitLater(entry: SimulatedEntry): void {
        const { time, random, entries, resubmitDelayMs } = this.options;
        if (this.attempts >= maximumAttempts || random.next() >= resubmitShare) {
            return;
        }
        const next = random.next() < sameEntryShare ? entry : pickOne(random, entries)!;
        const spread = random.next() < 0.5 ? 0 : random.integer(resubmitSpreadMs);
        time.after(resubmitDelayMs + spread, () => this.submit(next));
    }
}

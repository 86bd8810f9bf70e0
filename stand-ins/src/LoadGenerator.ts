/**
 * Open-loop load: requests are sent on schedule whether or not earlier ones were answered, and latency counts from the
 * scheduled time, so that queueing delay is measured.
 */

import { newRandom, sampleExponential } from "@anvilmux/common";
import type { Milliseconds, Random } from "@anvilmux/common";
import { Pool } from "undici";
import { runTimeHeader, workIdHeader } from "./StandInUpstream";

/** One kind of work in the mix. */
export interface LoadKind {
    readonly kind: string;
    /** Share of the requests, in proportion to the other kinds' shares. */
    readonly share: number;
    /** Run time of one request. */
    readonly sampleRun: (random: Random) => Milliseconds;
    readonly keyed?: boolean;
}

export interface LoadProfile {
    readonly service: string;
    readonly token: string;
    readonly kinds: readonly LoadKind[];
    readonly duration: Milliseconds;
    /** Requests per second, by the time since the start. */
    readonly getRate: (elapsed: Milliseconds) => number;
    readonly seed: number;
}

export type LoadOutcome = "answered" | "not-run" | "unknown" | "error";

/** Result of one request. */
export interface LoadRecord {
    readonly workId: string;
    readonly kind: string;
    readonly run: Milliseconds;
    /** Scheduled send time, relative to the start of the load. */
    readonly scheduledAt: Milliseconds;
    readonly latency: Milliseconds;
    readonly status: number;
    readonly outcome: LoadOutcome;
}

const connectionsPerEntry = 256;

export class LoadGenerator {
    private readonly pools = new Map<string, Pool>();
    private nextWork = 0;

    /** Requests go in turn to the public addresses that `getEntries` returns, as a load balancer would send them. */
    constructor(private readonly getEntries: () => readonly string[], private readonly prefix = "work") {}

    /** Sends the profile's load and waits for every answer. */
    async run(profile: LoadProfile): Promise<readonly LoadRecord[]> {
        const random = newRandom(profile.seed);
        const startedAt = performance.now();
        const records: Promise<LoadRecord>[] = [];
        let dueAt = 0;
        while (dueAt < profile.duration) {
            const elapsed = performance.now() - startedAt;
            if (dueAt > elapsed) {
                await new Promise(resolve => setTimeout(resolve, Math.max(0, dueAt - elapsed - 0.5)));
            }
            while (dueAt <= performance.now() - startedAt && dueAt < profile.duration) {
                records.push(this.send(profile, pickKind(profile.kinds, random), random, startedAt, dueAt));
                dueAt += sampleExponential(random, 1_000 / profile.getRate(dueAt));
            }
        }
        return Promise.all(records);
    }

    /** Sends one request and waits for its answer. */
    private async send(
        profile: LoadProfile,
        kind: LoadKind,
        random: Random,
        startedAt: number,
        scheduledAt: Milliseconds,
    ): Promise<LoadRecord> {
        const run = kind.sampleRun(random);
        const workId = `${this.prefix}-${this.nextWork++}`;
        const entries = this.getEntries();
        const pool = this.getPool(entries[this.nextWork % entries.length]!);
        const finish = (status: number, outcome: LoadOutcome): LoadRecord => ({
            workId,
            kind: kind.kind,
            run,
            scheduledAt,
            latency: performance.now() - startedAt - scheduledAt,
            status,
            outcome,
        });
        try {
            const response = await pool.request({
                method: "POST",
                path: `/v1/services/${profile.service}/${kind.kind}`,
                headers: {
                    authorization: `Bearer ${profile.token}`,
                    [runTimeHeader]: String(run),
                    [workIdHeader]: workId,
                    ...(kind.keyed ? { "idempotency-key": workId } : {}),
                },
                body: workId,
            });
            const body = await response.body.text();
            const outcome = String(response.headers["anvilmux-outcome"]) as LoadOutcome;
            const isWrong = outcome === "answered" && response.statusCode === 200 && !body.includes(`"${workId}"`);
            return finish(response.statusCode, isWrong ? "error" : outcome);
        }
        catch {
            return finish(0, "error");
        }
    }

    async close(): Promise<void> {
        await Promise.all([...this.pools.values()].map(pool => pool.destroy()));
    }

    private getPool(entry: string): Pool {
        let pool = this.pools.get(entry);
        if (!pool) {
            pool = new Pool(`http://${entry}`, {
                connections: connectionsPerEntry,
                pipelining: 1,
                headersTimeout: 0,
                bodyTimeout: 0,
            });
            this.pools.set(entry, pool);
        }
        return pool;
    }
}

const pickKind = (kinds: readonly LoadKind[], random: Random): LoadKind => {
    const total = kinds.reduce((sum, kind) => sum + kind.share, 0);
    let remaining = random.next() * total;
    for (const kind of kinds) {
        remaining -= kind.share;
        if (remaining < 0) {
            return kind;
        }
    }
    return kinds.at(-1)!;
};

/** Shared helpers of the routing tests. */

import { newRandom, toAddress, VirtualTime } from "@anvilmux/common";
import { admitWithinDeadline, getTargetStart, newLeastInUse, RunTimes, SlotScheduler } from "@anvilmux/routing";
import type { SlotDecision, WaitingRequest } from "@anvilmux/routing";
import { newSilentLogger } from "@anvilmux/telemetry";

export interface SchedulerFixture {
    readonly time: VirtualTime;
    readonly runTimes: RunTimes;
    readonly scheduler: SlotScheduler;
    /** Requests a slot and returns the list to which the decision is added. */
    readonly requestSlot: (request: Partial<WaitingRequest>) => SlotDecision[];
}

/** A scheduler for upstreams with `slots` each; team "greedy" may hold half of the slots, other teams all. */
export const newSchedulerFixture = (upstreams: readonly string[], slots: number): SchedulerFixture => {
    const time = new VirtualTime();
    const runTimes = new RunTimes(time);
    const scheduler = new SlotScheduler({
        clock: time,
        timers: time,
        logger: newSilentLogger(),
        runTimes,
        policy: {
            admit: admitWithinDeadline,
            getOrderKey: getTargetStart,
            chooseUpstream: newLeastInUse(newRandom(1)),
            protectsShortWork: true,
        },
        getTeamShare: team => team === "greedy" ? 0.5 : 1,
        takeRemoteFreeSlot: () => false,
    });
    scheduler.updateUpstreams(upstreams.map(id => ({
        id,
        address: toAddress(`127.0.0.1:${1_000 + id.length}`),
        slots,
        connectionsPerEntry: slots,
    })));
    let nextId = 0;
    const requestSlot = (request: Partial<WaitingRequest>): SlotDecision[] => {
        const decisions: SlotDecision[] = [];
        const now = time.now();
        scheduler.request({
            id: `request-${nextId++}`,
            entryId: "entry",
            kind: "screen",
            team: "touring",
            urgent: true,
            enqueuedAt: now,
            deadline: now + 2_000,
            expectedRun: 100,
            plannedRun: 100,
            long: false,
            excludedUpstreams: [],
            forwarded: false,
            maySpill: false,
            ...request,
        }, decision => decisions.push(decision));
        return decisions;
    };
    return { time, runTimes, scheduler, requestSlot };
};

/** Returns the first decision of a list, which must be a grant. */
export const getGrant = (decisions: readonly SlotDecision[]) => {
    const [decision] = decisions;
    if (!decision?.granted) {
        throw new Error(`first decision is not a grant: ${JSON.stringify(decisions)}`);
    }
    return decision;
};

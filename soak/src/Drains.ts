/** The operator's drains and restores of zones, each sent to any control instance until it is acknowledged. */

import type { Milliseconds } from "@anvilmux/common";
import { sendZoneDrain } from "@anvilmux/platform";
import { pause, waitUntil } from "./Deployment";
import { draw } from "./draw";
import type { PlayParts } from "./PlayParts";

const retryMs: Milliseconds = 250;
/** Time after its first attempt at which the operator's client gives up a request. */
const requestLimitMs: Milliseconds = 5_000;

export class Drains {
    /** Zones that may be drained, as no restore of them was acknowledged since. */
    private readonly unrestored = new Set<string>();

    constructor(private readonly parts: PlayParts) {}

    async begin(zone: string): Promise<void> {
        this.unrestored.add(zone);
        if (await this.send(zone, true, requestLimitMs)) {
            this.parts.checker.drains.handleDrained(zone);
        }
    }

    async end(zone: string): Promise<void> {
        await this.restore(zone, requestLimitMs);
    }

    /** Restores the zones that are left; reports those of which no restore is acknowledged in time. */
    async restoreAll(limitMs: Milliseconds): Promise<void> {
        await Promise.all([...this.unrestored].map(async zone => {
            if (!await this.restore(zone, limitMs)) {
                this.parts.checker.report("drains", `no control instance acknowledges the restore of ${zone}`);
            }
        }));
    }

    private async restore(zone: string, limitMs: Milliseconds): Promise<boolean> {
        this.parts.checker.drains.handleRestoreSent(zone);
        const isAcknowledged = await this.send(zone, false, limitMs);
        if (isAcknowledged) {
            this.unrestored.delete(zone);
        }
        return isAcknowledged;
    }

    private send(zone: string, isDrained: boolean, limitMs: Milliseconds): Promise<boolean> {
        const { deployment, random, log } = this.parts;
        return waitUntil(async () => {
            const [name, address] = draw(random, [...deployment.controlAddresses]);
            const isAcknowledged = await sendZoneDrain(address, zone, isDrained);
            const request = isDrained ? "drain" : "restore";
            log(`operator sends ${request} of ${zone} to ${name}: ${isAcknowledged ? "acknowledged" : "no"}`);
            if (!isAcknowledged) {
                await pause(retryMs);
            }
            return isAcknowledged;
        }, limitMs);
    }
}

/** Finds out which announced replicas answer at their address; announcements outlive their instance for a while. */

import type { Address, Milliseconds } from "@anvilmux/common";
import type { ConsensusClient } from "@anvilmux/transport";
import type { AnnouncedReplica } from "./groupRepair";

const identifyTimeoutMs: Milliseconds = 300;

/** The announced replicas that are reachable members, or that run with the announced data folder. */
export const findAnsweringReplicas = async (
    announced: readonly AnnouncedReplica[],
    isReachableMember: (memberId: string) => boolean,
    connect: (address: Address) => ConsensusClient,
): Promise<readonly AnnouncedReplica[]> => {
    const answers = await Promise.all(announced.map(async ({ memberId, address }) => {
        if (isReachableMember(memberId)) {
            return true;
        }
        const reply = await connect(address).identify({}, { timeoutMs: identifyTimeoutMs }).catch(() => undefined);
        return reply?.memberId === memberId;
    }));
    return announced.filter((_replica, position) => answers[position]);
};

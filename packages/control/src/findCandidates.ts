/**
 * Finds replicas that run outside the group. Each one identifies itself at its address, since announcements outlive
 * their instance, and an instance that lost its data folder may not have announced its new one yet.
 */

import { toAddress } from "@anvilmux/common";
import type { Address, Milliseconds } from "@anvilmux/common";
import type { GroupMember } from "@anvilmux/protocol";
import type { ConsensusClient } from "@anvilmux/transport";

/** A replica and its address. The id names the instance and the incarnation of its data folder. */
export interface AnnouncedReplica {
    readonly memberId: string;
    readonly address: Address;
}

const identifyTimeoutMs: Milliseconds = 300;

/** The replicas that answer at an announced address or at that of an unreachable member, and are not members. */
export const findCandidates = async (
    members: readonly GroupMember[],
    announced: readonly AnnouncedReplica[],
    isReachable: (memberId: string) => boolean,
    connect: (address: Address) => ConsensusClient,
): Promise<readonly AnnouncedReplica[]> => {
    const isMember = (memberId: string) => members.some(member => member.memberId === memberId);
    const unreachable = members.filter(member => !isReachable(member.memberId));
    const addresses = new Set([
        ...announced.filter(replica => !isMember(replica.memberId)).map(replica => replica.address),
        ...unreachable.map(member => toAddress(member.address)),
    ]);
    const identify = async (address: Address) => connect(address).identify({}, { timeoutMs: identifyTimeoutMs });
    const found = await Promise.all([...addresses].map(async address => {
        const reply = await identify(address).catch(() => undefined);
        return reply && !isMember(reply.memberId) ? [{ memberId: reply.memberId, address }] : [];
    }));
    return found.flat();
};

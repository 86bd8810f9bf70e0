/** A simulated control group whose leader also adapts the membership to the running nodes, as in a deployment. */

import type { Address } from "@anvilmux/common";
import { toAddress } from "@anvilmux/common";
import { ControlService, maximumEntriesPerAppend } from "@anvilmux/control";
import type { Replica } from "@anvilmux/control";
import { newSignedAuthority } from "@anvilmux/manifest";
import { IdentifyReplySchema } from "@anvilmux/protocol";
import { newSilentLogger } from "@anvilmux/telemetry";
import type { ConsensusClient } from "@anvilmux/transport";
import { create } from "@bufbuild/protobuf";
import { ReplicaGroup } from "./ReplicaGroup";
import type { Node } from "./ReplicaGroup";

const toNodeAddress = (number: number): Address => toAddress(`node-${number}:7401`);

export class RepairedGroup extends ReplicaGroup {
    /** Member ids that are announced in place of the present ones, by node. */
    readonly announcedIds = new Map<number, string>();

    /** As in a deployment, since the time to catch up is bounded. */
    protected override pickMaximumEntries(): number {
        return maximumEntriesPerAppend;
    }

    protected override startReplica(node: Node, replica: Replica): void {
        const service = new ControlService({
            replica,
            selfAddress: toNodeAddress(node.number),
            initialAddresses: [],
            connect: address => this.newClient(node, address),
            authority: newSignedAuthority(new Map()),
            clock: this.time,
            timers: this.time,
            logger: newSilentLogger(),
            // Announcements outlive their instance: those of stopped and isolated nodes are still known.
            getAnnouncedReplicas: () =>
                this.nodes.map(({ memberId, number }) => ({
                    memberId: this.announcedIds.get(number) ?? memberId,
                    address: toNodeAddress(number),
                })),
        });
        service.start();
    }

    /** Members are known by their id as their address, others by the address that they announce. */
    private newClient(from: Node, address: Address): ConsensusClient {
        const [instance] = address.split(/[~:]/);
        const target = this.nodes.find(node => `node-${node.number}` === instance)!;
        const identify = async () => {
            if (!target.replica || !this.isConnected(from, target)) {
                throw new Error("no reply");
            }
            return create(IdentifyReplySchema, { memberId: target.memberId, formed: target.replica.isFormed });
        };
        return { identify } as unknown as ConsensusClient;
    }
}

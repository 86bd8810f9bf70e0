/**
 * The connections that a listener for other instances accepted, below a limit. Anybody who reaches the port can open
 * one, so those that have not said who they are make room for others: the oldest of the address that has the most.
 */

import type { ConnectionGuard, MemoryAccount, RefusalCause } from "@anvilmux/intake";

export interface AcceptedChannel {
    readonly address: string;
    readonly account: MemoryAccount;
    readonly isIdentified: () => boolean;
    readonly close: (reason: string) => void;
}

export class AcceptedChannels {
    private readonly channels = new Set<AcceptedChannel>();

    constructor(private readonly guard: ConnectionGuard) {
        guard.budget.addReclaim((refusal, favoured) => {
            const address = refusal === "address-memory" ? favoured.address : undefined;
            return this.closeUnidentified(favoured, refusal, address);
        });
    }

    get count(): number {
        return this.channels.size;
    }

    /** Adds a connection, for which others may be closed. False when there is no room, and it has to be closed. */
    add(channel: AcceptedChannel, bytes: number): boolean {
        const isFull = this.channels.size >= this.guard.maximumConnections;
        if (isFull && !this.closeUnidentified(channel.account, "connections", undefined)) {
            this.guard.report("connections", channel.address);
            return false;
        }
        const refusal = channel.account.charge(bytes);
        if (refusal !== undefined) {
            this.guard.report(refusal, channel.address);
            return false;
        }
        this.channels.add(channel);
        return true;
    }

    remove(channel: AcceptedChannel): void {
        this.channels.delete(channel);
        channel.account.close();
    }

    closeAll(reason: string): void {
        [...this.channels].forEach(channel => channel.close(reason));
    }

    /** Closes the most dispensable connection, of `address` if one is given; false when there is none. */
    private closeUnidentified(favoured: MemoryAccount, cause: RefusalCause, address: string | undefined): boolean {
        const channel = this.findDispensable(favoured, address);
        if (channel) {
            this.guard.report(cause, channel.address);
            channel.close("closed in favour of others, before it said who it is");
        }
        return channel !== undefined;
    }

    private findDispensable(favoured: MemoryAccount, address: string | undefined): AcceptedChannel | undefined {
        const oldest = new Map<string, { readonly channel: AcceptedChannel; count: number; }>();
        for (const channel of this.channels) {
            const isOfAddress = address === undefined || channel.address === address;
            if (isOfAddress && channel.account !== favoured && !channel.isIdentified()) {
                const present = oldest.get(channel.address) ?? { channel, count: 0 };
                present.count += 1;
                oldest.set(channel.address, present);
            }
        }
        return [...oldest.values()].sort((left, right) => right.count - left.count)[0]?.channel;
    }
}

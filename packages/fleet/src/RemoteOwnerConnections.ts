/** Connections that the owners of other zones opened to this entry, over which they are told of this zone's free capacity. */

import type { FreeCapacity } from "@anvilmux/dispatch";
import type { Logger } from "@anvilmux/telemetry";
import type { PeerMessage } from "./messages";
import type { PeerConnection } from "./ZonePeer";

export interface RemoteOwnerConnectionsOptions {
    readonly logger: Logger;
    /** The free capacity of this zone that other zones may use. */
    readonly getFreeCapacity: () => FreeCapacity;
}

export class RemoteOwnerConnections {
    private readonly connections = new Set<PeerConnection>();

    constructor(private readonly options: RemoteOwnerConnectionsOptions) {}

    has(connection: PeerConnection): boolean {
        return this.connections.has(connection);
    }

    /** Adds a connection and reports the free capacity on it, as the next change of it may be far off. */
    add({ zone, id }: Extract<PeerMessage, { type: "zone-owner"; }>, connection: PeerConnection): void {
        const { logger, getFreeCapacity } = this.options;
        logger.info("connected to by the owner of another zone", {
            fromZone: zone,
            owner: id,
            submitter: connection.submitterKey,
        });
        this.connections.add(connection);
        connection.send({ type: "room", free: getFreeCapacity() });
    }

    remove(connection: PeerConnection): void {
        this.connections.delete(connection);
    }

    announce(free: FreeCapacity): void {
        this.connections.forEach(connection => connection.send({ type: "room", free }));
    }
}

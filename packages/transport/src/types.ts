/** What other packages see of the transport between instances. */

import type { Address } from "@anvilmux/common";
import type { ConsensusService, PeerService } from "@anvilmux/protocol";
import type { Client } from "@connectrpc/connect";

export type PeerClient = Client<typeof PeerService>;
export type ConsensusClient = Client<typeof ConsensusService>;

/** Typed clients for other instances, one HTTP/2 connection an instance. */
export interface PeerNetwork {
    readonly peer: (address: Address) => PeerClient;
    readonly consensus: (address: Address) => ConsensusClient;
    /** Closes connections; later calls open new ones. */
    readonly close: () => void;
}

/** Certificate files for mutual TLS between instances. */
export interface PeerTls {
    readonly certificatePem: string;
    readonly privateKeyPem: string;
    readonly authorityPem: string;
}

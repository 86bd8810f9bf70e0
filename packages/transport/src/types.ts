/** Types of the transport between instances that other packages use. */

import type { Address } from "@anvilmux/common";
import type { ConsensusService, PeerService } from "@anvilmux/protocol";
import type { Client } from "@connectrpc/connect";

export type PeerClient = Client<typeof PeerService>;
export type ConsensusClient = Client<typeof ConsensusService>;

/** Typed clients for other instances, with one HTTP/2 connection per instance. */
export interface PeerNetwork {
    readonly peer: (address: Address) => PeerClient;
    readonly consensus: (address: Address) => ConsensusClient;
    /** Closes all connections; later calls open new ones. */
    readonly close: () => void;
}

/** Certificate, private key and certificate authority for mutual TLS between instances, in PEM format. */
export interface PeerTls {
    readonly certificatePem: string;
    readonly privateKeyPem: string;
    readonly authorityPem: string;
}

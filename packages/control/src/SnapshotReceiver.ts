/** Assembles a snapshot from the chunks that the leader sends. */

import type { SnapshotChunk } from "@anvilmux/protocol";

interface PartialSnapshot {
    readonly term: bigint;
    readonly lastIndex: bigint;
    bytes: Uint8Array;
}

/** The result of receiving one chunk. */
export interface ReceivedChunk {
    /** Offset of the next expected chunk. */
    readonly nextOffset: number;
    /** The complete snapshot, once its last chunk arrived. */
    readonly snapshot?: Uint8Array;
}

export class SnapshotReceiver {
    private partial: PartialSnapshot | undefined;

    /** Appends a chunk if its offset is the expected one; a chunk of another snapshot starts over. */
    receive(chunk: SnapshotChunk): ReceivedChunk {
        const isSame = this.partial?.term === chunk.term && this.partial.lastIndex === chunk.lastIndex;
        if (!this.partial || !isSame) {
            this.partial = { term: chunk.term, lastIndex: chunk.lastIndex, bytes: new Uint8Array() };
        }
        const { partial } = this;
        if (Number(chunk.offset) !== partial.bytes.length) {
            return { nextOffset: partial.bytes.length };
        }
        partial.bytes = Buffer.concat([partial.bytes, chunk.data]);
        if (!chunk.done) {
            return { nextOffset: partial.bytes.length };
        }
        this.partial = undefined;
        return { nextOffset: partial.bytes.length, snapshot: partial.bytes };
    }
}

/** Puts a snapshot together from the pieces the leader sends. */

import type { SnapshotChunk } from "@anvilmux/protocol";

interface Partial {
    readonly term: bigint;
    readonly lastIndex: bigint;
    bytes: Uint8Array;
}

/** What became of one piece. */
export interface ReceivedChunk {
    /** Offset of the piece wanted next. */
    readonly nextOffset: number;
    /** The whole snapshot, once its last piece came. */
    readonly whole?: Uint8Array;
}

export class SnapshotReceiver {
    private partial: Partial | undefined;

    /** Takes a piece if it is the one wanted next; a piece of another snapshot starts over. */
    take(chunk: SnapshotChunk): ReceivedChunk {
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
        return { nextOffset: partial.bytes.length, whole: partial.bytes };
    }
}

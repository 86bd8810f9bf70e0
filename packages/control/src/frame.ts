/** Records in data files, framed by length and checksum. */

import { crc32 } from "node:zlib";

const headerBytes = 8;

/** One record: payload length and CRC-32, each 32 bits little endian, then the payload. */
export const encodeFrame = (payload: Uint8Array): Uint8Array => {
    const frame = Buffer.alloc(headerBytes + payload.length);
    frame.writeUInt32LE(payload.length, 0);
    frame.writeUInt32LE(crc32(payload), 4);
    frame.set(payload, headerBytes);
    return frame;
};

/** The record at an offset. */
export interface Frame {
    readonly payload: Uint8Array;
    /** Offset of the first byte after the record. */
    readonly end: number;
}

/** Undefined when no complete record with a matching checksum starts at `offset`. */
export const decodeFrame = (content: Uint8Array, offset: number): Frame | undefined => {
    const view = Buffer.from(content.buffer, content.byteOffset, content.byteLength);
    if (offset + headerBytes > view.length) {
        return undefined;
    }
    const length = view.readUInt32LE(offset);
    const end = offset + headerBytes + length;
    if (end > view.length) {
        return undefined;
    }
    const payload = view.subarray(offset + headerBytes, end);
    return crc32(payload) === view.readUInt32LE(offset + 4) ? { payload, end } : undefined;
};

/** The first offset at or after `from` where a complete, non-empty record starts; undefined when there is none. */
export const findFrame = (content: Uint8Array, from: number): number | undefined => {
    for (let offset = from; offset + headerBytes < content.length; offset++) {
        const frame = decodeFrame(content, offset);
        if (frame && frame.payload.length > 0) {
            return offset;
        }
    }
    return undefined;
};

/**
 * Hands what a client sends to the parser of its connection in small pieces, one in each turn of the event loop: the
 * parser goes through all that it is given before any of it reaches its request, which may refuse the rest.
 */

import type { Socket } from "node:net";

/** Bytes that are parsed at a time. */
const pieceBytes = 8_192;

export interface PieceReader {
    /** False once nothing more of the connection is to be parsed. */
    readonly isWanted: () => boolean;
    /** Pauses the connection until a later turn of the event loop. */
    readonly putOff: () => void;
    /** Called when some bytes have been parsed. */
    readonly onParsed: (bytes: number) => void;
}

/** To be called when the parser listens to the socket, and before it has read anything. */
export const readInPieces = (socket: Socket, reader: PieceReader): void => {
    const parsers = socket.listeners("data") as ((data: Buffer) => void)[];
    socket.removeAllListeners("data");
    socket.on("data", (data: Buffer) => {
        if (!reader.isWanted()) {
            return;
        }
        const piece = data.subarray(0, pieceBytes);
        parsers.forEach(parse => parse.call(socket, piece));
        reader.onParsed(piece.length);
        if (piece.length < data.length && reader.isWanted()) {
            reader.putOff();
            // Read as the first data once the connection is resumed.
            socket.unshift(data.subarray(piece.length));
        }
    });
};

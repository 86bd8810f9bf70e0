/** The sockets that an `Intake` watches, so that handlers need only the request or response. */

import { untilNextPoll } from "@anvilmux/common";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import type { BodyHost } from "./BodyHost";

/** Whether a connection has been read in a turn of the event loop. */
export interface InputState {
    /** Turns in which the connection may not have been read, since others had too much input. */
    skippedTurns: number;
    /** Requests that go on once the connection has been read. */
    waitingRequests: number;
}

export interface AttachedSocket {
    readonly input: InputState;
    readonly newBodyHost: (request: IncomingMessage) => BodyHost;
    /** Charges a response until it is complete; false when its connection was closed instead. */
    readonly chargeResponse: (response: ServerResponse, bytes: number) => boolean;
}

const attachedSockets = new WeakMap<Socket, AttachedSocket>();

export const attachSocket = (socket: Socket, attached: AttachedSocket): void =>
    void attachedSockets.set(socket, attached);

export const findAttachedSocket = (socket: Socket): AttachedSocket | undefined => attachedSockets.get(socket);

/**
 * Resolves once what had arrived on the connection of a request by now, its end included, has been read. Turns of the
 * event loop in which the connection was not read, as another had too much input, do not count.
 */
export const untilInputRead = async ({ socket }: IncomingMessage): Promise<void> => {
    const input = attachedSockets.get(socket)?.input;
    if (!input) {
        await untilNextPoll();
        return;
    }
    input.waitingRequests += 1;
    let skippedTurns: number;
    do {
        skippedTurns = input.skippedTurns;
        await untilNextPoll();
    }
    while (input.skippedTurns !== skippedTurns && !socket.destroyed);
    input.waitingRequests -= 1;
};

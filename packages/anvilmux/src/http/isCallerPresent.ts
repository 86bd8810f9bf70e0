/**
 * Whether the caller of an HTTP request still waits for the response. A caller that has given up closes its connection,
 * and may have sent its request again elsewhere.
 */

import { untilInputRead } from "@anvilmux/intake";
import type { IncomingMessage, ServerResponse } from "node:http";

/**
 * False when the caller has closed its connection. To be awaited between the reading of a request and its first effect:
 * a request may have waited for this process, or in the network, for longer than its caller did, and the end of a
 * connection is read only after what came before it.
 */
export const isCallerPresent = async (request: IncomingMessage): Promise<boolean> => {
    const { socket } = request;
    await untilInputRead(request);
    return !socket.readableEnded && !socket.destroyed;
};

/** Calls `listener` once if the caller closes its connection before the response is complete. */
export const onCallerLeft = ({ socket }: IncomingMessage, response: ServerResponse, listener: () => void): void => {
    const finish = () => {
        socket.off("end", finish);
        response.off("close", finish);
        if (!response.writableEnded) {
            listener();
        }
    };
    socket.on("end", finish);
    response.on("close", finish);
};

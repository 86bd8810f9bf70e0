/** What the users of a channel may do with it. */

import type { Channel } from "./Channel";
import type { LinkConnection, LinkMessage } from "./types";

export const toLinkConnection = <Incoming extends LinkMessage, Outgoing extends LinkMessage>(
    channel: Channel<Incoming, Outgoing>,
): LinkConnection<Outgoing> => ({
    send: message => channel.send(message),
    sendEncoded: message => channel.sendEncoded(message),
    close: reason => channel.close(reason),
    whenPeerPresent: listener => channel.whenPeerPresent(listener),
});

/** The form of messages on a connection: one line of JSON. */

import type { Branded } from "@anvilmux/common";
import type { LinkMessage } from "./types";

/** A message as it is sent; encoded once where it goes to many peers. */
export type EncodedMessage<Message extends LinkMessage> = Branded<string, Message["type"]>;

export const encodeMessage = <Message extends LinkMessage>(message: Message): EncodedMessage<Message> =>
    JSON.stringify(message) + "\n" as EncodedMessage<Message>;

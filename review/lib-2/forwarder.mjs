/** Forwards TCP connections, and can cut off the entry that opened one: nothing is passed on, and nothing is closed. */

import { connect, createServer } from "node:net";

export class Forwarder {
    /** Ids of the entries that are cut off. */
    cutOff = new Set();
    sockets = new Set();

    constructor(from, to) {
        this.to = to;
        this.server = createServer(socket => this.accept(socket));
        this.listening = new Promise((resolve, reject) => {
            this.server.once("error", reject);
            this.server.listen(from.port, from.host, resolve);
        });
    }

    close() {
        this.server.close();
        this.sockets.forEach(socket => socket.destroy());
    }

    accept(near) {
        const far = connect(this.to);
        let entry;
        let text = "";
        this.pass(near, far, () => this.cutOff.has(entry));
        this.pass(far, near, () => this.cutOff.has(entry));
        // The first line of an entry names it.
        near.on("data", chunk => {
            if (entry === undefined && text.length < 4_096) {
                text += chunk.toString("latin1");
                entry = /"member":\{"id":"([^"]+)"/.exec(text)?.[1];
            }
        });
    }

    pass(source, target, isCut) {
        this.sockets.add(source);
        source.setNoDelay(true);
        // One turn later, so that the entry is known by then.
        source.on("data", chunk => setImmediate(() => isCut() || target.destroyed || target.write(chunk)));
        source.on("error", () => undefined);
        source.on("close", () => {
            this.sockets.delete(source);
            if (!isCut()) {
                setImmediate(() => target.destroy());
            }
        });
    }
}

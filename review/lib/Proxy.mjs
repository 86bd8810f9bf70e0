/** A network element before one runner: passes its calls on, and delivers chosen ones late and without an answer. */

import { Agent, request as openRequest } from "node:http";
import { serve } from "./http.mjs";

export class Proxy {
    /** `getDelay(path, body)`: 0 for a call that is passed on at once, else the milliseconds after which it is delivered. */
    constructor({ host, port, target, getDelay, record }) {
        Object.assign(this, { host, port, target, getDelay, record });
        this.agent = new Agent({ keepAlive: true });
    }

    async start() {
        this.server = await serve(this.host, this.port, (request, text, response) => {
            const delayMs = this.getDelay(request.url, text);
            if (delayMs > 0) {
                this.record.add("call-delayed", { to: this.target.host, path: request.url, delayMs });
                setTimeout(() => this.#pass(request, text, undefined), delayMs);
                return;
            }
            this.#pass(request, text, response);
        });
    }

    stop() {
        this.agent.destroy();
        this.server?.closeAllConnections();
        this.server?.close();
    }

    #pass(incoming, text, response) {
        const { host, port } = this.target;
        const { method, url: path, headers } = incoming;
        const outgoing = openRequest({ host, port, method, path, headers, agent: this.agent }, answer => {
            if (!response) {
                this.record.add("late-call-answered", { by: host, path, status: answer.statusCode });
                answer.resume();
                return;
            }
            response.writeHead(answer.statusCode, answer.headers);
            answer.pipe(response);
        });
        outgoing.on("error", () => response?.destroy());
        response?.on("close", () => response.writableFinished || outgoing.destroy());
        outgoing.end(text);
    }
}

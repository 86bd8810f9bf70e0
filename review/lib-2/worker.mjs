/** A stand-in runner: answers start, stop and hold calls, runs tasks as timers, and announces itself to control. */

import { createServer, request } from "node:http";

const maximumLeaseMs = 1_000;

export class Worker {
    runs = new Map();
    highestRuns = new Map();
    finished = [];
    lastEnd = 0;
    watches = [];
    leaseUntil = 0;
    fencingToken = 0;
    sequence = 0;
    born = Date.now();

    /** `getRunMs(task, spec)` gives a task's run time; `onStart` and `onEnd` are told of runs. */
    constructor(options) {
        this.options = options;
        this.usedMillicores = 0;
        this.server = createServer({ keepAliveTimeout: 60_000 }, (message, response) => {
            let text = "";
            message.on("data", chunk => text += chunk);
            message.on("end", () => this.handle(message, response, JSON.parse(text)));
        });
    }

    get clock() {
        return Math.floor(performance.now());
    }

    async start() {
        const { host, port } = this.options;
        await new Promise((resolve, reject) => {
            this.server.once("error", reject);
            this.server.listen(port, host, resolve);
        });
        void this.announce();
        this.beat = setInterval(() => void this.announce(), 1_500);
        this.leaseCheck = setInterval(() => this.endLapsed(), 5);
    }

    stop() {
        clearInterval(this.beat);
        clearInterval(this.leaseCheck);
        this.runs.forEach(run => clearTimeout(run.timer));
        this.server.close();
        this.server.closeAllConnections();
    }

    handle(message, response, body) {
        const { id } = this.options;
        if ((message.headers["anvilmux-expect-instance"] ?? id) !== id) {
            this.reply(response, 421, {});
            return;
        }
        const fence = body.fencing_token ?? 0;
        if (fence < this.fencingToken) {
            this.reply(response, 409, { reason: "fence" });
            return;
        }
        this.fencingToken = fence;
        if (message.url === "/-/run-start") {
            this.handleStart(response, body);
        }
        else if (message.url === "/-/run-stop") {
            const run = this.runs.get(body.task);
            this.highestRuns.set(body.task, Math.max(body.run, this.highestRuns.get(body.task) ?? 0));
            if (run?.run === body.run) {
                this.end(run, "stopped");
            }
            this.reply(response, 200, {});
        }
        else {
            this.handleHold(response, body);
        }
    }

    handleStart(response, body) {
        this.extendLease(body.deadline_ms);
        const present = this.runs.get(body.task);
        if (present?.run === body.run) {
            this.reply(response, 200, {});
            return;
        }
        if (body.run <= (this.highestRuns.get(body.task) ?? 0) || present) {
            this.reply(response, 409, { reason: "old" });
            return;
        }
        if (body.deadline_ms < this.clock) {
            this.reply(response, 409, { reason: "late" });
            return;
        }
        const millicores = this.options.taskMillicores;
        if (this.usedMillicores + millicores > this.options.millicores) {
            this.reply(response, 409, { reason: "room" });
            return;
        }
        const run = { task: body.task, run: body.run, startedAt: performance.now() };
        run.runMs = this.options.getRunMs(body.task, body.spec);
        run.timer = setTimeout(() => this.end(run, "done"), run.runMs);
        this.usedMillicores += millicores;
        this.runs.set(body.task, run);
        this.options.onStart?.(this, run, body);
        this.reply(response, 200, {});
    }

    handleHold(response, body) {
        this.extendLease(body.deadline_ms);
        this.finished = this.finished.filter(([number]) => number > body.last_seen);
        if (this.finished.length > 0 || !body.wait_ms) {
            this.replyList(response);
            return;
        }
        const watch = { response };
        watch.timer = setTimeout(() => this.answerWatch(watch), body.wait_ms);
        this.watches.push(watch);
    }

    answerWatch(watch) {
        clearTimeout(watch.timer);
        this.watches = this.watches.filter(other => other !== watch);
        this.replyList(watch.response);
    }

    replyList(response) {
        const now = performance.now();
        const running = [...this.runs.values()].map(run => [
            run.task,
            run.run,
            "",
            Math.min(99, Math.floor(100 * (now - run.startedAt) / run.runMs)),
            0,
        ]);
        this.reply(response, 200, { born: this.born, running, finished: this.finished.slice(0, 500) });
    }

    extendLease(deadline) {
        if (deadline !== undefined) {
            this.leaseUntil = Math.max(this.leaseUntil, Math.min(deadline, performance.now() + maximumLeaseMs));
        }
    }

    endLapsed() {
        if (performance.now() > this.leaseUntil) {
            [...this.runs.values()].forEach(run => this.end(run, "lapsed"));
        }
    }

    end(run, how) {
        clearTimeout(run.timer);
        this.runs.delete(run.task);
        this.usedMillicores -= this.options.taskMillicores;
        this.highestRuns.set(run.task, Math.max(run.run, this.highestRuns.get(run.task) ?? 0));
        this.lastEnd += 1;
        this.finished.push([this.lastEnd, run.task, run.run, how, ""]);
        this.options.onEnd?.(this, run, how);
        [...this.watches].forEach(watch => this.answerWatch(watch));
    }

    reply(response, status, body) {
        if (!response.destroyed) {
            const text = JSON.stringify({ clock_ms: this.clock, ...body });
            response.writeHead(status, {
                "content-type": "application/json",
                "content-length": Buffer.byteLength(text),
            });
            response.end(text);
        }
    }

    /** Sends a heartbeat to the control addresses in turn, until one acknowledges it. */
    async announce() {
        const { id, host, port, zone, service, controls, millicores } = this.options;
        this.sequence += 1;
        const body = JSON.stringify({
            service,
            address: `${host}:${port}`,
            zone,
            version: "v1",
            slots: 8,
            state: "ready",
            cold_remaining_ms: 0,
            capacity: { cpu: millicores, mem_mb: 131_072, gpu: 0 },
            labels: ["a", "r1-1"],
            clock_ms: this.clock,
            sequence: this.sequence,
            born: this.born,
        });
        for (const control of controls) {
            const answer = await call(control, "POST", `/-/instances/${id}/heartbeat`, { body, timeoutMs: 1_000 });
            if (answer.status === 200) {
                return;
            }
        }
    }
}

/** One HTTP call on a connection of its own; status 0 when there is no whole answer in time. */
export const call = (address, method, path, { body = "", headers = {}, timeoutMs, onClosable } = {}) =>
    new Promise(resolve => {
        const [host, port] = address.split(":");
        const settle = (status, text) => {
            clearTimeout(timer);
            message.destroy();
            resolve({ status, text });
        };
        const message = request({
            host,
            port,
            method,
            path,
            agent: false,
            headers: { "content-type": "application/json", "content-length": Buffer.byteLength(body), ...headers },
        }, response => {
            let text = "";
            response.on("data", chunk => text += chunk);
            response.on("end", () => settle(response.statusCode, text));
            response.on("error", error => settle(0, String(error.code ?? error.message)));
        });
        const timer = setTimeout(() => settle(0, "no answer in time"), timeoutMs);
        message.on("error", error => settle(0, String(error.code ?? error.message)));
        onClosable?.(() => settle(0, "left by the client"));
        message.end(body);
    });

// A sound runner: it does what the users' pages say of runners, and announces itself to control.
import { createServer } from "node:http";
import { call } from "./http.mjs";
import { now } from "./record.mjs";

const longestLeaseMs = 1_000;
const listedEnds = 500;
const heartbeatMs = 1_500;
const leaseCheckMs = 2;

export class Runner {
    /**
     * `spec` of each job is JSON with `cpu` and `ms`, a run time or one for each index. `getOrderDelay(path, body)`: time after
     * which an order without an answer is carried out; 0 for one that is answered. `stopMs`: time that a stop takes.
     * `clockRate`: speed of its steady clock, 0.98 at least.
     */
    constructor(options) {
        this.options = { stopMs: 20, clockRate: 1, getOrderDelay: () => 0, ...options };
        this.born = Date.now();
        this.clockBase = Math.floor(Math.random() * 1_000_000);
        this.runs = new Map();
        this.highest = new Map();
        this.finished = [];
        this.lastEnd = 0;
        this.watches = new Set();
        this.leaseUntil = 0;
        this.token = 0;
        this.used = 0;
        this.sequence = 0;
        this.server = createServer((request, response) => this.receive(request, response));
        this.server.keepAliveTimeout = 60_000;
    }

    async listen() {
        const [host, port] = this.options.address.split(":");
        await new Promise((resolve, reject) => {
            this.server.once("error", reject);
            this.server.listen(Number(port), host, resolve);
        });
        this.leaseTimer = setInterval(() => this.endLapsed(), leaseCheckMs);
        this.heartbeatTimer = setInterval(() => void this.sendHeartbeat(), heartbeatMs);
        void this.sendHeartbeat();
    }

    close() {
        clearInterval(this.leaseTimer);
        clearInterval(this.heartbeatTimer);
        this.runs.forEach(run => clearTimeout(run.timer));
        this.server.close();
        this.server.closeAllConnections();
    }

    async sendHeartbeat() {
        const { id, address, zone, service, cpu, controls } = this.options;
        for (const control of controls) {
            this.sequence += 1;
            const answer = await call({
                method: "POST",
                address: control,
                path: `/-/instances/${id}/heartbeat`,
                timeoutMs: 1_000,
                body: {
                    service,
                    address,
                    zone,
                    version: "v1",
                    slots: 8,
                    state: "ready",
                    cold_remaining_ms: 0,
                    capacity: { cpu, mem_mb: 131_072, gpu: 0 },
                    labels: ["a", "r1-1"],
                    clock_ms: this.clock,
                    sequence: this.sequence,
                    born: this.born,
                },
            });
            if (answer.status === 200) {
                return;
            }
        }
    }

    get clock() {
        return Math.floor(now() * this.options.clockRate + this.clockBase);
    }

    receive(request, response) {
        const chunks = [];
        request.on("data", chunk => chunks.push(chunk));
        request.on("end", () => {
            if (request.method === "GET") {
                response.writeHead(200).end();
                return;
            }
            if (request.headers["anvilmux-expect-instance"] !== this.options.id) {
                this.reply(response, 421, {});
                return;
            }
            const body = JSON.parse(Buffer.concat(chunks).toString());
            this.carryOut(request.url, body, response);
        });
    }

    carryOut(path, body, response) {
        const delay = path === "/-/hold" ? 0 : this.options.getOrderDelay(path, body);
        if (delay > 0) {
            this.log(`leaves ${path} of ${body.task} run ${body.run} unanswered, carries it out ${delay} ms later`);
            setTimeout(() => this.handle(path, body, undefined), delay);
            return;
        }
        this.handle(path, body, response);
    }

    handle(path, body, response) {
        switch (path) {
            case "/-/run-start":
                this.start(body, response);
                return;
            case "/-/run-stop":
                this.stop(body, response);
                return;
            case "/-/hold":
                this.hold(body, response);
                return;
            default:
                this.reply(response, 404, {});
        }
    }

    /** False for a call with a lower token than one seen before, which is refused. */
    checkToken({ fencing_token: token = 0 }, response) {
        if (token < this.token) {
            this.reply(response, 409, { reason: "fence" });
            return false;
        }
        this.token = token;
        return true;
    }

    extendLease(deadline = 0) {
        this.leaseUntil = Math.max(this.leaseUntil, Math.min(deadline, this.clock + longestLeaseMs));
    }

    start(body, response) {
        const { task, run, spec, deadline_ms: deadline } = body;
        if (!this.checkToken(body, response)) {
            return;
        }
        const refuse = reason => {
            this.log(`refuses ${task} run ${run}: ${reason}`);
            this.reply(response, 409, { reason });
        };
        if (deadline < this.clock) {
            refuse("late");
            return;
        }
        this.extendLease(deadline);
        const present = this.runs.get(task);
        if (present?.run === run) {
            this.reply(response, 200, {});
            return;
        }
        if (run <= (this.highest.get(task) ?? 0) || present) {
            refuse("old");
            return;
        }
        const { cpu, ms } = JSON.parse(spec);
        if (this.used + cpu > this.options.cpu) {
            refuse("room");
            return;
        }
        const runMs = Array.isArray(ms) ? ms[Number(task.split(".").at(-1))] : ms;
        const record = { task, run, cpu, runMs, startedAt: now(), timer: undefined };
        record.timer = setTimeout(() => this.end(record, "done"), runMs);
        this.used += cpu;
        this.runs.set(task, record);
        this.log(`starts ${task} run ${run} (${runMs} ms of work)`);
        this.options.onStart?.(task, run, this);
        this.reply(response, 200, {});
    }

    stop(body, response) {
        const { task, run } = body;
        if (!this.checkToken(body, response)) {
            return;
        }
        this.highest.set(task, Math.max(run, this.highest.get(task) ?? 0));
        const record = this.runs.get(task);
        if (record && record.run <= run) {
            clearTimeout(record.timer);
            record.timer = setTimeout(() => this.end(record, "stopped"), this.options.stopMs);
        }
        this.reply(response, 200, {});
    }

    hold(body, response) {
        if (!this.checkToken(body, response)) {
            return;
        }
        this.extendLease(body.deadline_ms);
        this.finished = this.finished.filter(([number]) => number > body.last_seen);
        if (this.finished.length > 0 || !body.wait_ms) {
            this.list(response);
            return;
        }
        const watch = { response, timer: setTimeout(() => this.answerWatch(watch), body.wait_ms) };
        this.watches.add(watch);
        response.on("close", () => {
            clearTimeout(watch.timer);
            this.watches.delete(watch);
        });
    }

    answerWatch(watch) {
        clearTimeout(watch.timer);
        this.watches.delete(watch);
        this.list(watch.response);
    }

    list(response) {
        this.reply(response, 200, {
            running: [...this.runs.values()].map(({ task, run, startedAt, runMs, cpu }) => {
                const percent = Math.min(99, Math.floor(100 * (now() - startedAt) / runMs));
                return [task, run, "", percent, cpu];
            }),
            finished: this.finished.slice(0, listedEnds),
        });
    }

    end(record, how) {
        if (this.runs.get(record.task) !== record) {
            return;
        }
        clearTimeout(record.timer);
        this.runs.delete(record.task);
        this.used -= record.cpu;
        this.highest.set(record.task, Math.max(record.run, this.highest.get(record.task) ?? 0));
        this.lastEnd += 1;
        this.finished.push([this.lastEnd, record.task, record.run, how, ""]);
        this.log(`ends ${record.task} run ${record.run}: ${how}`);
        this.options.onEnd?.(record.task, record.run, this, how);
        this.watches.forEach(watch => this.answerWatch(watch));
    }

    endLapsed() {
        if (this.runs.size > 0 && this.clock > this.leaseUntil) {
            [...this.runs.values()].forEach(record => this.end(record, "lapsed"));
        }
    }

    reply(response, status, body) {
        if (!response || response.destroyed) {
            return;
        }
        const text = JSON.stringify({ clock_ms: this.clock, born: this.born, ...body });
        response.writeHead(status, { "content-type": "application/json", "content-length": Buffer.byteLength(text) });
        response.end(text);
    }

    log(text) {
        this.options.record.add(`runner ${this.options.id} (${this.options.zone}) ${text}`);
    }
}

/**
 * A runner as the pages describe it: it announces itself, carries out starts and stops under a lease and a fencing token,
 * and lists what runs and what has ended. `spec` is a JSON text that says how long each task takes and what it needs.
 */

import { call, reply, serve } from "./http.mjs";

const leaseCheckMs = 5;

export class Runner {
    #server;
    #life = 0;

    constructor(options) {
        /** id, host, port, zone, service, cpu, guards, maxHoldMs, heartbeatMs, controls (host and port), record */
        this.options = options;
        this.cpu = options.cpu;
        this.isUp = false;
    }

    get used() {
        return [...this.runs.values()].reduce((sum, run) => sum + run.cpu, 0);
    }

    /** Begins a life, with nothing of the one before. */
    async start(cpu = this.cpu) {
        const { host, port, record, id } = this.options;
        this.cpu = cpu;
        this.#life += 1;
        this.born = Date.now();
        this.bornAt = performance.now();
        this.runs = new Map();
        this.highest = new Map();
        this.finished = [];
        this.lastEnd = 0;
        this.token = 0;
        this.leaseUntil = 0;
        this.sequence = 0;
        this.watches = new Set();
        this.isUp = true;
        this.#server = await serve(host, port, (request, text, response) => this.#receive(request, text, response));
        record.add("runner-up", { id, cpu, born: this.born });
        this.leaseTimer = setInterval(() => this.#endLapsed(), leaseCheckMs);
        void this.#heartbeat(this.#life);
    }

    /** Crashes: whatever runs there ends, and connections break. */
    async crash() {
        this.options.record.add("runner-crashed", { id: this.options.id, running: [...this.runs.keys()].join(",") });
        this.isUp = false;
        this.#life += 1;
        clearInterval(this.leaseTimer);
        clearTimeout(this.heartbeatTimer);
        this.runs.forEach(run => clearTimeout(run.timer));
        this.runs.clear();
        this.watches.forEach(watch => clearTimeout(watch.timer));
        const closed = new Promise(resolve => this.#server.close(resolve));
        this.#server.closeAllConnections();
        await closed;
    }

    get clock() {
        return Math.floor(performance.now() - this.bornAt);
    }

    async #heartbeat(life) {
        const { id, port, zone, service, controls, heartbeatMs, record } = this.options;
        const announcedHost = this.options.announcedHost ?? this.options.host;
        this.sequence += 1;
        const body = {
            service,
            address: `${announcedHost}:${port}`,
            zone,
            version: "v1",
            slots: 8,
            state: "ready",
            cold_remaining_ms: 0,
            capacity: { cpu: this.cpu, mem_mb: 32_768, gpu: 0 },
            labels: ["a", "r1-1"],
            clock_ms: this.clock,
            sequence: this.sequence,
            born: this.born,
        };
        let acknowledgedBy = "nobody";
        for (const control of controls()) {
            if (life !== this.#life) {
                return;
            }
            const answer = await call("POST", control.host, control.port, `/-/instances/${id}/heartbeat`, body)
                .catch(() => undefined);
            if (answer && answer.status >= 200 && answer.status < 300) {
                acknowledgedBy = control.host;
                break;
            }
        }
        if (life === this.#life) {
            record.add("heartbeat", { id, cpu: this.cpu, sequence: body.sequence, acknowledgedBy });
            this.heartbeatTimer = setTimeout(() => void this.#heartbeat(life), heartbeatMs);
        }
    }

    #receive(request, text, response) {
        if (!this.isUp) {
            return;
        }
        const body = JSON.parse(text || "{}");
        if (request.headers["anvilmux-expect-instance"] !== this.options.id) {
            reply(response, 421, {});
            return;
        }
        if ((body.fencing_token ?? 0) < this.token) {
            reply(response, 409, { clock_ms: this.clock, born: this.born, reason: "fence" });
            return;
        }
        this.token = body.fencing_token ?? 0;
        switch (request.url) {
            case "/-/run-start":
                this.#start(body, response);
                return;
            case "/-/run-stop":
                this.#stop(body, response);
                return;
            case "/-/hold":
                this.#hold(body, response);
                return;
            default:
                reply(response, 404, {});
        }
    }

    #extendLease(deadline) {
        this.leaseUntil = Math.max(this.leaseUntil, Math.min(deadline, this.clock + this.options.maxHoldMs));
    }

    #start(body, response) {
        const { id, record, guards } = this.options;
        const { task, run } = body;
        const refuse = reason => {
            record.add("start-refused", { id, task, run, reason });
            reply(response, 409, { clock_ms: this.clock, born: this.born, reason });
        };
        if (this.clock > body.deadline_ms) {
            refuse("late");
            return;
        }
        this.#extendLease(body.deadline_ms);
        if (this.runs.get(task)?.run === run) {
            reply(response, 200, { clock_ms: this.clock, born: this.born });
            return;
        }
        if (run <= (this.highest.get(task) ?? 0)) {
            refuse("old");
            return;
        }
        const { cpu, ms } = JSON.parse(body.spec);
        if (guards && this.used + cpu > this.cpu) {
            refuse("room");
            return;
        }
        this.highest.set(task, run);
        const timer = setTimeout(() => this.#end(task, "done"), ms);
        this.runs.set(task, { run, cpu, ms, timer, startedAt: performance.now() });
        record.add("start", { id, task, run, token: body.fencing_token, used: this.used, capacity: this.cpu });
        this.options.onStart?.(this, task, run);
        reply(response, 200, { clock_ms: this.clock, born: this.born });
    }

    #stop({ task, run }, response) {
        this.options.record.add("stop", { id: this.options.id, task, run });
        this.highest.set(task, Math.max(run, this.highest.get(task) ?? 0));
        if (this.runs.get(task)?.run === run) {
            this.#end(task, "stopped");
        }
        reply(response, 200, { clock_ms: this.clock, born: this.born });
    }

    #hold(body, response) {
        if (body.deadline_ms !== undefined) {
            this.#extendLease(body.deadline_ms);
        }
        this.finished = this.finished.filter(([number]) => number > body.last_seen);
        if (this.finished.length > 0 || !body.wait_ms) {
            this.#list(response);
            return;
        }
        const watch = { response, timer: setTimeout(() => this.#answerWatch(watch), Math.min(2_000, body.wait_ms)) };
        this.watches.add(watch);
        response.on("close", () => {
            clearTimeout(watch.timer);
            this.watches.delete(watch);
        });
    }

    #answerWatch(watch) {
        clearTimeout(watch.timer);
        this.watches.delete(watch);
        this.#list(watch.response);
    }

    #list(response) {
        reply(response, 200, {
            clock_ms: this.clock,
            born: this.born,
            running: [...this.runs].map(([task, { run, cpu, ms, startedAt }]) => [
                task,
                run,
                "",
                Math.min(99, Math.floor(100 * (performance.now() - startedAt) / ms)),
                cpu,
            ]),
            finished: this.finished.slice(0, 500),
        });
    }

    #endLapsed() {
        if (this.runs.size > 0 && this.clock > this.leaseUntil) {
            [...this.runs.keys()].forEach(task => this.#end(task, "lapsed"));
        }
    }

    #end(task, how) {
        const run = this.runs.get(task);
        if (!run) {
            return;
        }
        clearTimeout(run.timer);
        this.runs.delete(task);
        this.lastEnd += 1;
        this.finished.push([this.lastEnd, task, run.run, how, ""]);
        this.options.record.add("end", { id: this.options.id, task, run: run.run, how });
        this.options.onEnd?.(this, task, run.run, how);
        this.watches.forEach(watch => this.#answerWatch(watch));
    }
}

/**
 * One of three entries of a zone stands still for 4 s. Clients that had just sent it their jobs get no answer, give up at
 * their deadline, close their connections and, as the pages say, send the jobs again 1.3 s later, to an entry of another
 * zone, where they run. The case watches whether a task runs twice at the same time once the entry wakes.
 */

import { join } from "node:path";
import { bounds, Deployment, newConfiguration } from "../lib/deployment.mjs";
import { call } from "../lib/http.mjs";
import { Record, sleep } from "../lib/record.mjs";
import { Runner } from "../lib/Runner.mjs";

const isTroubled = process.env.TROUBLE !== "0";
const record = new Record(join(import.meta.dirname, "record.txt"));
const service = "rider-desk";
const prefix = "/screen/";
const host = "case2.example";
const frozen = "entry-a-2";
/** The site lets machines stand still for 4 s. */
const freezeMs = 4_000;
const taskMs = 1_200;
const deadlineMs = 1_500;
/** Jobs are sent to the entry for so long after it was stopped, well before the platform has seen two misses. */
const sendingMs = 1_000;
const jobPeriodMs = 80;
const maximumTries = 3;
const exitHeld = 0;
const exitBroken = 1;
const exitNotRun = 2;

const deployment = await Deployment.create({
    record,
    machines: [
        { name: "control-a", role: "control", ip: "127.36.1.1", zone: "zone-a" },
        { name: "control-b", role: "control", ip: "127.36.1.2", zone: "zone-b" },
        { name: "control-c", role: "control", ip: "127.36.1.3", zone: "zone-c" },
        { name: "entry-a-1", role: "entry", ip: "127.36.1.4", zone: "zone-a" },
        { name: "entry-a-2", role: "entry", ip: "127.36.1.5", zone: "zone-a" },
        { name: "entry-a-3", role: "entry", ip: "127.36.1.6", zone: "zone-a" },
        { name: "entry-b-1", role: "entry", ip: "127.36.1.7", zone: "zone-b" },
        { name: "entry-b-2", role: "entry", ip: "127.36.1.8", zone: "zone-b" },
        { name: "entry-c-1", role: "entry", ip: "127.36.1.9", zone: "zone-c" },
        { name: "entry-c-2", role: "entry", ip: "127.36.1.10", zone: "zone-c" },
    ],
});
const { ports } = deployment;
let doubled = 0;
const runners = [];
const newRunner = (id, address, zone) =>
    new Runner({
        id,
        host: address,
        port: ports.front,
        zone,
        service,
        cpu: 16_000,
        guards: true,
        maxHoldMs: bounds.max_hold_ms,
        heartbeatMs: 1_500,
        controls: () => deployment.controlHosts.map(control => ({ host: control, port: ports.control })),
        record,
        onStart: (runner, task, run) => {
            const others = runners.filter(other => other !== runner && other.isUp && other.runs.has(task));
            if (others.length > 0) {
                doubled += 1;
                record.add("runs-twice", { task, run, on: id, also: others.map(other => other.options.id).join(",") });
            }
        },
    });
for (let index = 0; index < 6; index++) {
    runners.push(newRunner(`i-a${index}`, `127.36.1.${20 + index}`, "zone-a"));
}
for (let index = 0; index < 8; index++) {
    runners.push(newRunner(`i-b${index}`, `127.36.1.${30 + index}`, "zone-b"));
}

let jobCount = 0;
const answers = new Map();

/** A client: sends its job, and again after no answer, a broken connection, 502 or 504, first to `entryName`. */
const runClient = async entryName => {
    jobCount += 1;
    const id = jobCount.toString(16).padStart(16, "0");
    const job = {
        spec: JSON.stringify({ cpu: 6_800, ms: taskMs }),
        phases: [{ count: 1, cpu: 6_800, mem_mb: 64, estimate_ms: taskMs }],
        best_effort: true,
    };
    for (let attempt = 0; attempt < maximumTries; attempt++) {
        const to = attempt === 0 ? entryName : "entry-b-1";
        record.add("job-sent", { id, to });
        const answer = await call("POST", deployment.machines.get(to).ip, ports.front, `${prefix}${id}`, job, {
            headers: { "host": host, "anvilmux-deadline-ms": String(deadlineMs) },
            timeoutMs: deadlineMs,
        }).catch(error => ({ status: error.message }));
        record.add("job-answered", { id, by: to, status: answer.status });
        if ([200, 404, 429, 503].includes(answer.status)) {
            answers.set(answer.status, (answers.get(answer.status) ?? 0) + 1);
            return;
        }
        await sleep(bounds.retransmit_ms);
    }
};

const run = async () => {
    deployment.startAll();
    if (!await deployment.putConfiguration(newConfiguration({ version: 2, host, prefix, service }), 30_000)) {
        return exitNotRun;
    }
    await Promise.all(runners.map(runner => runner.start()));
    for (const name of ["entry-a-1", "entry-a-2", "entry-a-3", "entry-b-1"]) {
        await deployment.waitUntilReady(name, 10_000);
    }
    await sleep(4_000);
    const clients = [runClient("entry-a-1"), runClient("entry-a-3"), runClient("entry-b-1")];
    await Promise.all(clients);
    if ((answers.get(200) ?? 0) < clients.length) {
        record.add("not-run", { reason: "jobs were not served before the disruption" });
        return exitNotRun;
    }
    const stoppedAt = performance.now();
    if (isTroubled) {
        deployment.signal(frozen, "SIGSTOP");
    }
    while (performance.now() < stoppedAt + sendingMs) {
        clients.push(runClient(frozen));
        await sleep(jobPeriodMs);
    }
    await sleep(freezeMs - (performance.now() - stoppedAt));
    if (isTroubled) {
        deployment.signal(frozen, "SIGCONT");
    }
    await Promise.all(clients);
    await sleep(2_000);
    record.add("result", { doubled, jobs: jobCount, answers: Object.fromEntries(answers) });
    return doubled > 0 ? exitBroken : exitHeld;
};

let exitCode = exitNotRun;
try {
    exitCode = await run();
}
catch (error) {
    record.add("not-run", { reason: error.stack });
}
await Promise.all(runners.filter(runner => runner.isUp).map(runner => runner.crash()));
await deployment.stop();
record.add("exit", { code: exitCode });
record.write();
process.exit(exitCode);

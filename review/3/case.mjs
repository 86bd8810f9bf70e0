/**
 * The only entry of a zone, which owns the zone's workers, stands still for 4 s. A full zone goes on to forward tasks to
 * it. Their clients are answered 504 and send the jobs again 1.3 s later, to an entry of a third zone, where they run.
 * The case watches whether a task runs twice at the same time once the entry wakes.
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
const host = "case3.example";
const frozen = "entry-b-1";
/** The site lets machines stand still for 4 s. */
const freezeMs = 4_000;
const taskMs = 2_500;
const deadlineMs = 4_000;
/** Tasks that fill the zone whose entry forwards the others. */
const fillingMs = 8_000;
/** Jobs are sent to the full zone for so long after the entry was stopped. */
const sendingMs = 1_800;
const jobPeriodMs = 230;
/** Jobs of the frozen entry's own zone, sent before the platform has seen two misses; their clients wait for it. */
const ownSendingMs = 1_000;
const ownJobsAtOnce = 8;
const ownTaskMs = 200;
const ownDeadlineMs = 9_000;
const maximumTries = 3;
const exitHeld = 0;
const exitBroken = 1;
const exitNotRun = 2;

const deployment = await Deployment.create({
    record,
    machines: [
        { name: "control-a", role: "control", ip: "127.36.2.1", zone: "zone-a" },
        { name: "control-b", role: "control", ip: "127.36.2.2", zone: "zone-b" },
        { name: "control-c", role: "control", ip: "127.36.2.3", zone: "zone-c" },
        { name: "entry-a-1", role: "entry", ip: "127.36.2.4", zone: "zone-a" },
        { name: "entry-b-1", role: "entry", ip: "127.36.2.5", zone: "zone-b" },
        { name: "entry-c-1", role: "entry", ip: "127.36.2.6", zone: "zone-c" },
        { name: "entry-c-2", role: "entry", ip: "127.36.2.7", zone: "zone-c" },
        { name: "entry-c-3", role: "entry", ip: "127.36.2.8", zone: "zone-c" },
        { name: "entry-c-4", role: "entry", ip: "127.36.2.9", zone: "zone-c" },
        { name: "entry-c-5", role: "entry", ip: "127.36.2.10", zone: "zone-c" },
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
const counts = { a: 1, b: 3, c: 2 };
Object.entries(counts).forEach(([zone, count], position) => {
    for (let index = 0; index < count; index++) {
        runners.push(newRunner(`i-${zone}${index}`, `127.36.2.${20 + 10 * position + index}`, `zone-${zone}`));
    }
});

let jobCount = 0;
const answers = new Map();

/** A client: sends its job, and again after no answer, a broken connection, 502 or 504, first to `entryName`. */
const runClient = async (entryName, { ms = taskMs, count = 1, timeoutMs = deadlineMs } = {}) => {
    jobCount += 1;
    const id = jobCount.toString(16).padStart(16, "0");
    const job = {
        spec: JSON.stringify({ cpu: 6_800, ms }),
        phases: [{ count, cpu: 6_800, mem_mb: 64, estimate_ms: ms }],
        best_effort: true,
    };
    for (let attempt = 0; attempt < maximumTries; attempt++) {
        const to = attempt === 0 ? entryName : "entry-c-1";
        record.add("job-sent", { id, to });
        const answer = await call("POST", deployment.machines.get(to).ip, ports.front, `${prefix}${id}`, job, {
            headers: { "host": host, "anvilmux-deadline-ms": String(timeoutMs) },
            timeoutMs,
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
    for (const name of ["entry-a-1", "entry-b-1", "entry-c-1"]) {
        await deployment.waitUntilReady(name, 10_000);
    }
    await sleep(4_000);
    const clients = [runClient("entry-a-1"), runClient("entry-b-1"), runClient("entry-c-1")];
    await Promise.all(clients);
    if ((answers.get(200) ?? 0) < clients.length) {
        record.add("not-run", { reason: "jobs were not served before the disruption" });
        return exitNotRun;
    }
    clients.push(runClient("entry-a-1", { ms: fillingMs, count: 2, timeoutMs: fillingMs * 2 }));
    await sleep(300);
    const stoppedAt = performance.now();
    if (isTroubled) {
        deployment.signal(frozen, "SIGSTOP");
    }
    while (performance.now() < stoppedAt + sendingMs) {
        if (performance.now() < stoppedAt + ownSendingMs) {
            // Clients of the frozen entry that wait until it has woken.
            for (let index = 0; index < ownJobsAtOnce; index++) {
                clients.push(runClient(frozen, { ms: ownTaskMs, timeoutMs: ownDeadlineMs }));
            }
        }
        clients.push(runClient("entry-a-1"));
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

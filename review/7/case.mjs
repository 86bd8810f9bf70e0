/** The next owner of a zone's workers is cut off from control while runners are added, and then the owner is killed. */

import { Deployment, pause, service, waitUntil, zones } from "../lib-2/deployment.mjs";
import { Worker } from "../lib-2/worker.mjs";

/** With TROUBLE=0 the case does the same without the disruption. */
const hasTrouble = process.env["TROUBLE"] !== "0";

const deadlineMs = 1_500;
const jobs = 4;
const taskMillicores = 27_000;

const deployment = await Deployment.create(import.meta.dirname);
const [zone] = zones;
const forwarders = (await Promise.all(
    zones.map((name, index) => deployment.addForwardedControl(`core-${name}`, index + 1, name)),
)).flat();
const entries = [1, 2, 3].map(number => `edge-${zone}-${number}`);
entries.forEach((name, index) => deployment.addMachine(name, "entry", index + 11, zone));
[...deployment.machines.keys()].forEach(name => deployment.start(name));

/** The runners on which each task runs now. */
const placesOfTask = new Map();
let doubles = 0;
const newWorker = (number, millicores) =>
    new Worker({
        id: `w-${number}`,
        ...deployment.getWorkerAddress(number),
        zone,
        service,
        controls: deployment.controls,
        millicores,
        taskMillicores,
        getRunMs: () => 3_000,
        onStart: (worker, run) => {
            const places = placesOfTask.get(run.task) ?? new Map();
            deployment.record(`runner ${worker.options.id} starts ${run.task} ${run.run}`);
            if (places.size > 0) {
                doubles += 1;
                deployment.record(`twice: ${run.task} runs on ${[...places.keys()].join(" ")} at the same time`);
            }
            placesOfTask.set(run.task, places.set(worker.options.id, run.run));
        },
        onEnd: (worker, run, how) => {
            deployment.record(`runner ${worker.options.id} ends ${run.task} ${run.run} ${how}`);
            placesOfTask.get(run.task)?.delete(worker.options.id);
        },
    });
const workers = Array.from({ length: 8 }, (_, number) => newWorker(number, 96_000));
await Promise.all(workers.map(worker => worker.start()));
if (!await deployment.putConfiguration(deployment.getConfiguration(1), 20_000)) {
    process.exit(2);
}
const areReady = async () => (await Promise.all(entries.map(name => deployment.isReady(name)))).every(Boolean);
if (!await waitUntil(areReady, 10_000)) {
    process.exit(2);
}
await pause(3_500);

const [owner, next, submitter] = entries;
if (!deployment.machines.get(owner).log.includes("scheduler begins")) {
    deployment.record(`${owner} does not own the workers`);
    process.exit(2);
}
if (hasTrouble) {
    forwarders.forEach(({ cutOff }) => cutOff.add(next));
    deployment.record(`${next} is cut off from control`);
}
const added = [newWorker(8, 64_000), newWorker(9, 64_000)];
for (const [index, worker] of added.entries()) {
    await pause(index === 0 ? 300 : 2_000);
    await worker.start();
    deployment.record(`runner ${worker.options.id} is added`);
}
await pause(500);
const job = {
    spec: "line",
    best_effort: true,
    phases: [{ count: 2, cpu: taskMillicores, mem_mb: 64, estimate_ms: 760 }],
};
for (let number = 0; number < jobs; number++) {
    const id = (0xf0_00 + number).toString(16).padStart(16, "0");
    void deployment.submit(deployment.getFront(submitter), id, job, deadlineMs);
}
await pause(400);
if (hasTrouble) {
    await deployment.kill(owner);
}
await pause(1_500);
forwarders.forEach(({ cutOff }) => cutOff.clear());
deployment.record("nothing is cut off any more");
await pause(2_000);
[...workers, ...added].forEach(worker => worker.stop());
forwarders.forEach(forwarder => forwarder.close());
deployment.record(`${doubles} starts of a task while it ran on another runner`);
process.exit(doubles > 0 ? 1 : 0);

import { readFileSync } from "node:fs";
import {
    callerToken,
    getBetween,
    getMeanRun,
    getRateForLoad,
    getSlowdowns,
    longWork,
    measureRoundTrip,
    newLoad,
    service,
    shortUrgent,
    startDeployment,
} from "./requestPath";
import { getPercentile, round } from "./statistics";
const cpu = (pid: number) => {
    const f = readFileSync(`/proc/${pid}/stat`, "utf8").split(") ")[1]!.split(" ");
    return (Number(f[11]) + Number(f[12])) * 10;
};
const strategy = process.argv[2] ?? "steward";
const target = Number(process.argv[3] ?? 0.8);
const secs = Number(process.argv[4] ?? 14);
const d = await startDeployment(strategy);
const rt = await measureRoundTrip(d);
console.log("roundTrip", rt);
const pids = d.processes.map(p => p.child!.pid!);
let last = pids.map(cpu);
let lastSelf = process.cpuUsage();
const t = setInterval(() => {
    const now = pids.map(cpu);
    const self = process.cpuUsage(lastSelf);
    lastSelf = process.cpuUsage();
    void Promise.all(d.processes.map(async p => {
        const r: any = await d.getStatus(p.id);
        return `${p.id}:${r.services[0].steward}:${r.services[0].freeSlots}:${r.upstreams}:${
            r.services[0].detail ?? ""
        }`;
    })).then(x => console.log(x.join(" "), "running", d.upstreams.map(u => u.standIn.runningCount).join(",")));
    console.log(
        "cpu ms/2s",
        now.map((v, i) => v - last[i]!).join(" "),
        "self",
        Math.round((self.user + self.system) / 1000),
    );
    last = now;
}, 2000);
const load = newLoad(d, "probe");
const records = await load.run({
    service,
    token: callerToken,
    seed: 1,
    duration: secs * 1000,
    kinds: [shortUrgent("screen", 0.9), longWork("check", 0.1)],
    getRate: () => getRateForLoad(target, getMeanRun(0.9, 0.1)),
});
clearInterval(t);
for (let s = 0; s < secs; s++) {
    const r = getBetween(records, s * 1000, s * 1000 + 1000);
    const x = getSlowdowns(r.filter(q => q.kind === "screen"), rt);
    const y = getSlowdowns(r.filter(q => q.kind === "check"), rt);
    console.log(
        s,
        r.length,
        "short",
        round(getPercentile(x, 50)),
        round(getPercentile(x, 99)),
        "long",
        round(getPercentile(y, 50)),
        round(getPercentile(y, 99)),
        r.filter(q => q.outcome !== "answered").length,
    );
}
console.log(
    "queues",
    d.upstreams.map(u => u.standIn.longestQueue).join(" "),
    "conns",
    Math.max(...d.upstreams.map(u => u.standIn.mostConnections)),
);
await Promise.all(d.processes.map(p => d.end(p.id, "SIGTERM")));
process.exit(0);

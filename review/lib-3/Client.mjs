// A client: hands a job in that need not be stored, and sends it again as the pages say.
import { call } from "./http.mjs";
import { host, prefix } from "./Operator.mjs";
import { pause } from "./record.mjs";

export const retransmitMs = 1_300;

export const newJobId = () => Buffer.from(crypto.getRandomValues(new Uint8Array(8))).toString("hex");

/** Sends a job once; resolves with the answer. */
export const sendJob = async (record, { id, entry, address, spec, count, estimateMs, deadlineMs }) => {
    record.add(`client sends ${id} to ${entry}`);
    const answer = await call({
        method: "POST",
        address,
        path: `${prefix}${id}`,
        headers: { "host": host, "anvilmux-deadline-ms": String(deadlineMs) },
        body: {
            spec: JSON.stringify(spec),
            phases: [{ count, cpu: spec.cpu, mem_mb: 64, estimate_ms: estimateMs }],
            best_effort: true,
        },
        timeoutMs: deadlineMs,
    });
    const state = answer.body?.state ? ` ${answer.body.state}` : "";
    record.add(`client has ${answer.status ?? answer.end}${state} for ${id} from ${entry}`);
    return answer;
};

/** True after no response, a broken connection, a 502 or a 504, when the client sends the job again. */
export const isSentAgain = ({ status }) => status === undefined || status === 502 || status === 504;

/** Sends a job, and sends it again `retransmitMs` after each try without a clear answer, to the entry that `choose` names. */
export const serveJob = async (record, job, choose, maximumTries = 2) => {
    for (let tries = 0; tries < maximumTries; tries++) {
        const { entry, address } = choose(tries);
        const answer = await sendJob(record, { ...job, entry, address });
        if (!isSentAgain(answer)) {
            return answer;
        }
        await pause(retransmitMs);
    }
    return undefined;
};

/** Wasted attempts and internal messages per request, with healthy upstreams and with a tenth of them failing. */

import type { ProcessDeployment } from "../ProcessDeployment";
import { callerToken, getRateForLoad, newLoadGenerator, newShortKind, service, startDeployment } from "../requestPath";
import { round } from "../statistics";
import type { Bench } from "../types";

const load = 0.5;
const durationMs = 6_000;
const failingUpstreamCount = 3;
const messageKinds = ["steward-request", "steward-reply", "proposal"] as const;

const sumMetric = async (deployment: ProcessDeployment, prefix: string): Promise<number> => {
    const values = await Promise.all(deployment.processes.map(item => deployment.getMetric(item.id, prefix)));
    return values.reduce((sum, value) => sum + value, 0);
};

const measure = async (deployment: ProcessDeployment, seed: number) => {
    const attemptsMetric = "anvilmux_attempts_total";
    const getMessages = () =>
        Promise.all(messageKinds.map(kind => sumMetric(deployment, `anvilmux_own_messages_total{kind="${kind}"}`)));
    const attemptsBefore = await sumMetric(deployment, attemptsMetric);
    const messagesBefore = await getMessages();
    const generator = newLoadGenerator(deployment, `wasted-${seed}-${attemptsBefore}`);
    const records = await generator.run({
        service,
        token: callerToken,
        seed,
        duration: durationMs,
        kinds: [newShortKind("screen", 1)],
        getRate: () => getRateForLoad(load, 100),
    });
    await generator.close();
    const attempts = await sumMetric(deployment, attemptsMetric) - attemptsBefore;
    const messages = (await getMessages()).map((count, position) => count - messagesBefore[position]!);
    const useful = records.filter(record => record.outcome === "answered" && record.status === 200).length;
    return {
        wastedShare: (attempts - useful) / attempts,
        answeredShare: useful / records.length,
        messagesPerRequest: messages.reduce((sum, count) => sum + count, 0) / records.length,
        messagesByKind: messages.map(count => count / records.length),
    };
};

export const wastedMessages: Bench = {
    name: "wasted-messages",
    description: "attempts without use and own messages for each request",
    run: async seed => {
        const deployment = await startDeployment("steward");
        const healthy = await measure(deployment, seed);
        deployment.upstreams.filter((_item, position) => position % 10 === 0).slice(0, failingUpstreamCount)
            .forEach(item => item.standIn.behaviour = "fails");
        const failing = await measure(deployment, seed + 1);
        await deployment.stop();
        const baselineDeployment = await startDeployment("random");
        baselineDeployment.upstreams.filter((_item, position) => position % 10 === 0).slice(0, failingUpstreamCount)
            .forEach(item => item.standIn.behaviour = "fails");
        const baseline = await measure(baselineDeployment, seed + 1);
        await baselineDeployment.stop();
        return {
            metrics: {
                healthyWastedShare: round(healthy.wastedShare, 4),
                failingWastedShare: round(failing.wastedShare, 4),
                failingAnsweredShare: round(failing.answeredShare, 4),
                ownMessagesPerRequest: round(healthy.messagesPerRequest),
                stewardRequestsPerRequest: round(healthy.messagesByKind[0]!),
                stewardRepliesPerRequest: round(healthy.messagesByKind[1]!),
                proposalsPerRequest: round(healthy.messagesByKind[2]!),
            },
            baseline: {
                randomFailingWastedShare: round(baseline.wastedShare, 4),
                randomFailingAnsweredShare: round(baseline.answeredShare, 4),
            },
            targets: [
                { metric: "healthyWastedShare", bound: "at-most", value: 0.01 },
                { metric: "failingWastedShare", bound: "at-most", value: 0.05 },
                { metric: "ownMessagesPerRequest", bound: "at-most", value: 2 },
            ],
        };
    },
};

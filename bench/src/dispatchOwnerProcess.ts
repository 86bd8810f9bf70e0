/**
 * The measured process of the dispatch bench: the owner of a zone's workers, with the scheduler, the worker driver and
 * the connections to the other entries as in an entry, and nothing else.
 */

import { newSystemClock, newSystemTimers, toInstanceId, toZoneId } from "@anvilmux/common";
import type { Address, Milliseconds, Timers } from "@anvilmux/common";
import { capacityReportPeriodMs, chooseBestFit, RelayedWorkers, TaskScheduler, toWorkerId } from "@anvilmux/dispatch";
import type { ChooseWorker, JobAnswer, JobSubmitter, WorkerAnnouncement } from "@anvilmux/dispatch";
import type { FromPeer, ToPeer } from "@anvilmux/fleet";
import { ChannelChecker, Link, LinkServer } from "@anvilmux/links";
import type { LinkEnvironment, Session } from "@anvilmux/links";
import { connectHttpWorker } from "@anvilmux/platform";
import { Metrics, newLogger, newStandardOutputWriter, setLogDestination } from "@anvilmux/telemetry";
import { workerMillicores, workerService } from "./dispatchMessages";
import type { FromOwner, OwnerArguments, OwnerCost, ToProcess } from "./dispatchMessages";
import { LoopDelay } from "./LoopDelay";
import { limitProcessor } from "./processorBudget";

const zone = "eire-dub";
const fencingToken = 1;

/** Runs until the process that started this one disconnects or ends. */
export const runOwner = async (text: string): Promise<void> => {
    const { workers, relays } = JSON.parse(text) as OwnerArguments;
    const clock = newSystemClock();
    const timers = newSystemTimers();
    const writer = newStandardOutputWriter(timers);
    setLogDestination(line => writer.write(line));
    const logger = newLogger("info", { instance: toInstanceId("owner"), zone });
    const metrics = new Metrics();
    const choiceTimer = newChoiceTimer();
    const environment = { clock, timers, logger };
    const relayedWorkers = await connectRelays(relays, environment, metrics);
    const scheduler = new TaskScheduler({
        connect: relayedWorkers.connect,
        choose: choiceTimer.choose,
        getRemoteSchedulers: () => [],
        getFencingToken: () => fencingToken,
        onFenced: () => undefined,
        onOutranked: () => undefined,
        clock,
        timers,
        logger,
        metrics,
    });
    workers.forEach(([id, address]) => scheduler.setWorker(newAnnouncement(id, address)));
    timers.every(capacityReportPeriodMs, () => JSON.stringify(scheduler.getFreeCapacity()));
    const server = await listen(scheduler, environment);
    handleMessages(newCostMeter(metrics, choiceTimer), timers);
    send({ type: "listening", address: server.address });
};

/** Resolves when the connections to all relays are open. */
const connectRelays = async (
    addresses: readonly Address[],
    environment: LinkEnvironment,
    metrics: Metrics,
): Promise<RelayedWorkers> => {
    const links = new Map<string, Link<FromPeer, ToPeer>>();
    const relayedWorkers: RelayedWorkers = new RelayedWorkers({
        ...environment,
        connect: connectHttpWorker,
        getRelays: () => [...links.keys()],
        send: (relay, call) => links.get(relay)?.send({ type: "worker-call", ...call }) ?? false,
        metrics,
    });
    const checker = new ChannelChecker(environment.clock, environment.timers, () => undefined);
    await Promise.all(addresses.map(address =>
        new Promise<void>(resolve => {
            const link: Link<FromPeer, ToPeer> = new Link(environment, {
                address,
                checker,
                onOpen: () => resolve(),
                onMessage: message => {
                    if (message.type === "worker-answer") {
                        relayedWorkers.handleAnswer(message.number, message.answer);
                    }
                },
                onClose: () => relayedWorkers.handleDisconnected(address),
            });
            links.set(address, link);
        })
    ));
    return relayedWorkers;
};

interface ChoiceTimer {
    readonly choose: ChooseWorker;
    readonly getTotalMs: () => Milliseconds;
}

/** Best fit as in an entry, with the time that it takes. */
const newChoiceTimer = (): ChoiceTimer => {
    let totalMs = 0;
    return {
        choose: input => {
            const startedAt = performance.now();
            const session = chooseBestFit(input);
            totalMs += performance.now() - startedAt;
            return session;
        },
        getTotalMs: () => totalMs,
    };
};

const newAnnouncement = (id: string, address: WorkerAnnouncement["address"]): WorkerAnnouncement => ({
    id: toWorkerId(id),
    incarnation: 1,
    sequence: 1,
    service: workerService,
    address,
    zone: toZoneId(zone),
    state: "ready",
    room: { millicores: workerMillicores, memoryMebibytes: 65_536, accelerators: 0 },
});

/** Accepts the connections of the submitting entries. */
const listen = (scheduler: TaskScheduler, environment: LinkEnvironment): Promise<LinkServer<ToPeer, FromPeer>> => {
    let accepted = 0;
    return LinkServer.listen<ToPeer, FromPeer>(environment, {
        host: "127.0.0.1",
        port: 0,
        checker: new ChannelChecker(environment.clock, environment.timers, stallMs => {
            environment.logger.warn("process stalled", { stallMs: Math.round(stallMs) });
        }),
        accept: connection => {
            accepted += 1;
            return newSession(scheduler, `entry#${accepted}`, connection.send);
        },
    });
};

const newSession = (
    scheduler: TaskScheduler,
    submitterKey: string,
    reply: (message: FromPeer) => void,
): Session<ToPeer> => ({
    onMessage: message => {
        if (message.type === "submit") {
            const { request: { id }, submission } = message;
            scheduler.submit(
                message.request,
                newSubmitter(submitterKey, answer => {
                    reply({ type: "answer", id, submission, answer });
                }),
            );
        }
        else if (message.type === "cancel") {
            scheduler.cancel(message.id, submitterKey, "cancelled by its entry");
        }
    },
    onClose: () => scheduler.handleSubmitterDisconnected(submitterKey),
});

const newSubmitter = (key: string, answer: (answer: JobAnswer) => void): JobSubmitter => ({
    key,
    answer,
    announceRemoteTasks: () => false,
    announceNoRemoteTasks: () => undefined,
});

interface CostMeter {
    readonly begin: () => void;
    /** What this process used and did since `begin`. */
    readonly end: () => OwnerCost;
}

const newCostMeter = (metrics: Metrics, choiceTimer: ChoiceTimer): CostMeter => {
    const loopDelay = new LoopDelay();
    let beginAt = performance.now();
    let processorBefore = process.cpuUsage();
    let startsBefore = 0;
    let watchesBefore = 0;
    let choiceMsBefore = 0;
    const getStarts = () => metrics.getCount("anvilmux_start_orders_total");
    const getWatches = () => metrics.getCount("anvilmux_worker_looks_total");
    return {
        begin: () => {
            beginAt = performance.now();
            processorBefore = process.cpuUsage();
            startsBefore = getStarts();
            watchesBefore = getWatches();
            choiceMsBefore = choiceTimer.getTotalMs();
            loopDelay.restart();
        },
        end: () => {
            const processor = process.cpuUsage(processorBefore);
            return {
                elapsedMs: performance.now() - beginAt,
                processorMs: (processor.user + processor.system) / 1_000,
                starts: getStarts() - startsBefore,
                watches: getWatches() - watchesBefore,
                choiceMs: choiceTimer.getTotalMs() - choiceMsBefore,
                loopDelayMedianMs: loopDelay.getPercentileMs(50),
                loopDelayP99Ms: loopDelay.getPercentileMs(99),
            };
        },
    };
};

const handleMessages = (meter: CostMeter, timers: Timers): void => {
    process.on("disconnect", () => process.exit(0));
    process.on("message", (message: ToProcess) => {
        switch (message.type) {
            case "limit":
                limitProcessor(message.share, timers);
                return;
            case "begin":
                meter.begin();
                return;
            case "end":
                send({ type: "cost", cost: meter.end() });
        }
    });
};

const send = (message: FromOwner): void => void process.send?.(message);

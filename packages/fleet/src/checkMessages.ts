/**
 * Checks of messages from other instances, which may come from another program or release. Of a list of entries those
 * that cannot be used are left out; any other message that does not match its type closes the connection that it came
 * on, as nothing that follows can be trusted to mean what it says. Owners receive thousands of messages a second, so
 * the checks are plain functions, which take less time than the schema library.
 */

import { splitAddress, toAddress } from "@anvilmux/common";
import type { Address } from "@anvilmux/common";
import { isProcessorShare } from "@anvilmux/dispatch";
import type { WorkerAnnouncement } from "@anvilmux/dispatch";
import type { LinkMessage } from "@anvilmux/links";
import type { Logger } from "@anvilmux/telemetry";
import type { EntryMember, FormerOwner, ZoneOwner } from "./messages";

type Check = (value: unknown) => boolean;

const highestPort = 65_535;

const text: Check = value => typeof value === "string";
const name: Check = value => typeof value === "string" && value !== "";
const flag: Check = value => typeof value === "boolean";
const finite: Check = value => Number.isFinite(value);
const amount: Check = value => Number.isFinite(value) && (value as number) >= 0;
const whole: Check = value => Number.isSafeInteger(value) && (value as number) >= 0;
const anything: Check = () => true;

const oneOf = (...words: readonly string[]): Check => value => words.includes(value as string);
const optional = (check: Check): Check => value => value === undefined || check(value);
const either = (left: Check, right: Check): Check => value => left(value) || right(value);
const listOf = (check: Check): Check => value => Array.isArray(value) && value.every(check);
const isRecord = (value: unknown): value is Readonly<Record<string, unknown>> =>
    typeof value === "object" && Boolean(value) && !Array.isArray(value);

/** True for an object with these fields; others are not read. */
const object = (fields: Readonly<Record<string, Check>>): Check => {
    const checks = Object.entries(fields);
    return value => isRecord(value) && checks.every(([field, check]) => check(value[field]));
};

/** True for an object whose field `kind` names one of the variants, and that matches it. */
const variants = (checks: Readonly<Record<string, Check>>): Check => value =>
    isRecord(value) && typeof value["kind"] === "string" && Object.hasOwn(checks, value["kind"])
    && checks[value["kind"]]!(value);

const address: Check = value => {
    if (typeof value !== "string") {
        return false;
    }
    const { host, port } = splitAddress(toAddress(value));
    return host !== "" && Number.isInteger(port) && port >= 1 && port <= highestPort;
};

const member = object({
    id: name,
    incarnation: whole,
    zone: name,
    address,
    processorShare: optional(isProcessorShare),
});
const owner = object({ member, claim: whole });
const formerOwner = object({ zone: name, claim: whole, claimedForMs: amount, endedForMs: optional(amount) });

const resources = { millicores: amount, memoryMebibytes: amount, accelerators: amount };
const announcement = object({
    id: name,
    incarnation: whole,
    sequence: whole,
    service: text,
    address,
    zone: name,
    state: oneOf("ready", "draining", "left"),
    room: object(resources),
    coldForMs: optional(amount),
});

const request = object({
    id: name,
    queue: text,
    service: text,
    payload: text,
    tasks: listOf(object({ name, estimateMs: amount, ...resources })),
    priority: finite,
    attempts: finite,
    objectiveMs: finite,
    remainingMs: finite,
    resubmitted: flag,
    hadOtherOwner: optional(flag),
    highestClaim: optional(whole),
    mayRunElsewhere: flag,
    spilled: flag,
});

const order = { task: name, run: whole, fencingToken: whole };
const call = variants({
    start: object({ order: object({ ...order, payload: text, deadline: finite }) }),
    stop: object(order),
    watch: object({
        order: object({
            fencingToken: whole,
            lastAcknowledged: whole,
            leaseUntil: optional(finite),
            waitMs: amount,
            timeoutMs: amount,
        }),
    }),
});

const list = object({
    clock: finite,
    incarnation: whole,
    running: listOf(object({ task: name, run: whole, percent: finite })),
    completions: listOf(object({ number: whole, task: name, run: whole, how: name })),
});

const callAnswer = either(
    flag,
    variants({
        started: object({ clock: finite }),
        refused: object({ reason: name, clock: optional(finite) }),
        gone: anything,
        listed: object({ list }),
        unanswered: object({ reason: text }),
    }),
);

const jobAnswer = variants({
    completed: anything,
    failed: object({ reason: text }),
    refused: object({ reason: text, retryAfterMs: amount }),
    unknown: object({ reason: text }),
});

const submission = optional(whole);
const rows = listOf(anything);
const freeCapacity: Check = value => isRecord(value) && Object.values(value).every(listOf(finite));

/** By type of message; other types are those of later releases, which nobody reads. */
const checks: ReadonlyMap<string, Check> = new Map(Object.entries({
    "hello": object({ member, configurationIndex: whole, upForMs: optional(amount) }),
    "claim": object({ claim: whole }),
    "fetch-configuration": object({ knownIndex: whole }),
    "members": object({ members: rows, control: rows, areDrainedZonesPending: optional(flag) }),
    "owners": object({ owners: rows, former: optional(rows) }),
    "workers": object({ workers: rows }),
    "configuration-notice": object({ index: whole }),
    "drained-zones": object({ index: whole, zones: listOf(name) }),
    "configuration": object({ index: whole, envelope: text }),
    "state": object({ member, claim: whole, fitness: oneOf("unfit", "leaving", "ready"), knownWorkers: whole }),
    "owner-workers": object({ claim: whole, revision: whole, workers: rows, isCovering: flag, unknownForMs: amount }),
    "owner-workers-known": object({
        claim: whole,
        revision: whole,
        isCovered: flag,
        workers: rows,
        coveredClaim: whole,
        unknownForMs: amount,
        highestClaim: whole,
    }),
    "zone-owner": object({ id: name, zone: name }),
    "submit": object({ request, submission }),
    "away-known": object({ id: name }),
    "cancel": object({ id: name }),
    "withdraw": object({ id: name }),
    "jobs-submitted": object({ claim: whole }),
    "worker-call": object({ number: whole, worker: object({ id: name, address }), call }),
    "answer": object({ id: name, submission, answer: jobAnswer }),
    "away": object({ id: name, submission }),
    "back": object({ id: name, submission }),
    "worker-answer": object({ number: whole, answer: callAnswer }),
    "room": object({ free: freeCapacity }),
}));

/** Throws when the message does not match its type. */
export const checkMessage = (message: LinkMessage): void => {
    if (!(checks.get(message.type) ?? anything)(message)) {
        throw new Error("a field is missing or has another type");
    }
};

const newSelection = <Row>(kind: string, check: Check) => (all: readonly Row[], logger: Logger): readonly Row[] => {
    const usable = all.filter(check);
    if (usable.length < all.length) {
        logger.warn("entries that cannot be used were left out", { kind, count: all.length - usable.length });
    }
    return usable;
};

/** Those entries of a list that can be used. */
export const selectAnnouncements = newSelection<WorkerAnnouncement>("worker", announcement);
export const selectMembers = newSelection<EntryMember>("member", member);
export const selectOwners = newSelection<ZoneOwner>("owner", owner);
export const selectFormerOwners = newSelection<FormerOwner>("former owner", formerOwner);
export const selectAddresses = newSelection<Address>("address", address);

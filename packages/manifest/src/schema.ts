/** The schema of manifests, from which the JSON Schema for build pipelines is generated. */

import * as z from "zod";
import {
    defaultClaimRetentionMs,
    defaultJobDeadlineMs,
    defaultMaximumAnswerBytes,
    defaultMaximumRequestBytes,
    manifestFormat,
    maximumTasksPerJob,
} from "./constants";

const name = z.string().regex(/^[a-z][a-z0-9-]{0,62}$/, "use lower-case letters, digits and dashes, at most 63");
const queueName = z.string().min(1).max(253);
const positiveMilliseconds = z.number().positive().max(86_400_000);

export const workKindSchema = z.strictObject({
    name,
    urgent: z.boolean().default(false).describe("Urgent work goes before other work."),
    repeatable: z.boolean().default(false).describe("Repeatable work may be sent again after a failed attempt."),
    keyRequired: z.boolean().default(false).describe("Requests without an Idempotency-Key are refused."),
    deadlineMs: positiveMilliseconds.describe("Longest time a caller waits."),
    declaredRunMs: positiveMilliseconds.describe("Expected run time; learned run times replace it."),
    maximumRequestBytes: z.int().positive().max(16_777_216).default(defaultMaximumRequestBytes),
    maximumAnswerBytes: z.int().positive().max(16_777_216).default(defaultMaximumAnswerBytes),
});

export const serviceSchema = z.strictObject({
    name,
    kinds: z.array(workKindSchema).min(1),
});

export const teamSchema = z.strictObject({
    name,
    weight: z.number().positive().max(1_000).default(1).describe("Share among teams that wait at the same time."),
    maximumSlotShare: z.number().positive().max(1).default(1).describe("Largest share of a service's slots."),
    processors: z.number().positive().optional().describe("Processors that the team's jobs may use at once."),
    accelerators: z.int().nonnegative().optional().describe("Accelerators that the team's jobs may use at once."),
});

export const callerSchema = z.strictObject({
    name,
    team: name,
    tokenSha256: z.string().regex(/^[0-9a-f]{64}$/, "use the lower-case hexadecimal SHA-256 of the token"),
    services: z.array(z.strictObject({ service: name, kinds: z.array(name).optional() })).default([]),
    jobs: z.boolean().default(false),
});

export const queueSchema = z.strictObject({
    name: queueName,
    host: queueName.describe("Host name under which jobs of the queue arrive."),
    pathPrefix: z.string().startsWith("/").max(1_024).describe("The longest prefix that fits selects the queue."),
    service: queueName.describe("Service whose workers run the tasks."),
    priority: z.int().nonnegative().default(0).describe("0 goes first."),
    attempts: z.int().positive().default(1).describe("Times a task may fail until its job has failed."),
    minimumShare: z.number().positive().max(1).optional()
        .describe(
            "Share of the service's capacity that the queue is guaranteed; a part of an equal share when absent.",
        ),
    stretch: z.number().positive().default(1).describe("Wanted time of a job as a multiple of its longest task."),
    targetLatencyMs: z.number().nonnegative().max(86_400_000).default(0).describe("Added to the stretched time."),
    timeoutMs: positiveMilliseconds.describe("Longest time a caller waits when it does not say."),
});

export const manifestSchema = z.strictObject({
    format: z.literal(manifestFormat),
    version: z.int().positive(),
    services: z.array(serviceSchema).default([]),
    queues: z.array(queueSchema).default([]).describe("Queues of jobs that need not be stored."),
    droppedServices: z.array(name).default([]).describe("Services of the version before that end with this one."),
    teams: z.array(teamSchema).default([]),
    callers: z.array(callerSchema).default([]),
    jobs: z.strictObject({
        maximumTasks: z.int().positive().max(maximumTasksPerJob).default(maximumTasksPerJob),
        deadlineMs: positiveMilliseconds.default(defaultJobDeadlineMs),
        maximumTaskRunMs: positiveMilliseconds.default(defaultJobDeadlineMs),
    }).prefault({}),
    claimRetentionMs: positiveMilliseconds.default(defaultClaimRetentionMs),
});

/** The signed form in which pipelines submit a manifest. The signature covers the bytes of `manifest` as sent. */
export const envelopeSchema = z.strictObject({
    keyId: z.string().min(1).max(128),
    signature: z.base64(),
    manifest: z.string().min(2),
});

export type WorkKind = Readonly<z.infer<typeof workKindSchema>>;
export type Service = Readonly<z.infer<typeof serviceSchema>>;
export type Queue = Readonly<z.infer<typeof queueSchema>>;
export type Team = Readonly<z.infer<typeof teamSchema>>;
export type Caller = Readonly<z.infer<typeof callerSchema>>;
export type Manifest = Readonly<z.infer<typeof manifestSchema>>;
export type Envelope = Readonly<z.infer<typeof envelopeSchema>>;

/** The JSON Schema with which build pipelines validate their output. */
export const getManifestJsonSchema = (): unknown => z.toJSONSchema(manifestSchema, { io: "input" });

/** Members, their records, and announcements of instances, upstreams and workers. */

import * as z from "zod";

export const instanceStates = ["starting", "ready", "leaving"] as const;

/** An instance's own record, under the record key `instance`. */
export const instanceRecordSchema = z.object({
    zone: z.string(),
    peerAddress: z.string(),
    publicAddress: z.string(),
    entry: z.boolean(),
    control: z.boolean(),
    state: z.enum(instanceStates),
    configurationIndex: z.number(),
});

/**
 * Free minus waiting slots by service, under the record key `load`. The steward, the entry that coordinates the slots
 * of a service in its zone, publishes it for spilling: forwarding work to another zone.
 */
export const loadRecordSchema = z.record(z.string(), z.number());

/** Processors, mebibytes or accelerators. */
const resourceAmount = z.number().nonnegative().max(1_000_000_000);

/** The announcement of an upstream, sent to any entry of its zone. */
export const upstreamAnnouncementSchema = z.object({
    service: z.string().min(1).max(63),
    id: z.string().regex(/^[\w.:-]{1,128}$/, "use letters, digits, dot, dash, colon and underscore, at most 128"),
    address: z.string().regex(/^[\w.:[\]-]+:\d{1,5}$/, "use HOST:PORT"),
    slots: z.int().positive().max(10_000),
    connections: z.int().positive().max(100_000),
    /** Increases with each restart of the upstream. */
    incarnation: z.number().nonnegative(),
    leaseMs: z.number().min(200).max(600_000),
});

/** The announcement of a worker, sent to any entry of its zone. */
export const workerAnnouncementSchema = z.object({
    id: upstreamAnnouncementSchema.shape.id,
    address: upstreamAnnouncementSchema.shape.address,
    rack: z.string().min(1).max(128),
    processors: resourceAmount,
    memoryMebibytes: resourceAmount,
    accelerators: resourceAmount,
    incarnation: z.number().nonnegative(),
    leaseMs: z.number().min(200).max(600_000),
});

export type InstanceRecord = Readonly<z.infer<typeof instanceRecordSchema>>;
export type UpstreamAnnouncement = Readonly<z.infer<typeof upstreamAnnouncementSchema>>;
export type WorkerAnnouncement = Readonly<z.infer<typeof workerAnnouncementSchema>>;

/** Whether this instance considers a member to be running, by the age of its heartbeat. */
export type Liveness = "alive" | "suspect" | "dead";

/** A member, with the liveness determined by this instance. */
export interface Member extends InstanceRecord {
    readonly id: string;
    readonly incarnation: number;
    readonly liveness: Liveness;
}

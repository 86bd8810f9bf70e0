/**
 * Messages on the persistent connections between entries and control instances, between the entries of a zone and
 * between the owners of zones.
 */

import type { Address, JobId, Milliseconds } from "@anvilmux/common";
import type {
    Fitness,
    FreeCapacity,
    JobAnswer,
    JobRequest,
    NumberedWorkerCall,
    WorkerAnnouncement,
    WorkerCallAnswer,
} from "@anvilmux/dispatch";
import type { WorkersAcknowledgement, WorkersNotice } from "./workerNotices";

/** The identity of an entry as announced to others. */
export interface EntryMember {
    readonly id: string;
    /** Wall time of its start; a higher incarnation replaces a lower one. */
    readonly incarnation: number;
    readonly zone: string;
    /** Address on which it accepts connections from other entries. */
    readonly address: Address;
    /** Processors that it may use; absent where they are unknown, and in earlier releases. */
    readonly processorShare?: number;
}

/** An entry that claims the workers of its zone. */
export interface ZoneOwner {
    readonly member: EntryMember;
    readonly claim: number;
}

/** The latest owner that a zone had before, as far as a control instance knows. */
export interface FormerOwner {
    readonly zone: string;
    readonly claim: number;
    /** Time since control heard of the claim; runs of still earlier owners may have gone on then. */
    readonly claimedForMs: Milliseconds;
    /** Time for which its process had certainly ended, or had given its claim up; absent when it may go on. */
    readonly endedForMs?: Milliseconds;
}

export type ToControl =
    | {
        readonly type: "hello";
        readonly member: EntryMember;
        readonly configurationIndex: number;
        /** Time since the entry's process began; absent in earlier releases. */
        readonly upForMs?: Milliseconds;
    }
    /** The entry's ownership claim on the workers of its zone; 0 means none. */
    | { readonly type: "claim"; readonly claim: number; }
    | { readonly type: "fetch-configuration"; readonly knownIndex: number; };

export type FromControl =
    /** The entries of the zone that are connected to this control instance, and the known control addresses. */
    | {
        readonly type: "members";
        readonly members: readonly EntryMember[];
        readonly control: readonly Address[];
        /** True while this control instance cannot tell the drained zones yet, but will; absent otherwise. */
        readonly areDrainedZonesPending?: boolean;
    }
    /**
     * The owners of all zones that are connected to this control instance, and those before; absent in earlier
     * releases.
     */
    | { readonly type: "owners"; readonly owners: readonly ZoneOwner[]; readonly former?: readonly FormerOwner[]; }
    | { readonly type: "configuration-notice"; readonly index: number; }
    | { readonly type: "configuration"; readonly index: number; readonly envelope: string; }
    | { readonly type: "workers"; readonly workers: readonly WorkerAnnouncement[]; }
    /**
     * The drained zones as of a log index; the first message after `hello`. Earlier releases neither send nor read it.
     */
    | { readonly type: "drained-zones"; readonly index: number; readonly zones: readonly string[]; };

/** Messages on the connection between two entries of a zone, whichever of them opened it. */
export type PeerMessage = ToPeer | FromPeer;

/** Messages to an entry of the zone, or to the owner of another zone. */
export type ToPeer =
    | {
        readonly type: "state";
        readonly member: EntryMember;
        readonly claim: number;
        readonly fitness: Fitness;
        /** Number of workers that the sender knows, so that the one that knows more sends its own. */
        readonly knownWorkers: number;
    }
    /** The zone's workers known to the sender, for an entry that knows fewer. */
    | { readonly type: "workers"; readonly workers: readonly WorkerAnnouncement[]; }
    /** From the owner of the zone's workers, to an entry that may take its place; earlier releases do not read it. */
    | { readonly type: "owner-workers"; } & WorkersNotice
    | { readonly type: "owner-workers-known"; } & WorkersAcknowledgement
    /** First message on a connection between the owners of two zones. */
    | { readonly type: "zone-owner"; readonly id: string; readonly zone: string; }
    /**
     * Messages to the sender about this job carry the number `submission`, which the sender never uses again; a sender
     * of an earlier release gives none.
     */
    | { readonly type: "submit"; readonly request: JobRequest; readonly submission?: number; }
    /** The submitter acknowledges that tasks of its job may run in other zones. */
    | { readonly type: "away-known"; readonly id: JobId; }
    | { readonly type: "cancel"; readonly id: JobId; }
    /** The job goes to another owner; its runs go on, and no more of its tasks are started. */
    | { readonly type: "withdraw"; readonly id: JobId; }
    /**
     * All jobs of the sender are submitted to the receiver, whose claim on the workers this is; earlier releases neither send
     * nor read it.
     */
    | { readonly type: "jobs-submitted"; readonly claim: number; }
    /** A call to a worker that the receiver makes for the sender, the owner of the zone's workers. */
    | { readonly type: "worker-call"; } & NumberedWorkerCall;

/** Messages to the entry that submitted a job or asked for a call. */
export type FromPeer =
    | { readonly type: "answer"; readonly id: JobId; readonly submission?: number; readonly answer: JobAnswer; }
    /** Tasks of the job will be forwarded to another zone once the submitter has acknowledged with `away-known`. */
    | { readonly type: "away"; readonly id: JobId; readonly submission?: number; }
    /** No task of the job is in another zone any longer. */
    | { readonly type: "back"; readonly id: JobId; readonly submission?: number; }
    | { readonly type: "worker-answer"; readonly number: number; readonly answer: WorkerCallAnswer; }
    /** The free capacity of the sender's zone; sent only to owners of other zones. */
    | { readonly type: "room"; readonly free: FreeCapacity; };

/** Messages on the held connections between entries and control, and between the entries of a zone. */

import type { Address, JobId } from "@anvilmux/common";
import type { Fitness, FreeRoom, JobAnswer, JobRequest, WorkerAnnouncement } from "@anvilmux/dispatch";

/** An entry as others know it. */
export interface EntryMember {
    readonly id: string;
    /** Wall time of its start; a later life replaces an earlier one. */
    readonly incarnation: number;
    readonly zone: string;
    /** Where it listens for other entries of its zone. */
    readonly address: Address;
}

/** An entry that claims the workers of its zone. */
export interface ZoneOwner {
    readonly member: EntryMember;
    readonly claim: number;
}

export type ToControl =
    | { readonly type: "hello"; readonly member: EntryMember; readonly configurationIndex: number; }
    /** The entry's claim to the workers of its zone; 0 is none. */
    | { readonly type: "claim"; readonly claim: number; }
    | { readonly type: "fetch-configuration"; readonly knownIndex: number; };

export type FromControl =
    /** The entries of the zone that this control instance hears. */
    | { readonly type: "members"; readonly members: readonly EntryMember[]; readonly control: readonly Address[]; }
    /** The owners of all zones that this control instance hears. */
    | { readonly type: "owners"; readonly owners: readonly ZoneOwner[]; }
    | { readonly type: "configuration-notice"; readonly index: number; }
    | { readonly type: "configuration"; readonly index: number; readonly envelope: string; }
    | { readonly type: "workers"; readonly workers: readonly WorkerAnnouncement[]; };

/** From the entry that made the connection. */
export type ToPeer =
    | {
        readonly type: "state";
        readonly id: string;
        readonly incarnation: number;
        readonly claim: number;
        readonly fitness: Fitness;
    }
    /** What the entry knows of the zone's workers, for an entry that has just started. */
    | { readonly type: "workers"; readonly workers: readonly WorkerAnnouncement[]; }
    /** Opens a connection between the owners of two zones. */
    | { readonly type: "zone-owner"; readonly id: string; readonly zone: string; }
    | { readonly type: "submit"; readonly request: JobRequest; }
    /** The home knows that tasks of its job may go to other zones. */
    | { readonly type: "away-known"; readonly id: JobId; }
    | { readonly type: "cancel"; readonly id: JobId; };

/** Back to the entry that made the connection. */
export type FromPeer =
    | { readonly type: "answer"; readonly id: JobId; readonly answer: JobAnswer; }
    /** Tasks of the job are to be handed to another zone, once the home has answered that it knows. */
    | { readonly type: "away"; readonly id: JobId; }
    /** No task of the job is in another zone any more. */
    | { readonly type: "back"; readonly id: JobId; }
    /** To owners of other zones only. */
    | { readonly type: "room"; readonly free: FreeRoom; };

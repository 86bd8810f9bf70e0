/** Messages on the held connections between entries and control, and between the entries of a zone. */

import type { Address, JobId } from "@anvilmux/common";
import type { JobAnswer, JobRequest, WorkerAnnouncement } from "@anvilmux/dispatch";

/** An entry as others know it. */
export interface EntryMember {
    readonly id: string;
    /** Wall time of its start; a later life replaces an earlier one. */
    readonly incarnation: number;
    readonly zone: string;
    /** Where it listens for other entries of its zone. */
    readonly address: Address;
}

export type ToControl =
    | { readonly type: "hello"; readonly member: EntryMember; readonly configurationIndex: number; }
    | { readonly type: "fetch-configuration"; readonly knownIndex: number; };

export type FromControl =
    /** The entries of the zone that this control instance hears. */
    | { readonly type: "members"; readonly members: readonly EntryMember[]; readonly control: readonly Address[]; }
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
        readonly eligible: boolean;
    }
    | { readonly type: "submit"; readonly request: JobRequest; }
    | { readonly type: "cancel"; readonly id: JobId; };

/** Back to the entry that made the connection. */
export type FromPeer = { readonly type: "answer"; readonly id: JobId; readonly answer: JobAnswer; };

/**
 * The steward's side of one entry's stream. The steward is the entry that coordinates the slots of a service in its
 * zone. A session receives slot requests and releases, and replies with grants and refusals.
 */

import { atTurnEnd, newRandomId, toGrantId } from "@anvilmux/common";
import type { HeldGrant, SlotRequest, StewardHello, StewardReply, StewardRequest } from "@anvilmux/protocol";
import { StewardReplySchema } from "@anvilmux/protocol";
import { create } from "@bufbuild/protobuf";
import { newMessageQueue } from "./messageQueue";
import type { SlotScheduler } from "./SlotScheduler";
import { toAcquireRequest, toGrantMessage, toHeldSlot, toOutcomeName, toRefusalMessage } from "./stewardMessages";
import type { AcquireRequest } from "./stewardMessages";
import type { SlotDecision, WaitingRequest } from "./types";

export interface StewardSessionOptions {
    readonly scheduler: SlotScheduler;
    /** Adds timestamps from the scheduler's clock and learned run times to a request. */
    readonly toWaitingRequest: (request: AcquireRequest, id: string, entryId: string) => WaitingRequest;
    readonly isLong: (kind: string) => boolean;
    /** Called for each message sent. */
    readonly onMessage: () => void;
}

export class StewardSession {
    private readonly replies = newMessageQueue<StewardReply>();
    private batch: StewardReply | undefined;
    private ended = false;
    private readonly id = newRandomId();

    constructor(readonly hello: StewardHello, private readonly options: StewardSessionOptions) {
        options.scheduler.keepOnly(hello.entryId, new Set(hello.heldGrants.map(grant => grant.grantId)));
        hello.heldGrants.forEach(grant => this.adopt(grant));
    }

    /** Processes the entry's messages until the stream ends, and yields replies as decisions are made. */
    async *run(requests: AsyncIterator<StewardRequest>): AsyncIterable<StewardReply> {
        yield create(StewardReplySchema, { accepted: true });
        void this.readAll(requests);
        yield* this.replies;
    }

    /** Ends the stream, so that the entry requests its slots from the current steward. */
    end(): void {
        this.ended = true;
        this.replies.end();
    }

    private async readAll(requests: AsyncIterator<StewardRequest>): Promise<void> {
        const waiting = new Set<string>();
        try {
            for (let next = await requests.next(); !next.done; next = await requests.next()) {
                this.receive(next.value, waiting);
            }
        }
        catch {
            // The stream failed; the entry opens a new one.
        }
        waiting.forEach(id => this.options.scheduler.cancel(id));
        this.end();
    }

    private receive(message: StewardRequest, waiting: Set<string>): void {
        const { scheduler } = this.options;
        message.releases.forEach(release =>
            scheduler.release(toGrantId(release.grantId), toOutcomeName(release.outcome), release.runMs)
        );
        message.cancelled.forEach(sequence => scheduler.cancel(this.getId(sequence)));
        message.requests.forEach(request => this.requestSlot(request, waiting));
    }

    private requestSlot(request: SlotRequest, waiting: Set<string>): void {
        const id = this.getId(request.sequence);
        waiting.add(id);
        const waitingRequest = this.options.toWaitingRequest(toAcquireRequest(request), id, this.hello.entryId);
        this.options.scheduler.request(waitingRequest, decision => {
            waiting.delete(id);
            this.reply(request.sequence, decision);
        });
    }

    private reply(sequence: bigint, decision: SlotDecision): void {
        if (this.ended) {
            if (decision.granted) {
                this.options.scheduler.release(decision.grantId, "unused", 0);
            }
            return;
        }
        const batch = this.getBatch();
        if (decision.granted) {
            batch.grants.push(toGrantMessage(sequence, decision));
        }
        else {
            batch.refusals.push(toRefusalMessage(sequence, decision));
        }
    }

    private getBatch(): StewardReply {
        if (!this.batch) {
            this.batch = create(StewardReplySchema);
            atTurnEnd(() => this.flush());
        }
        return this.batch;
    }

    private flush(): void {
        if (this.batch) {
            this.options.onMessage();
            this.replies.push(this.batch);
        }
        this.batch = undefined;
    }

    private adopt(grant: HeldGrant): void {
        const slot = toHeldSlot(grant, this.hello.entryId, this.options.isLong(grant.workKind));
        this.options.scheduler.adopt(toGrantId(grant.grantId), slot);
    }

    private getId(sequence: bigint): string {
        return `${this.id}/${sequence}`;
    }
}

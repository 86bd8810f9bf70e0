/**
 * Handles the messages of other entries: jobs that they submit while this entry owns the workers, calls to workers that this
 * entry makes for the owner, and the answers to this entry's own jobs and calls.
 */

import type { JobAnswer, PendingJobs, RelayedWorkers, TaskScheduler, WorkerRelay } from "@anvilmux/dispatch";
import type { JobHandover, PeerConnection, PeerMessage, WorkerReplication } from "@anvilmux/fleet";

export interface EntryMessagesOptions {
    /** Undefined while another entry owns the workers. */
    readonly getScheduler: () => TaskScheduler | undefined;
    readonly pendingJobs: PendingJobs;
    readonly relay: WorkerRelay;
    readonly relayedWorkers: RelayedWorkers;
    readonly replication: WorkerReplication;
    readonly handover: JobHandover;
}

type Submit = Extract<PeerMessage, { type: "submit"; }>;

export class EntryMessages {
    constructor(private readonly options: EntryMessagesOptions) {}

    /** `peerId` is undefined for the owner of another zone, which only submits jobs. */
    handle(message: PeerMessage, connection: PeerConnection, peerId: string | undefined): void {
        const { getScheduler, relayedWorkers } = this.options;
        const { submitterKey } = connection;
        switch (message.type) {
            case "submit":
                this.handleSubmit(message, connection);
                return;
            case "away-known":
                getScheduler()?.handleRemoteAcknowledgement(message.id, submitterKey);
                return;
            case "cancel":
                getScheduler()?.cancel(message.id, submitterKey, "cancelled by its entry");
                return;
            case "withdraw":
                getScheduler()?.withdraw(message.id, submitterKey);
                return;
            case "worker-call":
                this.handleWorkerCall(message, connection);
                return;
            case "worker-answer":
                relayedWorkers.handleAnswer(message.number, message.answer);
                return;
            default:
                this.handleOwnerMessage(message, connection, peerId);
        }
    }

    private handleSubmit({ request, submission }: Submit, connection: PeerConnection): void {
        const { id } = request;
        const { send, submitterKey, whenPeerPresent } = connection;
        const answer = (jobAnswer: JobAnswer) => send({ type: "answer", id, submission, answer: jobAnswer });
        const scheduler = this.options.getScheduler();
        if (scheduler) {
            scheduler.submit(request, {
                key: submitterKey,
                answer,
                whenPresent: whenPeerPresent,
                announceRemoteTasks: () => {
                    send({ type: "away", id, submission });
                    return false;
                },
                announceNoRemoteTasks: () => send({ type: "back", id, submission }),
            });
        }
        else if (request.spilled) {
            answer({ kind: "refused", reason: "this entry owns no workers", retryAfterMs: 0 });
        }
        // Otherwise the submitter is an entry of this zone, which submits the job again to the next owner.
    }

    private handleWorkerCall(
        call: Extract<PeerMessage, { type: "worker-call"; }>,
        { send }: PeerConnection,
    ): void {
        const { number } = call;
        void this.options.relay.handle(call, answer => send({ type: "worker-answer", number, answer }));
    }

    /** Handles what the owner reports, and what other entries tell it of the workers. */
    private handleOwnerMessage(message: PeerMessage, connection: PeerConnection, peerId: string | undefined): void {
        const { pendingJobs, replication, handover } = this.options;
        if (peerId === undefined) {
            return;
        }
        switch (message.type) {
            case "owner-workers":
                replication.handleNotice(peerId, message, connection);
                return;
            case "owner-workers-known":
                replication.handleAcknowledgement(peerId, message);
                return;
            case "jobs-submitted":
                handover.handleSubmitted(peerId, message.claim);
                return;
            case "answer":
                pendingJobs.handleAnswer(peerId, message.id, message.answer, message.submission);
                return;
            case "away":
                if (pendingJobs.markRemoteTasks(peerId, message.id, true, message.submission)) {
                    connection.send({ type: "away-known", id: message.id });
                }
                return;
            case "back":
                pendingJobs.markRemoteTasks(peerId, message.id, false, message.submission);
        }
    }
}

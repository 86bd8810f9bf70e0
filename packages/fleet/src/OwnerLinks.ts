/** The connections of a zone's owner to the owners of the other zones, over which tasks are forwarded to them. */

import type { JobId } from "@anvilmux/common";
import type { FreeCapacity, JobAnswer, RemoteScheduler } from "@anvilmux/dispatch";
import { Link } from "@anvilmux/links";
import type { ChannelChecker, LinkEnvironment } from "@anvilmux/links";
import { checkMessage } from "./checkMessages";
import type { EntryMember, FromPeer, ToPeer, ZoneOwner } from "./messages";

export interface OwnerLinksOptions {
    readonly self: EntryMember;
    readonly checker: ChannelChecker;
    readonly environment: LinkEnvironment;
    readonly onAnswer: (zone: string, id: JobId, answer: JobAnswer, submission: number | undefined) => void;
    readonly onOwnerDisconnected: (zone: string) => void;
    /** True while tasks of this zone are in another zone, or the reverse. */
    readonly hasRemoteTasks: () => boolean;
}

interface RemoteOwner {
    owner: ZoneOwner;
    readonly link: Link<FromPeer, ToPeer>;
    /** As reported on the present connection; none before, as nobody may be there to take tasks. */
    free: FreeCapacity;
}

export class OwnerLinks {
    private readonly remotes = new Map<string, RemoteOwner>();

    constructor(private readonly options: OwnerLinksOptions) {}

    stop(): void {
        [...this.remotes.keys()].forEach(zone => this.remove(zone));
    }

    /** Connects to the owner of each other zone; of several owners, to the one with the highest ownership claim. */
    handleOwners(owners: readonly ZoneOwner[]): void {
        for (const owner of owners) {
            const { zone, address, incarnation } = owner.member;
            const present = this.remotes.get(zone);
            if (zone === this.options.self.zone || (present && present.owner.claim >= owner.claim)) {
                continue;
            }
            if (present?.owner.member.address === address && present.owner.member.incarnation === incarnation) {
                present.owner = owner;
                continue;
            }
            this.remove(zone);
            this.add(owner);
        }
    }

    /** The schedulers of the connected owners, the one with the most free processor capacity first. */
    getRemoteSchedulers(): readonly RemoteScheduler[] {
        return [...this.remotes]
            .filter(([, remote]) => remote.link.isOpen)
            .map(([zone, remote]) => toRemoteScheduler(zone, remote))
            .sort((left, right) => getTotalMillicores(right.free) - getTotalMillicores(left.free));
    }

    private add(owner: ZoneOwner): void {
        const { environment, checker, self } = this.options;
        const { zone, address } = owner.member;
        const link: Link<FromPeer, ToPeer> = new Link(environment, {
            address,
            checker,
            onOpen: () => {
                environment.logger.info("owner of another zone connected", { toZone: zone, owner: owner.member.id });
                link.send({ type: "zone-owner", id: self.id, zone: self.zone });
            },
            onMessage: message => this.receive(zone, message),
            isUrgent: this.options.hasRemoteTasks,
            onClose: reason => {
                remote.free = {};
                environment.logger.warn("owner of another zone disconnected", { toZone: zone, reason });
                this.options.onOwnerDisconnected(zone);
            },
        });
        const remote: RemoteOwner = { owner, link, free: {} };
        this.remotes.set(zone, remote);
    }

    private receive(zone: string, message: FromPeer): void {
        checkMessage(message);
        const remote = this.remotes.get(zone);
        if (message.type === "answer") {
            if (message.answer.kind === "refused" && remote) {
                // The last capacity report was out of date; assume no free capacity until the next one.
                remote.free = {};
            }
            this.options.onAnswer(zone, message.id, message.answer, message.submission);
        }
        else if (message.type === "room" && remote) {
            remote.free = message.free;
        }
    }

    private remove(zone: string): void {
        this.remotes.get(zone)?.link.stop();
        this.remotes.delete(zone);
    }
}

const toRemoteScheduler = (zone: string, remote: RemoteOwner): RemoteScheduler => ({
    zone,
    free: remote.free,
    submit: (request, submission, freeAfter) => {
        remote.free = freeAfter;
        return remote.link.send({ type: "submit", request, submission });
    },
    cancel: id => void remote.link.send({ type: "cancel", id }),
});

const getTotalMillicores = (free: FreeCapacity): number =>
    Object.values(free).flat().reduce((sum, millicores) => sum + millicores, 0);

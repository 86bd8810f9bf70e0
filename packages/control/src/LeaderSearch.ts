/** Finds the leader of the control group among its instances: asks the known one first and follows their hints. */

import { getErrorMessage, sleep, toAddress } from "@anvilmux/common";
import type { Address, Clock, Timers } from "@anvilmux/common";
import { proposalTimeoutMs } from "./constants";
import { ControlError } from "./errors";

export interface LeaderSearchOptions {
    /** Addresses of control instances from settings and membership. */
    readonly getControlAddresses: () => readonly Address[];
    /** The leader known to the replica in this process; undefined without a replica or a known leader. */
    readonly getKnownLeader?: () => Address | undefined;
    readonly clock: Clock;
    readonly timers: Timers;
}

/** An instance's answer; `leaderHint` is the address of the leader that it knows, or empty. */
export interface InstanceAnswer<T> {
    readonly reply: T;
    readonly notLeader: boolean;
    readonly leaderHint: string;
}

type AskInstance<T> = (address: Address) => Promise<InstanceAnswer<T>>;

/** The progress of one search. */
interface Search {
    /** Instances that failed or did not lead in this search. */
    readonly passedOver: Set<Address>;
    readonly askedSincePause: Set<Address>;
    hint: Address | undefined;
    reason: string;
}

const retryDelayMs = 60;

export class LeaderSearch {
    private leader: Address | undefined;
    /** The address that failed or did not lead last; not assumed to be the leader until some call succeeds. */
    private failedAddress: Address | undefined;
    private nextAddressPosition = 0;

    constructor(private readonly options: LeaderSearchOptions) {}

    /** The leader's reply; rejects with `no-quorum` when none replied within the proposal timeout. */
    async ask<T>(askInstance: AskInstance<T>): Promise<T> {
        const { clock, timers } = this.options;
        const deadline = clock.now() + proposalTimeoutMs;
        const search: Search = {
            passedOver: new Set(),
            askedSincePause: new Set(),
            hint: undefined,
            reason: "no control instance is known",
        };
        while (clock.now() < deadline) {
            const answer = await this.askNext(askInstance, search);
            if (answer) {
                return answer.reply;
            }
            // Two instances that name each other are not asked in turn without a pause.
            if (search.hint === undefined || search.askedSincePause.has(search.hint)) {
                search.hint = undefined;
                search.askedSincePause.clear();
                await sleep(timers, retryDelayMs);
            }
        }
        throw new ControlError("no-quorum", `no leader of the control group answered in time (${search.reason})`);
    }

    /** Asks one instance; undefined when it is not the leader, whose address may then be known from its hint. */
    private async askNext<T>(askInstance: AskInstance<T>, search: Search): Promise<InstanceAnswer<T> | undefined> {
        const address = search.hint ?? this.pickAddress(search.passedOver);
        search.hint = undefined;
        if (!address) {
            return undefined;
        }
        search.askedSincePause.add(address);
        try {
            const answer = await askInstance(address);
            if (!answer.notLeader) {
                this.leader = address;
                this.failedAddress = undefined;
                return answer;
            }
            search.reason = `${address} does not lead`;
            search.hint = answer.leaderHint === "" ? undefined : toAddress(answer.leaderHint);
        }
        catch (error) {
            search.reason = getErrorMessage(error);
        }
        this.leader = undefined;
        this.failedAddress = address;
        search.passedOver.add(address);
        return undefined;
    }

    /** The known leader unless it was passed over, as the local replica may be behind; otherwise each instance in turn. */
    private pickAddress(passedOver: ReadonlySet<Address>): Address | undefined {
        const known = this.options.getKnownLeader?.() ?? this.leader;
        if (known && known !== this.failedAddress && !passedOver.has(known)) {
            return known;
        }
        const addresses = this.options.getControlAddresses();
        return addresses[this.nextAddressPosition++ % addresses.length];
    }
}

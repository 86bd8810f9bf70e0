/** The client of the control group finds the leader, also when the leader it knew is stalled. */

import { toAddress, VirtualTime } from "@anvilmux/common";
import type { Address } from "@anvilmux/common";
import { ControlClient } from "@anvilmux/control";
import { CommandResultSchema, ProposeReplySchema } from "@anvilmux/protocol";
import type { ConsensusClient } from "@anvilmux/transport";
import { create } from "@bufbuild/protobuf";

const stalledLeader = toAddress("10.0.0.1:1");
const newLeader = toAddress("10.0.0.2:1");

const newClient = (time: VirtualTime, getKnownLeader?: () => Address | undefined) => {
    const contacted: Address[] = [];
    let isStalled = false;
    const connect = (address: Address): ConsensusClient =>
        ({
            propose: async (_request: unknown, options: { readonly timeoutMs: number; }) => {
                contacted.push(address);
                if (address === stalledLeader && isStalled) {
                    await new Promise<void>(resolve => time.after(options.timeoutMs, resolve));
                    throw new Error("no reply in time");
                }
                const results = [create(CommandResultSchema, { accepted: true, index: 1n })];
                return create(ProposeReplySchema, { results });
            },
        }) as unknown as ConsensusClient;
    const client = new ControlClient({
        getControlAddresses: () => [stalledLeader, newLeader],
        ...getKnownLeader ? { getKnownLeader } : {},
        connect,
        clock: time,
        timers: time,
        onMessage: () => undefined,
    });
    return { client, contacted, stallLeader: () => isStalled = true };
};

test("a stalled leader delays a command by less than an operator's request timeout", async () => {
    const time = new VirtualTime();
    const { client, stallLeader } = newClient(time);
    const first = client.submitManifest("{}");
    await time.advance(10);
    await first;
    stallLeader();
    let accepted = false;
    void client.submitManifest("{}").then(result => accepted = result.accepted);
    await time.advance(900);
    expect(accepted).toBe(true);
});

test("the leader known to the local replica takes precedence over the one that replied last", async () => {
    const time = new VirtualTime();
    let known = stalledLeader;
    const { client, contacted, stallLeader } = newClient(time, () => known);
    const first = client.submitManifest("{}");
    await time.advance(10);
    await first;
    stallLeader();
    known = newLeader;
    const second = client.submitManifest("{}");
    await time.advance(10);
    await second;
    expect(contacted).toEqual([stalledLeader, newLeader]);
});

describe("a replica that is behind", () => {
    const thirdInstance = toAddress("10.0.0.3:1");

    /** A client beside a replica that takes `stalledLeader` for the leader; hints by the instance that gives them. */
    const newMisledClient = (time: VirtualTime, hints: ReadonlyMap<Address, Address>, leader: Address) => {
        const contacted: Address[] = [];
        const connect = (address: Address): ConsensusClient =>
            ({
                propose: async () => {
                    contacted.push(address);
                    if (address === leader) {
                        const results = [create(CommandResultSchema, { accepted: true, index: 1n })];
                        return create(ProposeReplySchema, { results });
                    }
                    return create(ProposeReplySchema, { notLeader: true, leaderHint: hints.get(address) ?? "" });
                },
            }) as unknown as ConsensusClient;
        const client = new ControlClient({
            getControlAddresses: () => [stalledLeader, newLeader, thirdInstance],
            getKnownLeader: () => stalledLeader,
            connect,
            clock: time,
            timers: time,
            onMessage: () => undefined,
        });
        return { client, contacted };
    };

    const submit = async (time: VirtualTime, client: ControlClient): Promise<boolean> => {
        let accepted = false;
        client.submitManifest("{}").then(result => accepted = result.accepted, () => undefined);
        await time.advance(900);
        return accepted;
    };

    test("asks a former leader again and again although that names the present one", async () => {
        const time = new VirtualTime();
        const { client, contacted } = newMisledClient(time, new Map([[stalledLeader, newLeader]]), newLeader);
        expect([await submit(time, client), contacted]).toEqual([true, [stalledLeader, newLeader]]);
    });

    test("asks a former leader again and again that names nobody", async () => {
        const time = new VirtualTime();
        const { client } = newMisledClient(time, new Map(), thirdInstance);
        expect(await submit(time, client)).toBe(true);
    });

    test("goes back and forth between two instances that name each other", async () => {
        const time = new VirtualTime();
        const hints = new Map([[stalledLeader, newLeader], [newLeader, stalledLeader]]);
        const { client, contacted } = newMisledClient(time, hints, thirdInstance);
        expect(await submit(time, client)).toBe(true);
        expect(contacted.length).toBeLessThan(12);
    });
});

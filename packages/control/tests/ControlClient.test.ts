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

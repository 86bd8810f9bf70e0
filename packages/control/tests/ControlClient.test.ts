/** The client of the control group finds the leader, also when the one it knew stands still. */

import { toAddress, VirtualTime } from "@anvilmux/common";
import type { Address } from "@anvilmux/common";
import { ControlClient } from "@anvilmux/control";
import { CommandResultSchema, ProposeReplySchema } from "@anvilmux/protocol";
import type { ConsensusClient } from "@anvilmux/transport";
import { create } from "@bufbuild/protobuf";

const frozen = toAddress("10.0.0.1:1");
const leading = toAddress("10.0.0.2:1");

const newClient = (time: VirtualTime, getKnownLeader?: () => Address | undefined) => {
    const asked: Address[] = [];
    let isFrozen = false;
    const connect = (address: Address): ConsensusClient =>
        ({
            propose: async (_request: unknown, options: { readonly timeoutMs: number; }) => {
                asked.push(address);
                if (address === frozen && isFrozen) {
                    await new Promise<void>(resolve => time.after(options.timeoutMs, resolve));
                    throw new Error("no answer in time");
                }
                const results = [create(CommandResultSchema, { accepted: true, index: 1n })];
                return create(ProposeReplySchema, { results });
            },
        }) as unknown as ConsensusClient;
    const client = new ControlClient({
        getControlAddresses: () => [frozen, leading],
        ...getKnownLeader ? { getKnownLeader } : {},
        connect,
        clock: time,
        timers: time,
        onMessage: () => undefined,
    });
    return { client, asked, freeze: () => isFrozen = true };
};

test("a leader that stands still costs less than an operator's patience", async () => {
    const time = new VirtualTime();
    const { client, freeze } = newClient(time);
    const first = client.submitManifest("{}");
    await time.advance(10);
    await first;
    freeze();
    let accepted = false;
    void client.submitManifest("{}").then(result => accepted = result.accepted);
    await time.advance(900);
    expect(accepted).toBe(true);
});

test("what the own replica knows of the leader goes before what was learned earlier", async () => {
    const time = new VirtualTime();
    let known = frozen;
    const { client, asked, freeze } = newClient(time, () => known);
    const first = client.submitManifest("{}");
    await time.advance(10);
    await first;
    freeze();
    known = leading;
    const second = client.submitManifest("{}");
    await time.advance(10);
    await second;
    expect(asked).toEqual([frozen, leading]);
});

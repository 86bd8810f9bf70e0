/** Steps of `features/control-group.feature`: the real replicas on virtual time over fakes at their interfaces. */

import { ManifestCommandSchema } from "@anvilmux/protocol";
import type { CommandResult } from "@anvilmux/protocol";
import { CommandSchema } from "@anvilmux/protocol";
import { create } from "@bufbuild/protobuf";
import { autoBindSteps, loadFeature } from "jest-cucumber";
import type { StepDefinitions } from "jest-cucumber";
import { ReplicaGroup } from "../../packages/control/tests/ReplicaGroup";

const seed = 7;
const attempts = 40;

interface World {
    group: ReplicaGroup;
    results: CommandResult[];
    isolated: number;
    stopped: number;
}

const world: World = { group: new ReplicaGroup(seed, 3), results: [], isolated: -1, stopped: -1 };

const newManifestCommand = (version: number, note = 1) => {
    const manifest = JSON.stringify({ format: 1, version, claimRetentionMs: note * 1_000 });
    const envelope = JSON.stringify({ keyId: "key", signature: "AAAA", manifest });
    return create(CommandSchema, {
        kind: { case: "manifest", value: create(ManifestCommandSchema, { envelope: Buffer.from(envelope) }) },
    });
};

/** Submits until a leader answers, as the control client does. */
const release = async (version: number, note = 1): Promise<CommandResult> => {
    for (let attempt = 0; attempt < attempts; attempt++) {
        let result: CommandResult | undefined;
        const leader = world.group.nodes.find(node =>
            node.replica?.role === "leader" && node.number !== world.isolated
        );
        leader?.replica!.propose([newManifestCommand(version, note)])[0]!.then(
            answer => result = answer,
            () => undefined,
        );
        for (let wait = 0; wait < 12 && !result; wait++) {
            await world.group.advance(100);
        }
        if (result) {
            return result;
        }
    }
    throw new Error(`manifest ${version} got no answer`);
};

const getVersion = (number: number): number =>
    world.group.nodes[number]!.replica?.state.manifest?.manifest.version ?? 0;

const getRunning = (): readonly number[] => world.group.nodes.filter(node => node.replica).map(node => node.number);

const expectInForce = async (numbers: readonly number[], version: number, seconds: number): Promise<void> => {
    await world.group.advance(seconds * 1_000);
    expect(numbers.map(getVersion)).toEqual(numbers.map(() => version));
    expect(world.group.violations).toEqual([]);
};

const pickFollower = (): number => {
    const followers = getRunning().filter(number => number !== world.group.leader?.number);
    return followers[0]!;
};

const steps: StepDefinitions = ({ given, when, then }) => {
    given(/^a control group of (\d+) replicas with manifest 1 in force$/, async (size: string) => {
        world.group = new ReplicaGroup(seed, Number(size));
        world.results = [];
        world.isolated = -1;
        await world.group.start();
        await release(1);
        await world.group.advance(2_000);
    });

    when(/^the leader is cut off for (\d+) seconds$/, async (seconds: string) => {
        world.isolated = world.group.leader!.number;
        world.group.isolate(world.isolated);
        await world.group.advance(Number(seconds) * 1_000);
    });

    when(/^manifest (\d+) is released(?: during that time| late| again)?$/, async (version: string) => {
        world.results.push(await release(Number(version)));
    });

    then("the isolated replica confirms no reads", async () => {
        let confirmed: boolean | undefined;
        world.group.nodes[world.isolated]!.replica!.confirmLeadership().then(result => confirmed = result);
        await world.group.advance(5_000);
        expect(confirmed).toBe(false);
        expect(getVersion(world.isolated)).toBe(1);
    });

    when("the cut heals", () => {
        world.group.heal();
        world.isolated = -1;
    });

    then(
        /^every replica has manifest (\d+) in force within (\d+) seconds$/,
        async (version: string, seconds: string) => {
            await expectInForce(world.group.nodes.map(node => node.number), Number(version), Number(seconds));
        },
    );

    then(
        /^every running replica has manifest (\d+) in force within (\d+) seconds$/,
        async (version: string, seconds: string) => {
            await expectInForce(getRunning(), Number(version), Number(seconds));
        },
    );

    then(
        /^every running replica that knows a configuration has manifest (\d+) in force within (\d+) seconds$/,
        async (version: string, seconds: string) => {
            await world.group.advance(Number(seconds) * 1_000);
            const versions = getRunning().map(getVersion).filter(known => known > 0);
            expect(versions.length).toBeGreaterThanOrEqual(2);
            expect(new Set(versions)).toEqual(new Set([Number(version)]));
        },
    );

    when("two operators release different manifests 2 at the same time", async () => {
        const leader = world.group.leader!.replica!;
        const promises = leader.propose([newManifestCommand(2, 1), newManifestCommand(2, 2)]);
        let answers: readonly CommandResult[] = [];
        Promise.all(promises).then(results => answers = results);
        for (let wait = 0; wait < attempts && answers.length === 0; wait++) {
            await world.group.advance(100);
        }
        world.results = [...answers];
    });

    then(/^exactly one of them is accepted and the other is told "(.*)"$/, (reason: string) => {
        expect(world.results.map(result => result.accepted).sort()).toEqual([false, true]);
        expect(world.results.find(result => !result.accepted)!.reason).toBe(reason);
    });

    then("both releases give the same index", () => {
        const [first, second] = world.results;
        expect([second!.accepted, second!.index]).toEqual([true, first!.index]);
    });

    then(/^the late release is told "(.*)"$/, (reason: string) => {
        expect(world.results.at(-1)!.reason).toBe(reason);
    });

    when("a follower loses its disk and is replaced", async () => {
        const number = pickFollower();
        const former = world.group.nodes[number]!.memberId;
        await world.group.loseDisk(number);
        await world.group.startNode(number);
        expect(await world.group.replace(former, number)).toBe(true);
    });

    when("another follower loses its disk", async () => {
        const number = getRunning().filter(other => other !== world.group.leader?.number).at(-1)!;
        await world.group.loseDisk(number);
        await world.group.startNode(number);
    });

    when("a follower stops", async () => {
        world.stopped = pickFollower();
        await world.group.crash(world.stopped);
    });

    when(/^(\d+) manifests are released$/, async (count: string) => {
        for (let version = 2; version <= Number(count) + 1; version++) {
            expect((await release(version)).accepted).toBe(true);
        }
        for (const node of world.group.nodes) {
            await node.replica?.compact(0);
        }
    });

    when("the stopped follower starts again", async () => {
        await world.group.startNode(world.stopped);
    });

    when("the leader is killed", async () => {
        for (let wait = 0; wait < attempts && !world.group.leader; wait++) {
            await world.group.advance(200);
        }
        await world.group.crash(world.group.leader!.number);
        await world.group.advance(4_000);
    });
};

autoBindSteps([loadFeature("scenarios/features/control-group.feature")], [steps]);

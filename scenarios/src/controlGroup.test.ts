/** Steps of `features/control-group.feature`: production replicas on virtual time with simulated files and network. */

import { ManifestCommandSchema } from "@anvilmux/protocol";
import type { CommandResult } from "@anvilmux/protocol";
import { CommandSchema } from "@anvilmux/protocol";
import { create } from "@bufbuild/protobuf";
import { autoBindSteps, loadFeature } from "jest-cucumber";
import type { StepDefinitions } from "jest-cucumber";
import { ReplicaGroup } from "../../packages/control/tests/ReplicaGroup";

const seed = 7;
const maximumAttempts = 40;

interface Fixture {
    group: ReplicaGroup;
    results: CommandResult[];
    isolatedNode: number;
    stoppedNode: number;
}

const fixture: Fixture = { group: new ReplicaGroup(seed, 3), results: [], isolatedNode: -1, stoppedNode: -1 };

const newManifestCommand = (version: number, variant = 1) => {
    const manifest = JSON.stringify({ format: 1, version, claimRetentionMs: variant * 1_000 });
    const envelope = JSON.stringify({ keyId: "key", signature: "AAAA", manifest });
    return create(CommandSchema, {
        kind: { case: "manifest", value: create(ManifestCommandSchema, { envelope: Buffer.from(envelope) }) },
    });
};

/** Submits a manifest until a leader responds, as the control client does. */
const submitManifest = async (version: number, variant = 1): Promise<CommandResult> => {
    for (let attempt = 0; attempt < maximumAttempts; attempt++) {
        let result: CommandResult | undefined;
        const leader = fixture.group.nodes.find(node =>
            node.replica?.role === "leader" && node.number !== fixture.isolatedNode
        );
        leader?.replica!.propose([newManifestCommand(version, variant)])[0]!.then(
            answer => result = answer,
            () => undefined,
        );
        for (let wait = 0; wait < 12 && !result; wait++) {
            await fixture.group.advance(100);
        }
        if (result) {
            return result;
        }
    }
    throw new Error(`no leader responded to manifest ${version}`);
};

const getVersion = (number: number): number =>
    fixture.group.nodes[number]!.replica?.state.manifest?.manifest.version ?? 0;

const getRunning = (): readonly number[] => fixture.group.nodes.filter(node => node.replica).map(node => node.number);

const expectApplied = async (numbers: readonly number[], version: number, seconds: number): Promise<void> => {
    await fixture.group.advance(seconds * 1_000);
    expect(numbers.map(getVersion)).toEqual(numbers.map(() => version));
    expect(fixture.group.violations).toEqual([]);
};

const pickFollower = (): number => {
    const followers = getRunning().filter(number => number !== fixture.group.leader?.number);
    return followers[0]!;
};

const steps: StepDefinitions = ({ given, when, then }) => {
    given(/^a control group of (\d+) replicas that have applied manifest 1$/, async (size: string) => {
        fixture.group = new ReplicaGroup(seed, Number(size));
        fixture.results = [];
        fixture.isolatedNode = -1;
        await fixture.group.start();
        await submitManifest(1);
        await fixture.group.advance(2_000);
    });

    when(/^the leader is isolated for (\d+) seconds$/, async (seconds: string) => {
        fixture.isolatedNode = fixture.group.leader!.number;
        fixture.group.isolate(fixture.isolatedNode);
        await fixture.group.advance(Number(seconds) * 1_000);
    });

    when(/^manifest (\d+) is submitted(?: during that time| late| again)?$/, async (version: string) => {
        fixture.results.push(await submitManifest(Number(version)));
    });

    then("the isolated replica cannot confirm its leadership and still has manifest 1", async () => {
        let confirmed: boolean | undefined;
        fixture.group.nodes[fixture.isolatedNode]!.replica!.confirmLeadership().then(result => confirmed = result);
        await fixture.group.advance(5_000);
        expect(confirmed).toBe(false);
        expect(getVersion(fixture.isolatedNode)).toBe(1);
    });

    when("the partition heals", () => {
        fixture.group.heal();
        fixture.isolatedNode = -1;
    });

    then(
        /^every replica has applied manifest (\d+) within (\d+) seconds$/,
        async (version: string, seconds: string) => {
            await expectApplied(fixture.group.nodes.map(node => node.number), Number(version), Number(seconds));
        },
    );

    then(
        /^every running replica has applied manifest (\d+) within (\d+) seconds$/,
        async (version: string, seconds: string) => {
            await expectApplied(getRunning(), Number(version), Number(seconds));
        },
    );

    then(
        /^every running replica that has a configuration has applied manifest (\d+) within (\d+) seconds$/,
        async (version: string, seconds: string) => {
            await fixture.group.advance(Number(seconds) * 1_000);
            const versions = getRunning().map(getVersion).filter(known => known > 0);
            expect(versions.length).toBeGreaterThanOrEqual(2);
            expect(new Set(versions)).toEqual(new Set([Number(version)]));
        },
    );

    when("two operators submit different manifests 2 at the same time", async () => {
        const leader = fixture.group.leader!.replica!;
        const promises = leader.propose([newManifestCommand(2, 1), newManifestCommand(2, 2)]);
        let answers: readonly CommandResult[] = [];
        Promise.all(promises).then(results => answers = results);
        for (let wait = 0; wait < maximumAttempts && answers.length === 0; wait++) {
            await fixture.group.advance(100);
        }
        fixture.results = [...answers];
    });

    then(/^exactly one of them is accepted and the other is rejected with "(.*)"$/, (reason: string) => {
        expect(fixture.results.map(result => result.accepted).sort()).toEqual([false, true]);
        expect(fixture.results.find(result => !result.accepted)!.reason).toBe(reason);
    });

    then("both submissions return the same index", () => {
        const [first, second] = fixture.results;
        expect([second!.accepted, second!.index]).toEqual([true, first!.index]);
    });

    then(/^the late manifest is rejected with "(.*)"$/, (reason: string) => {
        expect(fixture.results.at(-1)!.reason).toBe(reason);
    });

    when("a follower loses its disk and is replaced", async () => {
        const number = pickFollower();
        const former = fixture.group.nodes[number]!.memberId;
        await fixture.group.loseDisk(number);
        await fixture.group.startNode(number);
        expect(await fixture.group.replace(former, number)).toBe(true);
    });

    when("another follower loses its disk", async () => {
        const number = getRunning().filter(other => other !== fixture.group.leader?.number).at(-1)!;
        await fixture.group.loseDisk(number);
        await fixture.group.startNode(number);
    });

    when("a follower stops", async () => {
        fixture.stoppedNode = pickFollower();
        await fixture.group.crash(fixture.stoppedNode);
    });

    when(/^(\d+) manifests are submitted$/, async (count: string) => {
        for (let version = 2; version <= Number(count) + 1; version++) {
            expect((await submitManifest(version)).accepted).toBe(true);
        }
        for (const node of fixture.group.nodes) {
            await node.replica?.compact(0);
        }
    });

    when("the stopped follower starts again", async () => {
        await fixture.group.startNode(fixture.stoppedNode);
    });

    when("the leader is killed", async () => {
        for (let wait = 0; wait < maximumAttempts && !fixture.group.leader; wait++) {
            await fixture.group.advance(200);
        }
        await fixture.group.crash(fixture.group.leader!.number);
        await fixture.group.advance(4_000);
    });
};

autoBindSteps([loadFeature("scenarios/features/control-group.feature")], [steps]);

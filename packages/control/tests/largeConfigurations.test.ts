/** Many changes of a large configuration, each of which carries it whole. */

import type { MemoryFiles } from "@anvilmux/common";
import { CommandSchema, ManifestCommandSchema } from "@anvilmux/protocol";
import { create } from "@bufbuild/protobuf";
import { ReplicaGroup } from "./ReplicaGroup";

/** Disk of the smallest machines that keep control state. */
const diskBytes = 128 * 1_048_576;
/** A configuration of some 1,500 routes. */
const configurationBytes = 400_000;
const changes = 400;

const newManifestCommand = (version: number) => {
    const signature = "A".repeat(configurationBytes);
    const envelope = JSON.stringify({ keyId: "key", signature, manifest: JSON.stringify({ format: 1, version }) });
    const value = create(ManifestCommandSchema, { envelope: Buffer.from(envelope) });
    return create(CommandSchema, { kind: { case: "manifest", value } });
};

const getBytes = async (files: MemoryFiles): Promise<number> => {
    const contents = await Promise.all((await files.list()).map(name => files.read(name)));
    return contents.reduce((sum, content) => sum + (content?.length ?? 0), 0);
};

test("the log of large configurations fills the disk", async () => {
    const group = new ReplicaGroup(51, 1);
    await group.start();
    await group.advance(3_000);
    const { replica, files } = group.leader!;
    let largest = 0;
    for (let version = 1; version <= changes; version++) {
        void replica!.propose([newManifestCommand(version)])[0]!;
        await group.advance(5);
        largest = Math.max(largest, version % 20 === 0 ? await getBytes(files) : 0);
    }
    expect(replica!.state.manifest?.manifest.version).toBe(changes);
    expect(largest).toBeLessThan(diskBytes);
});

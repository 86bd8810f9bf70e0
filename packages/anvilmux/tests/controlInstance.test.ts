/** Three control instances over loopback connections form a group and stay available when one of them stops. */

import { ControlInstance, loadSettings, newSystemEnvironment } from "@anvilmux/anvilmux";
import { findFreePort } from "@anvilmux/stand-ins";
import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { trustingAuthority } from "./trustingAuthority";

const cleanups: (() => unknown)[] = [];
afterEach(async () => {
    for (const cleanup of cleanups.splice(0).reverse()) {
        await cleanup();
    }
});

const startControl = async (name: string, port: number, peers: readonly string[]): Promise<ControlInstance> => {
    const folder = mkdtempSync(join(tmpdir(), "anvilmux-control-"));
    cleanups.push(() => rmSync(folder, { recursive: true, force: true }));
    const { settings } = loadSettings({
        "instance-id": name,
        "zone": "eire-dub",
        "host": "127.0.0.1",
        "peer-port": String(port),
        "seeds": peers.join(","),
        "control-peers": peers.join(","),
        "form-group": "true",
        "data-folder": folder,
        "peer-secrets": "test",
        "platform-token": "test",
        "operator-token": "test",
    }, {});
    const environment = { ...newSystemEnvironment(), authority: trustingAuthority };
    const control = new ControlInstance({ settings, environment, linkPort: await findFreePort() });
    await control.start();
    return control;
};

const newManifest = (version: number): string => JSON.stringify({ format: 1, version });

const submitUntilAccepted = async (control: ControlInstance, version: number): Promise<void> => {
    while ((await control.submit(newManifest(version), 1_000)).kind !== "accepted") {
        await new Promise(resolve => setTimeout(resolve, 50));
    }
};

test("a manifest is still accepted and read after one of three control instances stops without leaving", async () => {
    const ports = [await findFreePort(), await findFreePort(), await findFreePort()];
    const peers = ports.map(port => `127.0.0.1:${port}`);
    const instances = await Promise.all(ports.map((port, number) => startControl(`core-${number}`, port, peers)));
    cleanups.push(() => Promise.all(instances.map(instance => instance.stop())));
    await submitUntilAccepted(instances[0]!, 1);
    await instances[0]!.stop();
    await submitUntilAccepted(instances[1]!, 2);
    expect(JSON.parse(await instances[2]!.readNewestManifest(5_000) ?? "{}")).toMatchObject({ version: 2 });
}, 60_000);

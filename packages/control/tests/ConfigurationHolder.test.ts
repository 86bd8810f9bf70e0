/** The active configuration of one instance. */

import { VirtualTime } from "@anvilmux/common";
import { ConfigurationHolder } from "@anvilmux/control";
import { decideByHighestVersion, manifestFormat, parseManifest } from "@anvilmux/manifest";
import type { ManifestAuthority, ParsedManifest } from "@anvilmux/manifest";
import { newSilentLogger } from "@anvilmux/telemetry";

const read = (text: string): ParsedManifest => ({ manifest: parseManifest(text), digest: text });

const newHolder = (authority: Partial<ManifestAuthority>): ConfigurationHolder =>
    new ConfigurationHolder({
        authority: {
            verify: read,
            verifyReceived: read,
            read,
            decideUpdate: decideByHighestVersion,
            ...authority,
        },
        timers: new VirtualTime(),
        logger: newSilentLogger(),
        getPeers: () => [],
        fetch: () => Promise.reject(new Error("no peers")),
    });

const newEnvelope = (version: number): Uint8Array => Buffer.from(JSON.stringify({ format: manifestFormat, version }));

test("a configuration that another instance has checked is checked as if it were submitted here", () => {
    const submitted: string[] = [];
    const holder = newHolder({
        verify: text => {
            submitted.push(text);
            return read(text);
        },
    });
    expect(holder.apply(3n, newEnvelope(1))).toBe(true);
    expect([holder.index, submitted]).toEqual([3, []]);
});

test("a received configuration without a valid proof of its origin is applied", () => {
    const holder = newHolder({
        verifyReceived: () => {
            throw new Error("the signature does not match");
        },
    });
    expect(holder.apply(3n, newEnvelope(1))).toBe(false);
    expect(holder.configuration).toBeUndefined();
});

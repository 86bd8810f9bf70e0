/**
 * The active configuration of one instance. It is applied from the local replica or fetched from a peer that has a
 * newer one; its index only increases, and a signature is verified again here.
 */

import { getErrorMessage, getSha256 } from "@anvilmux/common";
import type { Address, Timers, Unsubscribe } from "@anvilmux/common";
import type { Caller, Manifest, ManifestAuthority, Service, WorkKind } from "@anvilmux/manifest";
import type { Logger } from "@anvilmux/telemetry";
import Emittery from "emittery";

/** A configuration with look-up tables. */
export interface Configuration {
    readonly index: number;
    readonly digest: string;
    readonly manifest: Manifest;
    readonly envelope: Uint8Array;
    readonly services: ReadonlyMap<string, Service>;
    /** Keyed by `service/kind`. */
    readonly kinds: ReadonlyMap<string, WorkKind>;
    /** Keyed by the SHA-256 digest of the bearer token. */
    readonly callers: ReadonlyMap<string, Caller>;
}

/** A peer and the index of its active configuration, as the peer announces it. */
export interface ConfigurationPeer {
    readonly address: Address;
    readonly configurationIndex: number;
}

/** A peer's answer to a fetch; the envelope is empty unless it is newer than the index that the fetch named. */
export interface FetchedConfiguration {
    readonly index: bigint;
    readonly envelope: Uint8Array;
}

export interface ConfigurationHolderOptions {
    readonly authority: ManifestAuthority;
    readonly timers: Timers;
    readonly logger: Logger;
    readonly getPeers: () => readonly ConfigurationPeer[];
    readonly fetch: (address: Address, knownIndex: bigint) => Promise<FetchedConfiguration>;
}

export interface ConfigurationEvents {
    readonly inForce: { readonly index: number; };
}

const checkPeriodMs = 200;

export class ConfigurationHolder {
    readonly events = new Emittery<ConfigurationEvents>();
    private current: Configuration | undefined;
    private fetching = false;
    private unsubscribe: Unsubscribe = () => undefined;

    constructor(private readonly options: ConfigurationHolderOptions) {}

    get configuration(): Configuration | undefined {
        return this.current;
    }

    get index(): number {
        return this.current?.index ?? 0;
    }

    /** The highest index of an active configuration, local or at a known peer. */
    get highestKnownIndex(): number {
        return Math.max(this.index, ...this.options.getPeers().map(peer => peer.configurationIndex));
    }

    start(): void {
        this.unsubscribe = this.options.timers.every(checkPeriodMs, () => void this.catchUp());
    }

    stop(): void {
        this.unsubscribe();
    }

    /** Applies a configuration if it is newer and valid; false otherwise. */
    apply(index: bigint, envelope: Uint8Array): boolean {
        if (Number(index) <= this.index) {
            return false;
        }
        const startedAt = performance.now();
        try {
            const { manifest, digest } = this.options.authority.verifyReceived(Buffer.from(envelope).toString());
            this.current = newConfiguration(Number(index), digest, manifest, envelope);
        }
        catch (error) {
            this.options.logger.error("configuration refused", {
                index: Number(index),
                reason: getErrorMessage(error),
            });
            return false;
        }
        this.options.logger.info("configuration applied", {
            index: Number(index),
            version: this.current.manifest.version,
            bytes: envelope.length,
            tookMs: Math.round(performance.now() - startedAt),
        });
        void this.events.emit("inForce", { index: Number(index) });
        return true;
    }

    /** Answers a peer's fetch. The envelope is included only if it is newer than the peer's configuration. */
    handleFetch(knownIndex: bigint): FetchedConfiguration {
        const isNewer = this.current !== undefined && BigInt(this.current.index) > knownIndex;
        return { index: BigInt(this.index), envelope: isNewer ? this.current!.envelope : new Uint8Array() };
    }

    /** Fetches the configuration of the peer with the highest index, if it is newer than the local one. */
    async catchUp(): Promise<void> {
        const newest = this.options.getPeers().reduce<ConfigurationPeer | undefined>(
            (best, peer) => peer.configurationIndex > (best?.configurationIndex ?? this.index) ? peer : best,
            undefined,
        );
        if (!newest || this.fetching) {
            return;
        }
        this.fetching = true;
        try {
            const reply = await this.options.fetch(newest.address, BigInt(this.index));
            if (reply.envelope.length > 0) {
                this.apply(reply.index, reply.envelope);
            }
        }
        catch (error) {
            this.options.logger.debug("configuration fetch failed", { reason: getErrorMessage(error) });
        }
        finally {
            this.fetching = false;
        }
    }
}

const newConfiguration = (
    index: number,
    digest: string,
    manifest: Manifest,
    envelope: Uint8Array,
): Configuration => ({
    index,
    digest,
    manifest,
    envelope,
    services: new Map(manifest.services.map(service => [service.name, service])),
    kinds: new Map(
        manifest.services.flatMap(service => service.kinds.map(kind => [`${service.name}/${kind.name}`, kind])),
    ),
    callers: new Map(manifest.callers.map(caller => [caller.tokenSha256, caller])),
});

/** The caller that a bearer token belongs to. Looking up the digest keeps the timing independent of the token. */
export const findCaller = (configuration: Configuration, token: string): Caller | undefined =>
    configuration.callers.get(getSha256(token));

/** Services for communication with other instances: peer server, peer clients, membership and announcements. */

import type { Kernel } from "@anvilmux/kernel";
import { LeaseRegistry, Membership, upstreamAnnouncementSchema, workerAnnouncementSchema } from "@anvilmux/membership";
import { newPeerNetwork, PeerServer } from "@anvilmux/transport";
import type { PeerTls } from "@anvilmux/transport";
import type { Environment } from "../environment";
import { registerPeerRoutes } from "../peerRoutes";
import { getListenHost } from "../settings";
import type { Settings } from "../settings";
import {
    clockToken,
    intakeToken,
    loggerToken,
    membershipToken,
    metricsToken,
    networkToken,
    peerServerToken,
    randomToken,
    timersToken,
    upstreamsToken,
    workersToken,
    zoneViewToken,
} from "../tokens";
import { ZoneView } from "../ZoneView";
import { readSettingFile } from "./base";

/** Peer secret of instances that were started with --development and without peer secrets. */
const developmentSecret = "development";

const getPeerSecrets = (settings: Settings): readonly string[] =>
    settings["peer-secrets"].length > 0 ? settings["peer-secrets"] : [developmentSecret];

/** Certificates for traffic between instances, read from their files at each call; undefined without TLS. */
export const readPeerTls = (settings: Settings): PeerTls | undefined =>
    settings["peer-tls-certificate"] === "" ? undefined : {
        certificatePem: readSettingFile(settings["peer-tls-certificate"]),
        privateKeyPem: readSettingFile(settings["peer-tls-key"]),
        authorityPem: readSettingFile(settings["peer-tls-authority"]),
    };

export const definePeerServices = (kernel: Kernel, settings: Settings, environment: Environment): void => {
    kernel
        .define({
            token: peerServerToken,
            requires: [intakeToken],
            start: () =>
                PeerServer.listen({
                    host: getListenHost(settings),
                    announcedHost: settings.host,
                    port: settings["peer-port"],
                    secrets: getPeerSecrets(settings),
                    tls: readPeerTls(settings),
                    guard: kernel.get(intakeToken).peerGuard,
                    timers: environment.timers,
                    routes: router => registerPeerRoutes(router, kernel),
                }),
            stop: server => server.close(),
        })
        .define({
            token: networkToken,
            requires: [metricsToken, peerServerToken, clockToken],
            start: () => {
                const server = kernel.get(peerServerToken);
                kernel.get(metricsToken).gauge("anvilmux_peer_bytes_total", {}, () => server.getByteCount());
                return newPeerNetwork({
                    secrets: getPeerSecrets(settings),
                    getTls: () => readPeerTls(settings),
                    onMessage: method => kernel.get(metricsToken).count("anvilmux_peer_calls_total", { method }),
                    isReachable: environment.isReachable,
                    clock: kernel.get(clockToken),
                });
            },
            stop: network => network.close(),
        })
        .define({
            token: membershipToken,
            requires: [peerServerToken, networkToken, loggerToken, randomToken, clockToken, timersToken],
            start: () => startMembership(kernel, settings),
            stop: membership => membership.stop(),
        })
        .define({
            token: upstreamsToken,
            requires: [membershipToken],
            start: () => startRegistry(kernel, "upstream/", value => upstreamAnnouncementSchema.safeParse(value).data),
            stop: registry => registry.stop(),
        })
        .define({
            token: workersToken,
            requires: [membershipToken],
            start: () => startRegistry(kernel, "worker/", value => workerAnnouncementSchema.safeParse(value).data),
            stop: registry => registry.stop(),
        })
        .define({
            token: zoneViewToken,
            requires: [membershipToken, workersToken, randomToken],
            start: () =>
                new ZoneView({
                    instanceId: settings["instance-id"],
                    zone: settings.zone,
                    membership: kernel.get(membershipToken),
                    workers: kernel.get(workersToken),
                    random: kernel.get(randomToken),
                    controlPeers: settings["control-peers"],
                }),
        });
};

const startMembership = (kernel: Kernel, settings: Settings): Membership => {
    const network = kernel.get(networkToken);
    const clock = kernel.get(clockToken);
    const selfAddress = kernel.get(peerServerToken).address;
    const membership = new Membership({
        instanceId: settings["instance-id"],
        zone: settings.zone,
        // Wall time grows with each restart; members compare it only with earlier incarnations of the same instance.
        incarnation: Math.floor(clock.wallNow()),
        seeds: [...new Set([...settings.seeds, ...settings["control-peers"]])].filter(seed => seed !== selfAddress),
        clock,
        timers: kernel.get(timersToken),
        random: kernel.get(randomToken),
        logger: kernel.get(loggerToken),
        send: (address, request, timeoutMs) => network.peer(address).gossip(request, { timeoutMs }),
    });
    membership.start();
    return membership;
};

const startRegistry = <
    Announcement extends { readonly id: string; readonly incarnation: number; readonly leaseMs: number; },
>(
    kernel: Kernel,
    prefix: string,
    parse: (value: unknown) => Announcement | undefined,
): LeaseRegistry<Announcement> => {
    const registry = new LeaseRegistry<Announcement>({
        prefix,
        membership: kernel.get(membershipToken),
        clock: kernel.get(clockToken),
        timers: kernel.get(timersToken),
        parse,
    });
    registry.start();
    return registry;
};

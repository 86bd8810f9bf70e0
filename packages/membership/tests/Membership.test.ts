/** Gossip, liveness, leases and leaves over a fake network on virtual time. */

import { newRandom, toAddress, VirtualTime } from "@anvilmux/common";
import {
    deadAfterMs,
    gossipPeriodMs,
    LeaseRegistry,
    Membership,
    suspectAfterMs,
    upstreamAnnouncementSchema,
} from "@anvilmux/membership";
import type { UpstreamAnnouncement } from "@anvilmux/membership";
import { newSilentLogger } from "@anvilmux/telemetry";

/** Members that exchange gossip by direct calls unless one of them is cut off. */
class FakeNetwork {
    readonly time = new VirtualTime();
    readonly members = new Map<string, Membership>();
    readonly cutOff = new Set<string>();

    add(id: string, zone: string, seeds: readonly string[], incarnation = 1): Membership {
        const membership = new Membership({
            instanceId: id,
            zone,
            incarnation,
            seeds: seeds.map(toAddress),
            clock: this.time,
            timers: this.time,
            random: newRandom(id.length + id.charCodeAt(0)),
            logger: newSilentLogger(),
            send: async (address, request) => {
                const target = this.members.get(address);
                if (!target || this.cutOff.has(address) || this.cutOff.has(id)) {
                    throw new Error("unreachable");
                }
                return target.receive(request);
            },
        });
        this.members.set(id, membership);
        membership.publishSelf({
            zone,
            peerAddress: id,
            publicAddress: id,
            entry: true,
            control: false,
            state: "ready",
            configurationIndex: 0,
        });
        membership.start();
        return membership;
    }

    newUpstreams(membership: Membership): LeaseRegistry<UpstreamAnnouncement> {
        const registry = new LeaseRegistry<UpstreamAnnouncement>({
            prefix: "upstream/",
            membership,
            clock: this.time,
            timers: this.time,
            parse: value => upstreamAnnouncementSchema.safeParse(value).data,
        });
        registry.start();
        return registry;
    }
}

const announcement = (incarnation = 1): UpstreamAnnouncement => ({
    service: "rider-desk",
    id: "runner",
    address: "127.0.0.1:80",
    slots: 8,
    connections: 60,
    incarnation,
    leaseMs: 3_000,
});

const newZone = () => {
    const network = new FakeNetwork();
    const members = ["a", "b", "c"].map(id => network.add(id, "cork", ["a"]));
    const registries = members.map(member => network.newUpstreams(member));
    return { network, members, registries };
};

describe("Membership", () => {
    test("members find each other through one seed", async () => {
        const { network, members } = newZone();
        await network.time.advance(8_000);
        members.forEach(member => expect(member.getMembers().map(other => other.id).sort()).toEqual(["a", "b", "c"]));
    });

    test("an unreachable member becomes suspect, then dead, and alive again once it is reachable", async () => {
        const { network, members } = newZone();
        await network.time.advance(8_000);
        network.cutOff.add("c");
        await network.time.advance(suspectAfterMs + gossipPeriodMs);
        expect(members[0]!.getMember("c")!.liveness).toBe("suspect");
        await network.time.advance(deadAfterMs - suspectAfterMs);
        expect(members[0]!.getMember("c")!.liveness).toBe("dead");
        network.cutOff.clear();
        await network.time.advance(8_000);
        expect(members[0]!.getMember("c")!.liveness).toBe("alive");
    });

    test("members that exchange gossip are never suspected", async () => {
        const { network, members } = newZone();
        for (const zone of ["dub", "gal"]) {
            ["x", "y"].forEach(name => network.add(`${zone}-${name}`, zone, ["a"]));
        }
        await network.time.advance(10_000);
        for (let round = 0; round < 200; round++) {
            await network.time.advance(250);
            members.forEach(member =>
                member.getMembers().filter(other => other.zone === "cork").forEach(other =>
                    expect(other.liveness).toBe("alive")
                )
            );
        }
    });

    test("zone-scoped records reach a member that learned of their owner from another zone first", async () => {
        const network = new FakeNetwork();
        const owner = network.add("a", "cork", []);
        const registry = network.newUpstreams(owner);
        registry.announce(announcement());
        network.time.every(1_000, () => registry.announce(announcement()));
        network.add("far", "dub", ["a"]);
        await network.time.advance(5_000);
        owner.publish("load", { "rider-desk": 3 }, false);
        await network.time.advance(5_000);
        const late = network.newUpstreams(network.add("b", "cork", ["far"]));
        await network.time.advance(10_000);
        expect(late.getLive().map(item => item.id)).toEqual(["runner"]);
    });

    test("zone-scoped records do not leave their zone", async () => {
        const { network, registries } = newZone();
        const far = network.newUpstreams(network.add("far", "dub", ["a"]));
        registries[0]!.announce(announcement());
        await network.time.advance(10_000);
        expect(far.getLive()).toEqual([]);
    });
});

describe("LeaseRegistry", () => {
    test("an announcement reaches the zone within half a second", async () => {
        const { network, registries } = newZone();
        await network.time.advance(8_000);
        registries[0]!.announce(announcement());
        await network.time.advance(500);
        registries.forEach(registry => expect(registry.getLive()).toHaveLength(1));
    });

    test("a lease that is not renewed expires at every member", async () => {
        const { network, registries } = newZone();
        await network.time.advance(8_000);
        registries[0]!.announce(announcement());
        await network.time.advance(4_000);
        registries.forEach(registry => expect(registry.getLive()).toEqual([]));
    });

    test("a member that is cut off expires leases of others on its own clock", async () => {
        const { network, registries } = newZone();
        await network.time.advance(8_000);
        registries[0]!.announce(announcement());
        await network.time.advance(500);
        network.cutOff.add("c");
        await network.time.advance(4_000);
        expect(registries[2]!.getLive()).toEqual([]);
    });

    test("a leave is final: neither a late renewal nor late gossip of the same incarnation undoes it", async () => {
        const { network, registries } = newZone();
        await network.time.advance(8_000);
        registries[0]!.announce(announcement());
        await network.time.advance(500);
        registries[1]!.leave(announcement());
        await network.time.advance(500);
        expect(registries[0]!.announce(announcement())).toBe(false);
        expect(registries[2]!.announce(announcement())).toBe(false);
        await network.time.advance(1_000);
        registries.forEach(registry => expect(registry.getLive()).toEqual([]));
        expect(registries[2]!.announce(announcement(2))).toBe(true);
        await network.time.advance(500);
        registries.forEach(registry => expect(registry.getLive().map(item => item.incarnation)).toEqual([2]));
    });
});

/** Entries of a manifest that control accepts but that no request, caller or worker can ever match. */

import { QueueTable } from "@anvilmux/dispatch";
import type { Caller, Manifest, Service } from "@anvilmux/manifest";
import { newDoubt } from "./findings";
import type { Finding } from "./findings";

/** Names of the services that an instance knows to be served in its zone. */
export interface ServedServices {
    /** Services of announced upstreams. */
    readonly ofUpstreams: ReadonlySet<string>;
    /** Services of announced workers; undefined where announcements do not name a service. */
    readonly ofWorkers?: ReadonlySet<string>;
}

export const findUnmatchedEntries = (manifest: Manifest): readonly Finding[] => [
    ...findUnmatchedQueues(manifest),
    ...manifest.services.flatMap((service, index) => findUncalledKinds(service, index, manifest.callers)),
    ...findUselessCallers(manifest.callers),
    ...findEmptyTeams(manifest),
    ...findKeptDroppedServices(manifest),
];

/** Request targets consist of visible characters, and clients remove the fragment. */
const unreachablePrefixPattern = /[^!-~]|#/;
/** Host headers contain no path, and their port is removed before the queue is looked up. */
const unreachableHostPattern = /[^!-~]|[/?#@]|:\d+$/;

const findUnmatchedQueues = ({ queues }: Manifest): readonly Finding[] => {
    const table = new QueueTable(queues);
    const names = new Set<string>();
    return queues.flatMap((queue, index) => {
        const pointer = `/queues/${index}`;
        const { name, host, pathPrefix } = queue;
        const findings: Finding[] = [];
        if (names.has(name)) {
            const text = `another queue is named "${name}"; logs and metrics do not tell them apart`;
            findings.push(newDoubt(`${pointer}/name`, "duplicate-queue-name", text));
        }
        names.add(name);
        if (unreachableHostPattern.test(host)) {
            const text = `no request has the host "${host}": use a host name without port and path`;
            findings.push(newDoubt(`${pointer}/host`, "unreachable-host", text));
        }
        if (unreachablePrefixPattern.test(pathPrefix)) {
            const text = `no request path begins with "${pathPrefix}": use visible ASCII characters other than #`;
            findings.push(newDoubt(`${pointer}/pathPrefix`, "unreachable-prefix", text));
        }
        const found = table.find(host, pathPrefix);
        if (found && found !== queue) {
            const text = `queue "${name}" is hidden by queue "${found.name}", which gets all its jobs`;
            findings.push(newDoubt(`${pointer}/pathPrefix`, "hidden-prefix", text));
        }
        return findings;
    });
};

const findUncalledKinds = (service: Service, serviceIndex: number, callers: readonly Caller[]): readonly Finding[] => {
    const permissions = callers.flatMap(caller => caller.services).filter(item => item.service === service.name);
    if (permissions.some(permission => !permission.kinds)) {
        return [];
    }
    const called = new Set(permissions.flatMap(permission => permission.kinds ?? []));
    return service.kinds.flatMap((kind, index) =>
        called.has(kind.name) ? [] : [newDoubt(
            `/services/${serviceIndex}/kinds/${index}`,
            "kind-without-caller",
            `no caller may send work kind "${kind.name}" of service "${service.name}"`,
        )]
    );
};

const findUselessCallers = (callers: readonly Caller[]): readonly Finding[] => {
    // The configuration in force finds callers by their token; of several with one token it finds the last.
    const found = new Map(callers.map(caller => [caller.tokenSha256, caller]));
    return callers.flatMap((caller, index) => {
        const pointer = `/callers/${index}`;
        const holder = found.get(caller.tokenSha256);
        const findings: Finding[] = [];
        if (holder !== caller) {
            const text = `caller "${caller.name}" is never recognized, as its token is also that of "${holder?.name}"`;
            findings.push(newDoubt(`${pointer}/tokenSha256`, "shared-token", text));
        }
        const permits = caller.services.some(permission => permission.kinds?.length !== 0);
        if (!permits && !caller.jobs) {
            const text = `caller "${caller.name}" may neither call a service nor submit jobs`;
            findings.push(newDoubt(pointer, "caller-without-permission", text));
        }
        return findings;
    });
};

const findEmptyTeams = ({ teams, callers }: Manifest): readonly Finding[] => {
    const used = new Set(callers.map(caller => caller.team));
    return teams.flatMap((team, index) =>
        used.has(team.name)
            ? []
            : [newDoubt(`/teams/${index}`, "team-without-caller", `no caller belongs to team "${team.name}"`)]
    );
};

const findKeptDroppedServices = ({ droppedServices, services }: Manifest): readonly Finding[] => {
    const defined = new Set(services.map(service => service.name));
    return droppedServices.flatMap((name, index) =>
        defined.has(name)
            ? [newDoubt(
                `/droppedServices/${index}`,
                "dropped-service-defined",
                `service "${name}" is declared as dropped but still defined`,
            )]
            : []
    );
};

/** Services and queues that nothing serves in the zone of the instance that was asked. */
export const findUnservedEntries = (manifest: Manifest, served: ServedServices): readonly Finding[] => {
    const { ofUpstreams, ofWorkers } = served;
    const services = manifest.services.flatMap((service, index) =>
        ofUpstreams.has(service.name) ? [] : [newDoubt(
            `/services/${index}`,
            "service-without-upstream",
            `no upstream of service "${service.name}" is announced in the zone of the instance asked`,
        )]
    );
    const queues = manifest.queues.flatMap((queue, index) =>
        !ofWorkers || ofWorkers.has(queue.service) ? [] : [newDoubt(
            `/queues/${index}/service`,
            "queue-without-worker",
            `no worker of service "${queue.service}" is announced in the zone of the instance asked`,
        )]
    );
    return [...services, ...queues];
};

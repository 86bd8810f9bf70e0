/** Requests to drain or restore a zone, and the state of the zones, as the operator interfaces show them. */

import type { ZoneId } from "@anvilmux/common";
import type { ZoneDrainRecord } from "@anvilmux/protocol";

export const maximumZoneCharacters = 200;

/** The state of one zone in the list that `GET /v1/zones` returns. */
export interface ZoneStatus {
    readonly zone: string;
    readonly drained: boolean;
    /** Log index of the last change; 0 when the zone was never drained. */
    readonly index: number;
    /** Wall time of the last change in milliseconds; absent when the zone was never drained. */
    readonly since?: number;
    readonly requestedBy?: string;
    /** Number of tasks that run on workers of the zone, as far as the asked instance knows. */
    readonly runningTasks?: number;
}

/** The requester as recorded in the log: the address that the request came from, and the instance that received it. */
export const describeRequester = (instanceId: string, remoteAddress: string): string =>
    `${remoteAddress} through ${instanceId}`;

/** The name in a path segment; undefined for a malformed percent escape, an empty name and one over 200 characters. */
export const decodeZoneName = (segment: string): string | undefined => {
    let name: string;
    try {
        name = decodeURIComponent(segment);
    }
    catch {
        return undefined;
    }
    return name.length >= 1 && name.length <= maximumZoneCharacters ? name : undefined;
};

/** The state of every zone that is known or that some command named, in the order of names. */
export const getZoneStatuses = (
    knownZones: readonly ZoneId[],
    records: readonly ZoneDrainRecord[],
    countRunningTasks: (zone: string) => number | undefined,
): readonly ZoneStatus[] => {
    const names = new Set<string>([...knownZones, ...records.map(record => record.zone)]);
    return [...names].sort().map(zone => {
        const record = records.find(candidate => candidate.zone === zone);
        const runningTasks = countRunningTasks(zone);
        return {
            zone,
            drained: record?.drained ?? false,
            index: Number(record?.index ?? 0n),
            ...record && record.index > 0n ? { since: record.wallMs, requestedBy: record.requestedBy } : {},
            ...runningTasks === undefined ? {} : { runningTasks },
        };
    });
};

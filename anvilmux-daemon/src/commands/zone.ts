/** Commands that drain and restore zones. */

import type { ZoneStatus } from "@anvilmux/anvilmux";
import type { Sade } from "sade";
import { print, sendOperatorRequest, toColumns } from "../operatorClient";
import type { ConnectionFlags } from "../operatorClient";
import { addConnectionFlags } from "./addConnectionFlags";

export const registerZone = (program: Sade): void => {
    addConnectionFlags(program.command("zone drain <zone>").describe("Start no further task on a zone's workers"))
        .action((zone: string, flags: ConnectionFlags) => setZoneDrained(flags, zone, "drain"));
    addConnectionFlags(program.command("zone restore <zone>").describe("Use a drained zone's workers again"))
        .action((zone: string, flags: ConnectionFlags) => setZoneDrained(flags, zone, "restore"));
    addConnectionFlags(program.command("zone list").describe("List the zones and which of them are drained"))
        .action(listZones);
};

const setZoneDrained = async (flags: ConnectionFlags, zone: string, action: "drain" | "restore"): Promise<void> => {
    const path = `/v1/zones/${encodeURIComponent(zone)}/${action}`;
    const result = await sendOperatorRequest(flags, "POST", path) as { readonly index: number; };
    const state = action === "drain" ? "drained" : "not drained";
    print(flags, result, [`zone ${zone} is ${state}, last changed at index ${result.index}`]);
};

const listZones = async (flags: ConnectionFlags): Promise<void> => {
    const zones = await sendOperatorRequest(flags, "GET", "/v1/zones") as readonly ZoneStatus[];
    const rows = zones.map(({ zone, drained, since, index, requestedBy, runningTasks }) => [
        zone,
        String(drained),
        since === undefined ? "" : new Date(since).toISOString(),
        String(index),
        runningTasks === undefined ? "" : String(runningTasks),
        requestedBy ?? "",
    ]);
    print(flags, zones, toColumns([["ZONE", "DRAINED", "SINCE", "INDEX", "RUNNING", "REQUESTED BY"], ...rows]));
};

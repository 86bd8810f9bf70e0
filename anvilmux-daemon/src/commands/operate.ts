/** Commands that inspect or change a running deployment. */

import type { DeploymentStatus } from "@anvilmux/anvilmux";
import { getErrorMessage } from "@anvilmux/common";
import { explainLogs, formatExplainedLine } from "@anvilmux/telemetry";
import { readFileSync } from "node:fs";
import type { Sade } from "sade";
import { exitCodes } from "../exitCodes";
import { CommandError, print, sendOperatorRequest, toColumns } from "../operatorClient";
import type { ConnectionFlags } from "../operatorClient";
import { addConnectionFlags } from "./addConnectionFlags";

export const registerOperate = (program: Sade): void => {
    addConnectionFlags(program.command("status").describe("Show instances, configuration and control group")).action(
        showStatus,
    );
    addConnectionFlags(program.command("explain <id>").describe("Tell what was decided for a request or job"))
        .option("--logs", "Log files to read instead of asking instances, as FILE,FILE; - is standard input")
        .action(explain);
    addConnectionFlags(program.command("upstreams").describe("List the zone's announced upstreams"))
        .action((flags: ConnectionFlags) =>
            printAnnouncements(flags, "/v1/upstreams", ["service", "id", "address", "slots"])
        );
    addConnectionFlags(program.command("workers").describe("List the zone's announced workers"))
        .action((flags: ConnectionFlags) =>
            printAnnouncements(flags, "/v1/workers", ["id", "rack", "address", "processors", "accelerators"])
        );
    addConnectionFlags(
        program.command("drain").describe("Make the instance at --entry leave gracefully"),
    ).action(drain);
    addConnectionFlags(program.command("replica add <member> <address>").describe("Add a control replica as a learner"))
        .action((memberId: string, address: string, flags: ConnectionFlags) =>
            changeReplicas(flags, { add: { memberId, address } })
        );
    addConnectionFlags(program.command("replica promote <member>").describe("Make a learner a voter"))
        .action((memberId: string, flags: ConnectionFlags) => changeReplicas(flags, { promote: memberId }));
    addConnectionFlags(program.command("replica remove <member>").describe("Remove a control replica"))
        .action((memberId: string, flags: ConnectionFlags) => changeReplicas(flags, { remove: memberId }));
};

const showStatus = async (flags: ConnectionFlags): Promise<void> => {
    const status = await sendOperatorRequest(flags, "GET", "/v1/status") as DeploymentStatus;
    const { configuration, control } = status;
    print(flags, status, [
        `instance ${status.instance} in ${status.zone}: ${
            status.ready ? "ready" : `not ready, ${status.obstacle ?? ""}`
        }`,
        `configuration: index ${configuration.index}, version ${configuration.version}, `
        + (configuration.confirmedByMajority ? "confirmed by a majority" : "not confirmed by a majority"),
        `not confirming: ${configuration.notConfirming.join(", ") || "none"}`,
        control.available
            ? `control group: term ${control.term}, commit ${control.commitIndex}`
            : `control group: ${control.reason}`,
        ...toColumns([
            ["INSTANCE", "ZONE", "STATE", "LIVENESS", "INDEX"],
            ...status.instances.map(
                item => [item.id, item.zone, item.state, item.liveness, String(item.configurationIndex)],
            ),
        ]),
        ...toColumns([
            ["REPLICA", "ADDRESS", "VOTER", "MATCH", "REACHABLE"],
            ...control.replicas.map(item => [
                item.memberId,
                item.address,
                String(item.voter),
                String(item.matchIndex),
                String(item.reachable),
            ]),
        ]),
    ]);
};

const explain = async (id: string, flags: ConnectionFlags & { readonly logs?: string; }): Promise<void> => {
    if (flags.logs !== undefined) {
        explainFromLogs(id, flags, flags.logs.split(","));
        return;
    }
    const result = await sendOperatorRequest(flags, "GET", `/v1/explain/${encodeURIComponent(id)}`) as {
        readonly explanations: readonly { readonly instance: string; readonly lines: readonly string[]; }[];
        readonly unreachable: readonly string[];
    };
    const lines = result.explanations.flatMap(item => [`${item.instance}:`, ...item.lines.map(line => `  ${line}`)]);
    const unreachable = result.unreachable.length > 0 ? [`not asked: ${result.unreachable.join(", ")}`] : [];
    print(flags, result, [...lines, ...unreachable]);
};

const explainFromLogs = (id: string, flags: ConnectionFlags, files: readonly string[]): void => {
    const explained = explainLogs(files.flatMap(readLines), id);
    if (explained.length === 0) {
        throw new CommandError(`no line of ${files.join(", ")} names "${id}"`, exitCodes.failure);
    }
    print(flags, explained, explained.map(line => formatExplainedLine(line, explained[0]!.time)));
};

const standardInputDescriptor = 0;

const readLines = (file: string): readonly string[] => {
    try {
        return readFileSync(file === "-" ? standardInputDescriptor : file, "utf8").split("\n");
    }
    catch (error) {
        throw new CommandError(`file "${file}" cannot be read: ${getErrorMessage(error)}`, exitCodes.usage);
    }
};

const printAnnouncements = async (flags: ConnectionFlags, path: string, columns: readonly string[]): Promise<void> => {
    const items = await sendOperatorRequest(flags, "GET", path) as readonly Readonly<Record<string, unknown>>[];
    const rows = items.map(item => columns.map(column => String(item[column] ?? "")));
    print(flags, items, toColumns([columns.map(column => column.toUpperCase()), ...rows]));
};

const drain = async (flags: ConnectionFlags): Promise<void> => {
    if (!flags.entry) {
        throw new CommandError("--entry must name the instance that is to leave", exitCodes.usage);
    }
    print(flags, await sendOperatorRequest(flags, "POST", "/v1/drain"), [
        "leaving; it exits when its open work is done",
    ]);
};

const changeReplicas = async (flags: ConnectionFlags, change: unknown): Promise<void> => {
    const result = await sendOperatorRequest(flags, "POST", "/v1/replicas", JSON.stringify(change)) as {
        readonly index: number;
    };
    print(flags, result, [`accepted at index ${result.index}`]);
};

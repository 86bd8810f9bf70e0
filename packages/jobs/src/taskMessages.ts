/** Translation between task ends and the messages on the wire. */

import type { TaskReport } from "@anvilmux/protocol";
import { TaskOutcome, TaskReportSchema } from "@anvilmux/protocol";
import { create } from "@bufbuild/protobuf";
import type { TaskEnd, TaskOutcomeName } from "./types";

const outcomeCodes: Readonly<Record<TaskOutcomeName, TaskOutcome>> = {
    "answered": TaskOutcome.ANSWERED,
    "failed": TaskOutcome.FAILED,
    "not-run": TaskOutcome.NOT_RUN,
    "unknown": TaskOutcome.UNKNOWN,
};

const toOutcomeName = (code: TaskOutcome): TaskOutcomeName => {
    switch (code) {
        case TaskOutcome.ANSWERED:
            return "answered";
        case TaskOutcome.FAILED:
            return "failed";
        case TaskOutcome.NOT_RUN:
            return "not-run";
        default:
            return "unknown";
    }
};

export const toTaskReport = (end: TaskEnd): TaskReport =>
    create(TaskReportSchema, {
        taskId: end.taskId,
        outcome: outcomeCodes[end.outcome],
        result: end.result,
        reason: end.reason,
        workerId: end.workerId,
        queuedMs: end.queued,
        runMs: end.run,
    });

export const fromTaskReport = (report: TaskReport): TaskEnd => ({
    taskId: report.taskId,
    outcome: toOutcomeName(report.outcome),
    result: report.result,
    reason: report.reason,
    workerId: report.workerId,
    queued: report.queuedMs,
    run: report.runMs,
});

/** The end of a task whose owner fell silent. */
export const newLostEnd = (taskId: string, reason: string): TaskEnd => ({
    taskId,
    outcome: "unknown",
    result: "",
    reason,
    workerId: "",
    queued: 0,
    run: 0,
});

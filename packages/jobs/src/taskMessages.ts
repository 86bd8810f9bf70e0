/** Conversion between task completions and protobuf messages. */

import type { TaskReport } from "@anvilmux/protocol";
import { TaskOutcome, TaskReportSchema } from "@anvilmux/protocol";
import { create } from "@bufbuild/protobuf";
import type { TaskCompletion, TaskOutcomeName } from "./types";

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

export const toTaskReport = (completion: TaskCompletion): TaskReport =>
    create(TaskReportSchema, {
        taskId: completion.taskId,
        outcome: outcomeCodes[completion.outcome],
        result: completion.result,
        reason: completion.reason,
        workerId: completion.workerId,
        queuedMs: completion.queued,
        runMs: completion.run,
    });

export const fromTaskReport = (report: TaskReport): TaskCompletion => ({
    taskId: report.taskId,
    outcome: toOutcomeName(report.outcome),
    result: report.result,
    reason: report.reason,
    workerId: report.workerId,
    queued: report.queuedMs,
    run: report.runMs,
});

/** Completion of a task whose owner's stream ended without a report on it. */
export const newUnknownCompletion = (taskId: string, reason: string): TaskCompletion => ({
    taskId,
    outcome: "unknown",
    result: "",
    reason,
    workerId: "",
    queued: 0,
    run: 0,
});

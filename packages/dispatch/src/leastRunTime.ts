/**
 * Whether a job can be done at all before its caller gives up, were it alone: a wide job whose tasks take longer than that
 * on all processors together is refused at arrival. Queued, it would take every processor that becomes free from jobs
 * that can be done.
 */

import type { JobOutline } from "./jobSize";

/** A job of fewer tasks is never judged: its work depends on few estimates, which are rough. */
const leastJudgedTasks = 256;

/** True for a job that `cannotBeDoneInTime` may judge, which needs the processors of the zone. */
export const isWide = ({ taskCount }: JobOutline): boolean => taskCount >= leastJudgedTasks;

/**
 * True for a wide job that cannot be done in time, however its tasks are placed. `zoneMillicores`: processors of its
 * service in this zone, 0 where none are known; `zones`: how many zones may take part, each taken for as large.
 */
export const cannotBeDoneInTime = (
    outline: JobOutline,
    zoneMillicores: number,
    zones: number,
): boolean =>
    isWide(outline)
    && zoneMillicores > 0
    && outline.work / (zoneMillicores * zones) > outline.availableMs;

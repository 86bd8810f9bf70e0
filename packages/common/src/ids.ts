/** Constructors for branded ids. Each checks nothing: values from outside are checked by schemas first. */

import type {
    Address,
    GrantId,
    InstanceId,
    JobId,
    MemberId,
    RequestId,
    ServiceName,
    TaskId,
    TeamName,
    UpstreamId,
    WorkerId,
    WorkKindName,
    ZoneId,
} from "./types";

export const toInstanceId = (text: string): InstanceId => text as InstanceId;
export const toZoneId = (text: string): ZoneId => text as ZoneId;
export const toServiceName = (text: string): ServiceName => text as ServiceName;
export const toWorkKindName = (text: string): WorkKindName => text as WorkKindName;
export const toTeamName = (text: string): TeamName => text as TeamName;
export const toRequestId = (text: string): RequestId => text as RequestId;
export const toJobId = (text: string): JobId => text as JobId;
export const toTaskId = (text: string): TaskId => text as TaskId;
export const toUpstreamId = (text: string): UpstreamId => text as UpstreamId;
export const toWorkerId = (text: string): WorkerId => text as WorkerId;
export const toGrantId = (text: string): GrantId => text as GrantId;
export const toMemberId = (text: string): MemberId => text as MemberId;
export const toAddress = (text: string): Address => text as Address;

/** Constructors for branded ids. They validate nothing: external input is validated by schemas first. */

import type { Address, GrantId, InstanceId, JobId, MemberId, ZoneId } from "./types";

export const toInstanceId = (text: string): InstanceId => text as InstanceId;
export const toZoneId = (text: string): ZoneId => text as ZoneId;
export const toJobId = (text: string): JobId => text as JobId;
export const toGrantId = (text: string): GrantId => text as GrantId;
export const toMemberId = (text: string): MemberId => text as MemberId;
export const toAddress = (text: string): Address => text as Address;

/** Host and port of an address; the port follows the last colon. */
export const splitAddress = (address: Address): { readonly host: string; readonly port: number; } => {
    const separator = address.lastIndexOf(":");
    return { host: address.slice(0, separator), port: Number(address.slice(separator + 1)) };
};

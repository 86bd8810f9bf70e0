/** Messages of the simulated control group. */

import type { Command, GroupMember } from "@anvilmux/protocol";
import { ClaimCommandSchema, CommandSchema, GroupMemberSchema } from "@anvilmux/protocol";
import { create } from "@bufbuild/protobuf";

export const toMember = (memberId: string, voter: boolean): GroupMember =>
    create(GroupMemberSchema, { memberId, voter, address: memberId });

export const newClaim = (key: string, holder: string): Command =>
    create(CommandSchema, {
        kind: {
            case: "claim",
            value: create(ClaimCommandSchema, {
                key,
                holder,
                requestDigest: "digest",
                wallMs: 0,
                retentionMs: 1_000_000_000,
            }),
        },
    });

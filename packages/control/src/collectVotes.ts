/** One round of voting: asks all other voters for their vote or pre-vote and logs a round that no majority answers. */

import type { GroupConfiguration, VoteReply } from "@anvilmux/protocol";
import { VoteRequestSchema } from "@anvilmux/protocol";
import { create } from "@bufbuild/protobuf";
import { getQuorumSize, getVoters } from "./group";
import type { ReplicaEnvironment } from "./types";

/** The candidate's term and the end of its log. */
export interface Candidacy {
    readonly memberId: string;
    readonly group: GroupConfiguration;
    readonly term: bigint;
    readonly preVote: boolean;
    readonly lastIndex: bigint;
    readonly lastTerm: bigint;
}

/** True when a majority, the candidate included, grants its vote. `onLaterTerm` receives each higher term replied. */
export const collectVotes = (
    candidacy: Candidacy,
    { connect, logger }: Pick<ReplicaEnvironment, "connect" | "logger">,
    onLaterTerm: (term: bigint) => void,
): Promise<boolean> => {
    const { memberId, group, term, preVote, lastIndex, lastTerm } = candidacy;
    const others = getVoters(group).filter(member => member.memberId !== memberId);
    const needed = getQuorumSize(group) - 1;
    if (needed <= 0) {
        return Promise.resolve(true);
    }
    return new Promise(resolve => {
        let granted = 0;
        let replied = 0;
        let answered = 0;
        const handleReply = (reply: VoteReply | undefined) => {
            answered += 1;
            replied += reply ? 1 : 0;
            granted += reply?.granted ? 1 : 0;
            if (reply && reply.term > term) {
                onLaterTerm(reply.term);
            }
            if (granted >= needed) {
                resolve(true);
            }
            else if (answered === others.length) {
                if (replied < needed) {
                    const voters = describeVoters(group);
                    logger.info("control election without a majority", { term: Number(term), needed, replied, voters });
                }
                resolve(false);
            }
        };
        for (const member of others) {
            const request = { candidate: memberId, to: member.memberId, term, lastIndex, lastTerm, preVote };
            connect(member).requestVote(create(VoteRequestSchema, request))
                .then(handleReply, () => handleReply(undefined));
        }
    });
};

/** Member ids of the voters, for log lines. */
export const describeVoters = (group: GroupConfiguration): string =>
    getVoters(group).map(member => member.memberId).join(" ");

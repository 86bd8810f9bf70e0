/** What a leader remembers of its group's members. */

import { VirtualTime } from "@anvilmux/common";
import { GroupMemberSchema, MembershipChangeSchema } from "@anvilmux/protocol";
import { create } from "@bufbuild/protobuf";
import { MemberHistory } from "../src/MemberHistory";

const addLearner = (memberId: string) =>
    create(MembershipChangeSchema, { addLearner: create(GroupMemberSchema, { memberId }) });

describe("history of members", () => {
    test("silence counts from the last time heard, or from the beginning of the lead", async () => {
        const time = new VirtualTime();
        const history = new MemberHistory(time);
        await time.advance(5_000);
        history.noteNotLeading();
        await time.advance(1_000);
        history.noteHeard("a~1");
        await time.advance(200);
        expect([history.getSilence("a~1"), history.getSilence("b~1")]).toEqual([200, 1_200]);
    });

    test("a learner that has just joined is not silent yet, however long this instance leads", async () => {
        const time = new VirtualTime();
        const history = new MemberHistory(time);
        await time.advance(60_000);
        history.noteChange(addLearner("d~1"));
        await time.advance(500);
        expect(history.getSilence("d~1")).toBe(500);
    });

    test("remembers whom it dropped", async () => {
        const time = new VirtualTime();
        const history = new MemberHistory(time);
        expect(history.getDropAge("a~1")).toBe(Infinity);
        history.noteChange(create(MembershipChangeSchema, { remove: "a~1" }));
        await time.advance(700);
        expect([history.getDropAge("a~1"), history.getDropAge("")]).toEqual([700, Infinity]);
    });
});

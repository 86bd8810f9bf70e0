/** The leader's record of contacts with its group's members. */

import { VirtualTime } from "@anvilmux/common";
import { GroupMemberSchema, MembershipChangeSchema } from "@anvilmux/protocol";
import { create } from "@bufbuild/protobuf";
import { MemberHistory } from "../src/MemberHistory";

const addLearner = (memberId: string) =>
    create(MembershipChangeSchema, { addLearner: create(GroupMemberSchema, { memberId }) });

describe("member history", () => {
    test("time without contact counts from the last contact, or from the start of the leadership", async () => {
        const time = new VirtualTime();
        const history = new MemberHistory(time);
        await time.advance(5_000);
        history.resetContacts();
        await time.advance(1_000);
        history.recordContact("a~1");
        await time.advance(200);
        expect([history.getTimeSinceContact("a~1"), history.getTimeSinceContact("b~1")]).toEqual([200, 1_200]);
    });

    test("time without contact of an added learner counts from its addition, however long this instance leads", async () => {
        const time = new VirtualTime();
        const history = new MemberHistory(time);
        await time.advance(60_000);
        history.recordChange(addLearner("d~1"));
        await time.advance(500);
        expect(history.getTimeSinceContact("d~1")).toBe(500);
    });
});

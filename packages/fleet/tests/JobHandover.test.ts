/** Which entries have submitted their jobs to a new owner: it must not stop runs of jobs that a living entry submits next. */

import { JobHandover } from "@anvilmux/fleet";

/** An owner with claim 100 that knows entries `b` and `c`. */
const newHandover = () => {
    const connected = new Set(["b", "c"]);
    const state = { areMembersReported: true };
    const handover = new JobHandover({
        getKnownPeers: () => ["b", "c"],
        isConnected: id => connected.has(id),
        areMembersReported: () => state.areMembersReported,
    });
    handover.begin(100);
    return { handover, connected, state };
};

describe("a job handover", () => {
    test("is complete only when every known entry has submitted its jobs", () => {
        const { handover } = newHandover();
        expect(handover.state).toBe("in-progress");
        handover.handleSubmitted("b", 100);
        expect(handover.state).toBe("in-progress");
        handover.handleSubmitted("c", 100);
        expect(handover.state).toBe("complete");
    });

    test("does not count an entry that is known but not connected as one without jobs", () => {
        const { handover, connected } = newHandover();
        handover.handleSubmitted("b", 100);
        connected.delete("c");
        expect(handover.state).toBe("connected");
    });

    test("is in progress again for an entry that reconnects, whose last jobs may be lost", () => {
        const { handover } = newHandover();
        ["b", "c"].forEach(id => handover.handleSubmitted(id, 100));
        handover.handleDisconnected("c", true);
        expect(handover.state).toBe("in-progress");
        handover.handleSubmitted("c", 100);
        expect(handover.state).toBe("complete");
    });

    test("does not wait for an entry that fell silent, until it is connected again", () => {
        const { handover, connected } = newHandover();
        connected.delete("c");
        handover.handleDisconnected("c", false);
        handover.handleSubmitted("b", 100);
        expect(handover.state).toBe("complete");
        connected.add("c");
        expect(handover.state).toBe("in-progress");
        connected.delete("c");
        handover.handleDisconnected("c", true);
        expect(handover.state).toBe("connected");
    });

    test("ignores what entries submitted to an earlier ownership", () => {
        const { handover } = newHandover();
        ["b", "c"].forEach(id => handover.handleSubmitted(id, 99));
        expect(handover.state).toBe("in-progress");
        ["b", "c"].forEach(id => handover.handleSubmitted(id, 100));
        handover.end();
        handover.begin(200);
        expect(handover.state).toBe("in-progress");
        handover.handleSubmitted("b", 100);
        handover.handleSubmitted("c", 200);
        expect(handover.state).toBe("in-progress");
    });

    test("still counts what entries submitted when the claim is raised", () => {
        const { handover } = newHandover();
        ["b", "c"].forEach(id => handover.handleSubmitted(id, 100));
        handover.begin(200);
        expect(handover.state).toBe("complete");
    });

    test("is not complete while entries of the zone may be unknown", () => {
        const { handover, state } = newHandover();
        ["b", "c"].forEach(id => handover.handleSubmitted(id, 100));
        state.areMembersReported = false;
        expect(handover.state).toBe("in-progress");
    });
});

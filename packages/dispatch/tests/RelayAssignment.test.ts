/** Assignment of workers to relays: even, and stable while the relays stay. */

import { toWorkerId } from "@anvilmux/dispatch";
import { RelayAssignment } from "../src/RelayAssignment";

const workers = Array.from({ length: 82 }, (_, number) => toWorkerId(`worker-${number}`));

const countByRelay = (assignment: RelayAssignment, relays: readonly string[]): readonly number[] => {
    const chosen = workers.map(worker => assignment.choose(worker, relays));
    return relays.map(relay => chosen.filter(other => other === relay).length);
};

describe("relays of an owner", () => {
    test("get the same number of workers, give or take one", () => {
        const counts = countByRelay(new RelayAssignment(), ["a", "b", "c", "d", "e"]);
        expect(Math.max(...counts) - Math.min(...counts)).toBeLessThanOrEqual(1);
    });

    test("keep their workers when another relay is lost", () => {
        const assignment = new RelayAssignment();
        const before = workers.map(worker => assignment.choose(worker, ["a", "b", "c"]));
        const after = workers.map(worker => assignment.choose(worker, ["a", "b"]));
        expect(after.filter((relay, index) => before[index] !== "c" && relay !== before[index])).toEqual([]);
    });

    test("do not keep all workers after others have come later", () => {
        const assignment = new RelayAssignment();
        countByRelay(assignment, ["a"]);
        countByRelay(assignment, ["a", "b", "c", "d"]);
        expect(Math.max(...countByRelay(assignment, ["a", "b", "c", "d"]))).toBeLessThanOrEqual(27);
    });

    test("a worker that does not answer through one gets another, also while the other has more workers", () => {
        const assignment = new RelayAssignment();
        const first = assignment.choose(workers[0]!, ["a", "b"]);
        assignment.choose(workers[1]!, ["a", "b"]);
        assignment.reject(workers[0]!);
        const second = assignment.choose(workers[0]!, ["a", "b"]);
        expect([first, second, assignment.choose(workers[0]!, ["a", "b"])]).toEqual(["a", "b", "b"]);
        assignment.reject(workers[0]!);
        expect(assignment.choose(workers[0]!, ["b"])).toBe("b");
    });

    test("there is none without a connected relay", () => {
        expect(new RelayAssignment().choose(workers[0]!, [])).toBeUndefined();
    });
});

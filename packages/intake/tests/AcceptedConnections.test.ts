/** Which connections make room when too many are open, or the memory for clients is used up. */

import { AcceptedConnections, MemoryBudget } from "@anvilmux/intake";
import type { AcceptedConnection, RefusalCause } from "@anvilmux/intake";

const connectionBytes = 10;

const newFixture = (maximumConnections: number, totalBytes = 1_000) => {
    const budget = new MemoryBudget({ totalBytes, addressBytes: totalBytes });
    const refusals: RefusalCause[] = [];
    const connections = new AcceptedConnections({ budget, maximumConnections, report: cause => refusals.push(cause) });
    const closed: string[] = [];
    const open = (name: string, address: string, isIdentified = false): boolean => {
        const connection: AcceptedConnection = {
            address,
            account: budget.openAccount(address, totalBytes),
            isIdentified: () => isIdentified,
            close: () => {
                closed.push(name);
                connections.remove(connection);
            },
        };
        return connections.add(connection, connectionBytes);
    };
    return { budget, connections, refusals, closed, open };
};

describe("connections of a listener for other instances", () => {
    test("that have not said who they are keep others out", () => {
        const { connections, refusals, closed, open } = newFixture(3);
        open("entry", "10.0.0.1", true);
        open("silent 1", "10.0.0.2");
        open("silent 2", "10.0.0.2");
        expect(open("other entry", "10.0.0.3", true)).toBe(true);
        expect(closed).toEqual(["silent 1"]);
        expect(connections.count).toBe(3);
        expect(refusals).toEqual(["connections"]);
    });

    // An entry is unknown for a moment after it has connected, and a crowd connects again and again.
    test("of an address with few of them are closed for one with many", () => {
        const { closed, open } = newFixture(4);
        open("starting entry", "10.0.0.1");
        open("silent 1", "10.0.0.2");
        open("silent 2", "10.0.0.2");
        open("silent 3", "10.0.0.2");
        open("silent 4", "10.0.0.2");
        open("silent 5", "10.0.0.2");
        expect(closed).toEqual(["silent 1", "silent 2"]);
    });

    test("that are known are closed in favour of new ones", () => {
        const { closed, open, refusals } = newFixture(2);
        open("entry 1", "10.0.0.1", true);
        open("entry 2", "10.0.0.2", true);
        expect(open("new", "10.0.0.3")).toBe(false);
        expect(closed).toEqual([]);
        expect(refusals).toEqual(["connections"]);
    });

    test("hold the memory that others need before they say who they are", () => {
        const { budget, closed, open } = newFixture(10, 30);
        open("entry", "10.0.0.1", true);
        open("silent", "10.0.0.2");
        expect(budget.openAccount("10.0.0.4", 30).charge(20)).toBeUndefined();
        expect(closed).toEqual(["silent"]);
        expect(open("late", "10.0.0.5")).toBe(false);
    });
});

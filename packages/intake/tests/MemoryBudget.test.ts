/** The shares of a memory budget: none can be exceeded, and what is released can be charged again. */

import { MemoryBudget } from "@anvilmux/intake";
import fc from "fast-check";

const newBudget = () => new MemoryBudget({ totalBytes: 1_000, addressBytes: 600 });

describe("a memory budget", () => {
    test("does not let a connection exceed its share", () => {
        const account = newBudget().openAccount("a", 100);
        expect(account.charge(100)).toBeUndefined();
        expect(account.charge(1)).toBe("connection-memory");
        expect(account.heldBytes).toBe(100);
    });

    test("does not let the connections of one address exceed the share of an address", () => {
        const budget = newBudget();
        const [first, second, other] = [
            budget.openAccount("a", 500),
            budget.openAccount("a", 500),
            budget.openAccount("b", 500),
        ];
        expect(first.charge(400)).toBeUndefined();
        expect(second.charge(300)).toBe("address-memory");
        expect(other.charge(300)).toBeUndefined();
    });

    test("does not let all addresses together exceed the total", () => {
        const budget = newBudget();
        expect(budget.openAccount("a", 600).charge(600)).toBeUndefined();
        expect(budget.openAccount("b", 600).charge(401)).toBe("memory");
        expect(budget.heldBytes).toBe(600);
    });

    test("takes no charge for a closed account, and does not release its memory twice", () => {
        const budget = newBudget();
        const account = budget.openAccount("a", 500);
        account.charge(200);
        account.close();
        account.release(200);
        account.close();
        expect(account.charge(1)).toBe("connection-memory");
        expect(budget.heldBytes).toBe(0);
    });

    // A charge that is refused after a part of it was counted would leak that part for good.
    test("holds the sum of its accounts after any sequence of charges and releases", () => {
        const operation = fc.record({ account: fc.nat(5), bytes: fc.nat(400), closes: fc.nat(9).map(n => n === 0) });
        fc.assert(
            fc.property(fc.array(operation, { maxLength: 60 }), operations => {
                const budget = newBudget();
                const accounts = Array.from({ length: 6 }, (_, index) => budget.openAccount(`${index % 3}`, 500));
                for (const { account, bytes, closes } of operations) {
                    const chosen = accounts[account]!;
                    if (closes) {
                        chosen.close();
                    }
                    else if (chosen.charge(bytes) !== undefined) {
                        chosen.release(Math.min(bytes, chosen.heldBytes));
                    }
                    const sums = [0, 1, 2].map(address =>
                        accounts.filter((_, index) => index % 3 === address)
                            .reduce((sum, item) => sum + item.heldBytes, 0)
                    );
                    expect(budget.heldBytes).toBe(sums[0]! + sums[1]! + sums[2]!);
                    expect(budget.heldBytes).toBeLessThanOrEqual(1_000);
                    sums.forEach(sum => expect(sum).toBeLessThanOrEqual(600));
                }
            }),
            { seed: 7, numRuns: 300 },
        );
    });

    // Several kinds of holders fill it together, and each can give up only its own.
    test("is charged once something dispensable was given up, and never waits for what cannot be", () => {
        const budget = newBudget();
        const idle = budget.openAccount("a", 500);
        const busy = budget.openAccount("b", 500);
        idle.charge(500);
        busy.charge(500);
        const asked: string[] = [];
        budget.addReclaim((refusal, favoured) => {
            asked.push(`${refusal} for ${favoured.address}`);
            const isHeld = idle.heldBytes > 0;
            idle.close();
            return isHeld;
        });
        const account = budget.openAccount("c", 600);
        expect(account.charge(400)).toBeUndefined();
        expect(account.charge(200)).toBe("memory");
        expect(account.charge(300)).toBe("connection-memory");
        expect(asked).toEqual(["memory for c", "memory for c"]);
    });
});

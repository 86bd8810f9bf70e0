/** Texts that become much larger when they are parsed are recognised, whatever their strings contain. */

import { hasMoreValues } from "@anvilmux/common";
import fc from "fast-check";

const countValues = (value: unknown): number =>
    typeof value === "object" && value ? 1 + Object.values(value).reduce((sum, item) => sum + countValues(item), 0) : 1;

describe("values of a JSON text", () => {
    test("are more than counted, or many more are counted than there are", () => {
        fc.assert(fc.property(fc.json(), text => {
            const count = countValues(JSON.parse(text));
            expect(hasMoreValues(text, 2 * count)).toBe(false);
            expect(hasMoreValues(`[${`${text},`.repeat(50)}0]`, Math.floor(count / 2) * 50)).toBe(true);
        }));
    });

    test("are counted within strings", () => {
        const text = JSON.stringify(["[[[,,,,\"{{{\\", "\\\"", "\\\\,,,,"]);
        expect(hasMoreValues(text, 4)).toBe(false);
        expect(hasMoreValues(text, 3)).toBe(true);
    });

    test.each(["\"", "\"\\", "[\"\\\"", ",".repeat(3)])("are counted without an end in %j", text => {
        expect(hasMoreValues(text, 100)).toBe(false);
    });
});

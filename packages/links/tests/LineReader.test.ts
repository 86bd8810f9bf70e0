/** Lines are the same however what a connection receives is cut, and no more than the incomplete one is held. */

import fc from "fast-check";
import { LineReader } from "../src/LineReader";

const cut = (bytes: Buffer, sizes: readonly number[]): readonly Buffer[] => {
    const pieces: Buffer[] = [];
    let start = 0;
    for (const size of sizes) {
        pieces.push(bytes.subarray(start, start + size));
        start += size;
    }
    return [...pieces, bytes.subarray(start)];
};

describe("lines of a connection", () => {
    test("differ with the pieces in which they arrive", () => {
        const line = fc.string({ unit: "binary" }).map(text => text.replaceAll("\n", ""));
        fc.assert(fc.property(fc.array(line), fc.array(fc.nat(9)), (lines, sizes) => {
            const reader = new LineReader();
            const text = lines.map(item => `${item}\n`).join("");
            const read = cut(Buffer.from(text), sizes).flatMap(piece => [...reader.read(piece)]);
            expect(read).toEqual(Buffer.from(text).toString().split("\n").slice(0, -1));
            expect(reader.heldCharacters).toBe(0);
        }));
    });

    test("are held as long as they are incomplete, and forgotten when they are given up", () => {
        const reader = new LineReader();
        expect(reader.read(Buffer.from("one\ntw"))).toEqual(["one"]);
        expect(reader.read(Buffer.from("o"))).toEqual([]);
        expect(reader.heldCharacters).toBe(3);
        reader.clear();
        expect(reader.heldCharacters).toBe(0);
        expect(reader.read(Buffer.from("three\n"))).toEqual(["three"]);
    });
});

/** Logs: lines are written as JSON, and a slow reader does not block the process. */

import { VirtualTime } from "@anvilmux/common";
import { LineWriter, newLogger, setLogDestination } from "@anvilmux/telemetry";

describe("logger", () => {
    test("writes a JSON line with message, fields and the logger's own fields", () => {
        const lines: string[] = [];
        setLogDestination(line => lines.push(line));
        newLogger("info", { instance: "entry-1" }).info("job answered", { job: "a1", ageMs: 5 });
        newLogger("warn", {}).info("below the level");
        expect(lines).toHaveLength(1);
        expect(JSON.parse(lines[0]!)).toMatchObject({
            message: "job answered",
            context: { instance: "entry-1", job: "a1", ageMs: 5 },
        });
    });
});

describe("line writer", () => {
    test("batches lines into one write", async () => {
        const time = new VirtualTime();
        const written: string[] = [];
        const writer = new LineWriter(async text => void written.push(text), time);
        writer.write("one");
        writer.write("two");
        await time.advance(100);
        expect(written).toEqual(["one\ntwo\n"]);
    });

    test("a write holds only whole lines and is no larger than a pipe accepts atomically", async () => {
        const time = new VirtualTime();
        const written: string[] = [];
        const writer = new LineWriter(async text => void written.push(text), time);
        const lines = Array.from({ length: 60 }, (_, number) => `${number} ${"é".repeat(150)}`);
        lines.forEach(line => writer.write(line));
        writer.write("y".repeat(5_000));
        await time.advance(100);
        const ordinary = written.filter(text => !text.startsWith("y"));
        expect(Math.max(...ordinary.map(text => Buffer.byteLength(text)))).toBeLessThanOrEqual(4_096);
        expect(written.every(text => text.endsWith("\n"))).toBe(true);
        expect(written.join("")).toBe([...lines, "y".repeat(5_000)].map(line => line + "\n").join(""));
    });

    test("a stalled reader does not block writes, and dropped lines are counted and reported", async () => {
        const time = new VirtualTime();
        const written: string[] = [];
        let release: () => void = () => undefined;
        let readerResumed = false;
        const writer = new LineWriter(async text => {
            if (!readerResumed) {
                await new Promise<void>(resolve => release = resolve);
            }
            written.push(text);
        }, time);
        writer.write("first");
        await time.advance(100);
        const line = "x".repeat(1_000);
        for (let count = 0; count < 2_000; count++) {
            writer.write(line);
        }
        expect(writer.droppedLines).toBeGreaterThan(900);
        const { droppedLines } = writer;
        readerResumed = true;
        release();
        await time.advance(100);
        expect(written.join("")).toContain(`"dropped":${droppedLines}`);
        expect(writer.droppedLines).toBe(0);
    });
});

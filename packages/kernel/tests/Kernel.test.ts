/** Start order, failed starts, look-ups and invalid definitions of the kernel. */

import { Kernel, KernelError, newServiceToken } from "@anvilmux/kernel";

const first = newServiceToken<string>("first");
const second = newServiceToken<string>("second");

describe("Kernel", () => {
    test("starts services after those they require and stops them in reverse", async () => {
        const steps: string[] = [];
        const kernel = new Kernel()
            .define({
                token: second,
                requires: [first],
                start: running => {
                    steps.push("start second");
                    return `${running.get(first)} and second`;
                },
                stop: () => {
                    steps.push("stop second");
                },
            })
            .define({
                token: first,
                start: () => {
                    steps.push("start first");
                    return "first";
                },
                stop: () => {
                    steps.push("stop first");
                },
            });
        await kernel.start();
        expect(kernel.get(second)).toBe("first and second");
        await kernel.stop();
        expect(steps).toEqual(["start first", "start second", "stop second", "stop first"]);
    });

    test("names the service that failed to start and stops those already started", async () => {
        let stopped = false;
        const kernel = new Kernel()
            .define({
                token: first,
                start: () => "first",
                stop: () => {
                    stopped = true;
                },
            })
            .define({
                token: second,
                requires: [first],
                start: () => {
                    throw new Error("no disk");
                },
            });
        await expect(kernel.start()).rejects.toThrow("service \"second\" failed to start: no disk");
        expect(stopped).toBe(true);
        expect(kernel.find(first)).toBeUndefined();
    });

    test("rejects unknown, circular and duplicate services", async () => {
        const circular = new Kernel()
            .define({ token: first, requires: [second], start: () => "" })
            .define({ token: second, requires: [first], start: () => "" });
        await expect(circular.start()).rejects.toThrow("first -> second -> first");
        const unknown = new Kernel().define({ token: first, requires: [second], start: () => "" });
        await expect(unknown.start()).rejects.toThrow("requires unknown service \"second\"");
        const twice = new Kernel().define({ token: first, start: () => "" });
        expect(() => twice.define({ token: first, start: () => "" })).toThrow(KernelError);
    });
});

/** Files of a folder on disk, where the system refuses an operation. */

import { newFolderFiles } from "@anvilmux/common";
import { readdirSync } from "node:fs";

const countOpenFiles = (): number => readdirSync("/proc/self/fd").length;

test("a file that cannot be truncated stays open after each attempt", async () => {
    const files = newFolderFiles("/dev");
    const before = countOpenFiles();
    for (let attempt = 0; attempt < 20; attempt++) {
        await expect(files.openForAppend("full", 0)).rejects.toThrow("EINVAL");
    }
    expect(countOpenFiles()).toBeLessThan(before + 10);
});

/** The program's entry file imports the bundle that the build produces. */

import { readFileSync } from "node:fs";
import { resolve } from "node:path";

test("the entry file imports the bundle of the build", () => {
    const binary = resolve("anvilmux-daemon/bin/anvilmux.js");
    const imported = /import\("([^"]+)"\)/.exec(readFileSync(binary, "utf8"))?.[1] ?? "";
    expect(resolve(binary, "..", imported)).toBe(resolve("dist/anvilmux.js"));
});

// Bundles the library, the command line, and the bench and soak runners with the processes that they start into dist/.
// Workspace packages are inlined; registry packages stay external.
import { build } from "esbuild";
import { rmSync } from "node:fs";
import { resolve } from "node:path";
import { newWorkspaceResolver } from "./workspacePackages.mjs";

const root = resolve(import.meta.dirname, "..");

rmSync(resolve(root, "dist"), { recursive: true, force: true });
await build({
    absWorkingDir: root,
    entryPoints: {
        anvilmux: "anvilmux-daemon/src/main.ts",
        library: "packages/anvilmux/src/index.ts",
        bench: "bench/src/main.ts",
        memberProcess: "bench/src/memberProcess.ts",
        forwarder: "bench/src/forwarder.ts",
        upstreamProcess: "bench/src/upstreamProcess.ts",
        soak: "soak/src/main.ts",
        soakProcess: "soak/src/soakProcess.ts",
    },
    outdir: "dist",
    bundle: true,
    splitting: true,
    format: "esm",
    platform: "node",
    target: "node20",
    sourcemap: true,
    logLevel: "warning",
    plugins: [newWorkspaceResolver(root, { external: true })],
});

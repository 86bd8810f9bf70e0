// Bundles the programs that run on the users' platform into target/platform/, registry packages included.
import { build } from "esbuild";
import { rmSync } from "node:fs";
import { resolve } from "node:path";
import { newWorkspaceResolver } from "./workspacePackages.mjs";

const root = resolve(import.meta.dirname, "..");

rmSync(resolve(root, "target"), { recursive: true, force: true });
await build({
    absWorkingDir: root,
    entryPoints: { main: "platform/src/main.ts" },
    outdir: "target/platform",
    bundle: true,
    splitting: true,
    format: "esm",
    platform: "node",
    target: "node20",
    minifySyntax: true,
    logLevel: "warning",
    // CommonJS packages call `require`, which ES modules do not define.
    banner: { js: "import { createRequire } from \"node:module\";const require = createRequire(import.meta.url);" },
    plugins: [newWorkspaceResolver(root, { external: false })],
});
